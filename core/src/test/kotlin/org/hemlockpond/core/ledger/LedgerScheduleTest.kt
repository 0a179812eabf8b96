package org.hemlockpond.core.ledger

import java.util.concurrent.atomic.LongAdder
import java.util.stream.LongStream
import kotlin.random.Random
import kotlin.test.assertTrue
import net.jqwik.api.AfterFailureMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.constraints.LongRange
import net.jqwik.api.lifecycle.AfterContainer
import org.hemlockpond.core.ErrorKind

/**
 * Compares a fleet of ledgers with a single naive ledger over random schedules. A failure message
 * contains the seed of its schedule; `-Dhemlockpond.seed=N` runs only that schedule, and
 * `-Dhemlockpond.schedules=N` sets the number of schedules.
 */
class LedgerScheduleTest {
    /** Guards against double or lost bills, second runs and false "not run" errors under faults. */
    @Property(
        tries = TRIES,
        seed = "20261204",
        shrinking = ShrinkingMode.OFF,
        afterFailure = AfterFailureMode.RANDOM_SEED
    )
    fun fleetBillsLikeSingleLedger(@ForAll @LongRange(min = 0, max = 1L shl 40) base: Long) {
        val singleSeed = System.getProperty("hemlockpond.seed")?.toLong()
        val scheduleCount =
            System.getProperty("hemlockpond.schedules")?.toLong() ?: DEFAULT_SCHEDULES
        val failures = if (singleSeed != null) {
            runSchedule(singleSeed, ::println)
        } else {
            LongStream.range(0, (scheduleCount + TRIES - 1) / TRIES).parallel()
                .mapToObj { runSchedule(base * SEED_STRIDE + it) }.toList().flatten()
        }
        assertTrue(failures.isEmpty(), failures.take(5).joinToString("\n"))
        assertTrue(
            inDoubt.sum() * 5 <= callerCount.sum(),
            "in doubt: ${inDoubt.sum()} of ${callerCount.sum()} requests"
        )
    }

    private fun runSchedule(seed: Long, log: ((String) -> Unit)? = null): List<String> {
        val random = Random(seed)
        val faults = LedgerSimulation.Faults(
            loss = random.nextInt(3) == 0,
            partitions = random.nextInt(2) == 0,
            deaths = random.nextInt(2) == 0,
            pauses = random.nextInt(4) == 0,
            store = random.nextInt(3) == 0,
            isolation = random.nextInt(6) == 0
        )
        val simulation = LedgerSimulation(seed, faults, log)
        simulation.run()
        val found =
            simulation.violations + simulation.callers.flatMap { verify(simulation, it, faults) }
        return found.map { "seed $seed, $faults: $it" }
    }

    private fun verify(
        simulation: LedgerSimulation,
        caller: Caller,
        faults: LedgerSimulation.Faults
    ): List<String> {
        val found = checkCalls(caller)
        callerCount.increment()
        if (faults == LedgerSimulation.Faults()) found += compareReplies(caller)
        if (caller.calls.any { it.node.id in simulation.routersInDoubt || it.node.isUnclosed() }) {
            inDoubt.increment()
            if (caller.calls.none { it.node.id in simulation.routersInDoubt }) {
                found += "${caller.request}: no complete copy of a dead router"
            }
            return found
        }
        val charged = simulation.nodes.sumOf { node ->
            if (node.isAlive) {
                (node.spent[caller.customer] ?: 0) + (node.held[caller.customer] ?: 0)
            } else {
                node.closedCharges?.get(caller.customer) ?: 0
            }
        }
        val allowed = NaiveLedger.bills(caller)
        if (charged !in allowed) {
            val kind = if (charged > allowed.max()) "double bill" else "lost bill"
            found += "${caller.request}: $kind, charged $charged instead of one of $allowed"
        }
        return found
    }

    private fun checkCalls(caller: Caller): ArrayList<String> {
        val found = ArrayList<String>()
        if (!caller.idempotent && caller.runs.size > 1) found += "${caller.request}: second run"
        for (call in caller.calls) {
            val alive = call.node.isAlive
            if (alive && call.answeredAt == null) found += "${caller.request}: no answer"
            if (alive && call.used != null && call.node.active[caller.request] === call) {
                found += "${caller.request}: not released"
            }
            val reply = call.reply
            if (reply is RecordedAnswer && reply !in caller.answers) {
                found += "${caller.request}: replay of an unknown answer"
            }
            if (reply == ErrorKind.KEY_REUSED && caller.calls.all { it.digest == call.digest }) {
                found += "${caller.request}: untrue key reused"
            }
        }
        return found
    }

    private fun Node.isUnclosed() = !isAlive && closedCharges == null

    /** Checks that a fleet without faults answers each call as the naive ledger does. */
    private fun compareReplies(caller: Caller): List<String> = caller.calls.mapNotNull { call ->
        val expected = NaiveLedger.replies(caller, call)
        val reply: Any = call.reply ?: NaiveLedger.PROCEED
        "${caller.request}: answered $reply instead of one of $expected"
            .takeIf { reply !in expected }
    }

    private companion object {
        const val TRIES = 100
        const val DEFAULT_SCHEDULES = 10_000L
        const val SEED_STRIDE = 1_000_003L
        val callerCount = LongAdder()
        val inDoubt = LongAdder()

        /** Prints the number of requests whose bill wasn't checked. */
        @JvmStatic
        @AfterContainer
        fun report() = println("$callerCount requests, $inDoubt of them in doubt")
    }
}
