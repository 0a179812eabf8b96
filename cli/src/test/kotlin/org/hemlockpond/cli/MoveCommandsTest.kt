package org.hemlockpond.cli

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlinx.serialization.json.Json
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.VersionId
import org.hemlockpond.core.moves.Finding
import org.hemlockpond.core.moves.Metric
import org.hemlockpond.core.moves.MoveRecord
import org.hemlockpond.core.moves.MoveState
import org.hemlockpond.core.moves.RollbackCause

class MoveCommandsTest {
    private val environment = FakeEnvironment()
    private val store = environment.store
    private val key = "hemlockpond/moves/rib-advice"

    private fun record(): MoveRecord = Json.decodeFromString(store.values.getValue(key).value)

    private fun change(change: (MoveRecord) -> MoveRecord) =
        store.put(key, Json.encodeToString(MoveRecord.serializer(), change(record())))

    private fun start(to: String = "v2", vararg options: String) = environment
        .run("move", "start", "rib-advice", "--to", to, "--deadline", "2h", *options)

    private fun started() {
        environment.run("apply", "$authority")
        assertEquals(0, start())
    }

    /** Guards against a move that starts from another version or time than the operator meant. */
    @Test
    fun startsFromTheDeclaredVersion() {
        assertEquals(1, start())
        environment.run("apply", "$authority")
        assertEquals(0, start("v2", "--start", "30m"))
        assertEquals(VersionId("advice-2026-11"), record().from)
        assertEquals(2.hours, record().deadline - record().start)
        assertEquals(1, start("v3"))
        assertEquals(1, environment.run("move", "start", "no", "--to", "v", "--deadline", "1h"))
    }

    /** Guards against a second move that starts from a version that is no longer in force. */
    @Test
    fun nextMoveStartsFromTheVersionInForce() {
        started()
        change { it.copy(state = MoveState.DONE) }
        assertEquals(0, start("v3"))
        assertEquals(VersionId("v2"), record().from)
        assertEquals(2, record().number)
        change { it.copy(state = MoveState.DONE) }
        // A version that was declared since is neither side of the last move.
        assertEquals(VersionId("v9"), versionInForce(record(), VersionId("v9")))
    }

    /** Guards against two operators who both believe that they started the move. */
    @Test
    fun loserOfARaceGetsAConflict() {
        environment.run("apply", "$authority")
        store.race = { if (key !in it.values) it.put(key, "{}") }
        assertEquals(3, start())
        assertTrue(environment.err.single().startsWith("conflict on $key"))
    }

    /** Guards against a lost answer after which the operator starts the move again. */
    @Test
    fun startSurvivesLostAnswers() {
        environment.run("apply", "$authority")
        store.faults += listOf(Fault.LOST_REQUEST, Fault.LOST_ANSWER)
        assertEquals(0, start())
        assertEquals(1, record().number)
    }

    /** Guards against a rollback that the controller's own writes defeat. */
    @Test
    fun takeBackSurvivesTheController() {
        started()
        var writes = 3
        store.race = { if (writes-- > 0) change { r -> r.copy(fencing = r.fencing + 1) } }
        assertEquals(0, environment.run("move", "take-back", "rib-advice", "--reason", "bad"))
        assertEquals(RollbackCause.Operator("bad"), record().cause)
        assertEquals(3, record().fencing)
        assertEquals(0, environment.run("move", "take-back", "rib-advice"))
        assertEquals(RollbackCause.Operator("bad"), record().cause)
        assertEquals(1, start())
        assertEquals(0, start("v2", "--allow-rejected"))
    }

    /** Guards against a rollback of a move that another operator started meanwhile. */
    @Test
    fun takeBackIsForTheMoveThatWasRead() {
        started()
        var writes = 1
        store.race = { if (writes-- > 0) change { r -> r.copy(number = r.number + 1) } }
        assertEquals(3, environment.run("move", "take-back", "rib-advice"))
        assertEquals(MoveState.RUNNING, record().state)
    }

    /** Guards against a wait that ends early, or whose exit code hides a rollback. */
    @Test
    fun waitTellsTheEnd() {
        started()
        var polls = 0
        environment.slept = {
            polls++
            store.down = polls in 2..3
            if (polls == 5) change { it.copy(state = MoveState.DONE) }
        }
        assertEquals(0, environment.run("move", "wait", "rib-advice"))
        assertEquals(5, polls)
        val finding = Finding(Metric.FAILURES, 123.4, 9, 50, 1, 60, listOf(FailureDomain("a")))
        change { it.copy(state = MoveState.ROLLED_BACK, cause = RollbackCause.Worse(finding)) }
        assertEquals(1, environment.run("move", "wait", "rib-advice"))
        val evidence = "failures: 9 of 50 with the new version, 1 of 60 with the old one" +
            " (e-value 123) in a"
        assertEquals(evidence, environment.err.last())
    }

    /** Guards against a wait without an end. */
    @Test
    fun waitTimesOut() {
        started()
        val before = environment.time
        assertEquals(1, environment.run("move", "wait", "rib-advice", "--timeout", "10m"))
        assertTrue(environment.time - before <= 1.hours)
        store.down = true
        assertEquals(4, environment.run("move", "wait", "rib-advice", "--timeout", "10m"))
    }

    /** Guards against a wait that reports on a later move than the one it was started for. */
    @Test
    fun waitEndsWhenAnotherMoveStarts() {
        started()
        environment.slept = { change { it.copy(number = 2) } }
        assertEquals(1, environment.run("move", "wait", "rib-advice"))
        assertTrue("replaced by move 2" in environment.err.single())
    }

    /** Guards against a report that leaves out a route. */
    @Test
    fun statusShowsOneOrAllMoves() {
        assertEquals(0, environment.run("move", "status"))
        assertEquals(1, environment.run("move", "status", "rib-advice"))
        started()
        assertEquals(0, environment.run("move", "status", "rib-advice"))
        assertEquals(0, environment.run("move", "status"))
        assertTrue("advice-2026-11 to v2, running" in environment.out.first())
        assertTrue("move" in environment.json("move", "status", "rib-advice"))
    }
}
