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
 * Compares a fleet of ledgers with a single naive ledger over random schedules. A failure names the
 * seed of its schedule; `-Dhemlockpond.seed=N` runs that schedule alone, and
 * `-Dhemlockpond.schedules=N` sets the number of schedules.
 */
class LedgerScheduleTest {
    /** Guards against double and lost bills, second runs and untrue "not run" after any faults. */
    @Property(
        tries = TRIES,
        seed = "20261204",
        shrinking = ShrinkingMode.OFF,
        afterFailure = AfterFailureMode.RANDOM_SEED
    )
    fun fleetBillsLikeSingleLedger(@ForAll @LongRange(min = 0, max = 1L shl 40) base: Long) {
        val single = System.getProperty("hemlockpond.seed")?.toLong()
        val count = System.getProperty("hemlockpond.schedules")?.toLong() ?: DEFAULT_SCHEDULES
        val failures = if (single != null) {
            check(single, ::println)
        } else {
            LongStream.range(0, (count + TRIES - 1) / TRIES).parallel()
                .mapToObj { check(base * SPREAD + it) }.toList().flatten()
        }
        assertTrue(failures.isEmpty(), failures.take(5).joinToString("\n"))
        assertTrue(
            exempt.sum() * 5 <= callers.sum(),
            "in doubt: ${exempt.sum()} of ${callers.sum()} requests"
        )
    }

    private fun check(seed: Long, log: ((String) -> Unit)? = null): List<String> {
        val random = Random(seed)
        val faults = LedgerWorld.Faults(
            loss = random.nextInt(3) == 0,
            partitions = random.nextInt(2) == 0,
            deaths = random.nextInt(2) == 0,
            pauses = random.nextInt(4) == 0,
            store = random.nextInt(3) == 0,
            isolation = random.nextInt(6) == 0
        )
        val world = LedgerWorld(seed, faults, log)
        world.run()
        val found = world.violations + world.callers.flatMap { verify(world, it, faults) }
        return found.map { "seed $seed, $faults: $it" }
    }

    private fun verify(
        world: LedgerWorld,
        caller: Caller,
        faults: LedgerWorld.Faults
    ): List<String> {
        val found = checkCalls(caller)
        callers.increment()
        if (faults == LedgerWorld.Faults()) found += compareReplies(caller)
        if (caller.calls.any { it.node.id in world.doubtful || it.node.isUnclosed() }) {
            exempt.increment()
            if (caller.calls.none { it.node.id in world.doubtful }) {
                found += "${caller.request}: no complete copy of a dead router"
            }
            return found
        }
        val charged = world.nodes.sumOf { node ->
            if (node.isAlive) {
                (node.spent[caller.customer] ?: 0) + (node.held[caller.customer] ?: 0)
            } else {
                node.closed?.get(caller.customer) ?: 0
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

    private fun Node.isUnclosed() = !isAlive && closed == null

    /** Without faults the fleet answers each call as the single ledger does. */
    private fun compareReplies(caller: Caller): List<String> = caller.calls.mapNotNull { call ->
        val expected = NaiveLedger.replies(caller, call)
        val reply: Any = call.reply ?: NaiveLedger.PROCEED
        "${caller.request}: answered $reply instead of one of $expected"
            .takeIf { reply !in expected }
    }

    private companion object {
        const val TRIES = 100
        const val DEFAULT_SCHEDULES = 10_000L
        const val SPREAD = 1_000_003L
        val callers = LongAdder()
        val exempt = LongAdder()

        /** Shows how many requests the bill checks passed over. */
        @JvmStatic
        @AfterContainer
        fun report() = println("$callers requests, $exempt of them in doubt")
    }
}
