package org.hemlockpond.router.entry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.coroutines.runBlocking
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.Now
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.budget.MarkedUse
import org.hemlockpond.core.budget.SpendMark

class HostMarksTest {
    private class Machine(override var bootId: String? = "boot-1") : MachineClock {
        var steady = 50_000L
        var wall = 1_000_000L

        fun advance(millis: Long) {
            steady += millis
            wall += millis
        }

        override fun steadyMillis() = steady

        override fun wallMillis() = wall
    }

    private val store = MemoryStore()
    private val machine = Machine()
    private val customer = CustomerId("c")
    private val first = RouterId("edge-1/a")
    private val mark = SpendMark(mapOf(customer to MarkedUse(used = 1_000, pace = 100)), 5_000)

    private fun marks(run: String, address: String = "10.0.0.1:80") = HostMarks(
        RouterId("edge-1/$run"),
        address,
        store,
        { Now(machine.steady.milliseconds, Instant.fromEpochMilliseconds(machine.wall)) },
        machine
    )

    private fun writtenByFirstRun() = runBlocking {
        val marks = marks("a")
        assertTrue(marks.read())
        assertEquals(MarkResult.APPLIED, marks.write(mark, machine.steady.milliseconds))
    }

    /** The bound that a new run computes from the first run's mark; null if unknown. */
    private fun usedByFirstRun(address: String = "10.0.0.1:80"): Long? = runBlocking {
        val next = marks("b", address)
        assertTrue(next.read())
        next.usedAtMost(first)?.get(customer)
    }

    @Test
    fun nextRunBoundsTheUseOfThePreviousRun() {
        writtenByFirstRun()
        machine.advance(2_000)
        // The age of a mark is rounded up by up to 1 ms.
        assertTrue(usedByFirstRun()!! in 1_200..1_201)
    }

    @Test
    fun lapsedMarkGivesNoBound() {
        writtenByFirstRun()
        machine.advance(5_000)
        assertNull(usedByFirstRun())
    }

    /**
     * Guards against missing the time in which tokens were spent when one clock shows less of it.
     */
    @Test
    fun clockWithTheLongerElapsedTimeCounts() {
        writtenByFirstRun()
        machine.steady += 1_000
        machine.wall += 3_000
        assertTrue(usedByFirstRun()!! in 1_300..1_301)
        machine.wall -= 60_000
        assertTrue(usedByFirstRun()!! in 1_100..1_101)
    }

    /** Guards against comparing times of the monotonic clock from different boots. */
    @Test
    fun markOfAnEarlierBootGivesNoBound() {
        writtenByFirstRun()
        machine.steady = 10
        assertNull(usedByFirstRun())
        machine.steady = 51_000
        machine.bootId = "boot-2"
        assertNull(usedByFirstRun())
    }

    /** Guards against counting a whole slice as spent when no clock shows the age of a mark. */
    @Test
    fun ceilingBoundsTheUseOfARunWhoseEndIsUnknown() = runBlocking {
        val marks = marks("a")
        assertTrue(marks.read())
        val limited = MarkedUse(used = 1_000, pace = 100, ceiling = 1_600)
        marks.write(SpendMark(mapOf(customer to limited), 5_000), machine.steady.milliseconds)
        machine.bootId = "boot-2"
        machine.steady = 10
        assertEquals(1_600, usedByFirstRun())
    }

    /** Guards against a bound above the ceiling while the pace of a mark counts. */
    @Test
    fun paceEndsAtTheCeiling() = runBlocking {
        val marks = marks("a")
        assertTrue(marks.read())
        val limited = MarkedUse(used = 1_000, pace = 100, ceiling = 1_150)
        marks.write(SpendMark(mapOf(customer to limited), 5_000), machine.steady.milliseconds)
        machine.advance(2_000)
        assertEquals(1_150, usedByFirstRun())
        machine.advance(5_000)
        assertEquals(1_150, usedByFirstRun())
    }

    /**
     * Guards against using the marks of a machine of the same name at another address: its router
     * may still be running.
     */
    @Test
    fun markOfAnotherAddressGivesNoBound() {
        writtenByFirstRun()
        machine.advance(100)
        assertNull(usedByFirstRun(address = "10.0.0.2:80"))
    }

    /** Guards against bounds that grow or get lost before the run's slices are closed. */
    @Test
    fun boundsOfEndedRunsAreKeptByLaterRuns() = runBlocking {
        writtenByFirstRun()
        machine.advance(1_000)
        val second = marks("b")
        assertTrue(second.read())
        val used = second.usedAtMost(first)
        second.write(mark, machine.steady.milliseconds)
        machine.advance(60_000)
        val third = marks("c")
        assertTrue(third.read())
        assertEquals(used, third.usedAtMost(first))
        assertNull(third.usedAtMost(RouterId("edge-1/b"))?.get(customer))
    }

    @Test
    fun writeAfterALostAnswerDetectsItsOwnMark() = runBlocking {
        val marks = marks("a")
        assertTrue(marks.read())
        store.loseAnswers = true
        assertEquals(MarkResult.UNKNOWN, marks.write(mark, machine.steady.milliseconds))
        store.loseAnswers = false
        assertEquals(MarkResult.UNKNOWN, marks.write(mark, machine.steady.milliseconds))
        assertEquals(MarkResult.APPLIED, marks.write(mark, machine.steady.milliseconds))
    }

    /** Guards against an old run that overwrites the marks of its successor. */
    @Test
    fun oldRunDetectsTakeover() = runBlocking {
        val old = marks("a")
        assertTrue(old.read())
        old.write(mark, machine.steady.milliseconds)
        val next = marks("b")
        assertTrue(next.read())
        next.write(mark, machine.steady.milliseconds)
        assertEquals(MarkResult.TAKEN_OVER, old.write(mark, machine.steady.milliseconds))
    }

    /** Guards against a new run that mistakes a late write of the previous run for a takeover. */
    @Test
    fun lateWriteOfThePreviousRunIsNoTakeover() = runBlocking {
        val old = marks("a")
        assertTrue(old.read())
        val next = marks("b")
        assertTrue(next.read())
        assertEquals(MarkResult.APPLIED, old.write(mark, machine.steady.milliseconds))
        assertEquals(MarkResult.UNKNOWN, next.write(mark, machine.steady.milliseconds))
        assertEquals(MarkResult.APPLIED, next.write(mark, machine.steady.milliseconds))
        assertTrue(next.usedAtMost(first)!!.getValue(customer) >= 1_000)
    }

    @Test
    fun invalidMarksGiveNoBound() {
        writtenByFirstRun()
        val key = store.values.keys.single()
        store.values[key] = store.values.getValue(key).copy(value = "{")
        assertNull(usedByFirstRun())
    }
}
