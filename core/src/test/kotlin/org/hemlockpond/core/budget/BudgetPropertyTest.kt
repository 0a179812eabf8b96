package org.hemlockpond.core.budget

import kotlin.test.Test
import kotlin.time.Duration.Companion.milliseconds
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode

/**
 * Compares [BudgetHolder] with [ReferenceBudget] over random schedules. 10,000 schedules run by
 * default. To run 1,000,000 schedules:
 *
 * ```
 * mvn -o -q -pl core test -Dtest=BudgetPropertyTest -Dhemlockpond.schedules=1000000
 * ```
 *
 * To repeat one schedule, pass the seed from the failure message as `-Dhemlockpond.schedule=SEED`.
 */
class BudgetPropertyTest {
    private val schedulesPerTry = Integer.getInteger("hemlockpond.schedules", 10_000) / TRIES
    private val single = java.lang.Long.getLong("hemlockpond.schedule")

    /** Guards against overspend, wrong charges, and refusals while enough tokens are free. */
    @Property(
        tries = TRIES,
        seed = "20261204",
        shrinking = ShrinkingMode.OFF,
        edgeCases = EdgeCasesMode.NONE
    )
    fun agreesWithReferenceBudget(@ForAll base: Long) {
        if (single != null) {
            run(single)
        } else {
            for (i in 0 until schedulesPerTry) run(base + i)
        }
    }

    /** Guards against a refusal as exhausted while tokens are free, seen with this seed. */
    @Test
    fun refusalIsCorrectWithShortDemandWindow() {
        val settings = testSettings.copy(minDemandWindow = 500.milliseconds)
        BudgetWorld(seed = -346, settings = settings).run()
    }

    private fun run(seed: Long) {
        try {
            BudgetWorld(seed, faultFree = seed % FAULT_FREE_EVERY == 0L).run()
        } catch (e: IllegalStateException) {
            throw AssertionError("schedule $seed: ${e.message}", e)
        }
    }

    private companion object {
        const val TRIES = 1_000
        const val FAULT_FREE_EVERY = 5L
    }
}
