package org.hemlockpond.core.entry

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.budget.BudgetSettings

/**
 * Replays the load of a day in virtual time: eight hosts without peers, one customer, a store that
 * answers after 4 ms, requests of very different sizes. Callers keep their connections, so that one
 * host gets a third of the requests.
 */
class EntryBudgetTest {
    /** Guards against refusals while most of the budget lies unused in other hosts' slices. */
    @Test
    fun nearlyTheWholeBudgetIsUsedBeforeTheFirstRefusal() {
        val world = EntryBudgetWorld(paid = 2_000_000, settings = entryBudgetSettings)
        world.traffic(perSecond = 6.0, from = 0.0, to = 60_000.0)
        world.runTo(60_000.0)
        val early = world.usedAtRefusal.count { it < 0.9 * world.paid }
        assertTrue(early <= 1, "$early refusals before 90% was used; ${describe(world)}")
        assertTrue(world.used >= 0.97 * world.paid, describe(world))
    }

    private fun describe(world: EntryBudgetWorld) =
        "served ${world.served}, refused ${world.refusals.size} " +
            "from ${world.refusals.firstOrNull()}, used ${world.used} of ${world.paid}, " +
            "${world.calls} store calls; ${world.refusals.groupingBy { it.second }.eachCount()}"

    /** Guards against a budget of which kills of all hosts take more than they held. */
    @Test
    fun killOfAllHostsCostsAThirdOfWhatRemainsAtMost() {
        val world = EntryBudgetWorld(paid = 2_000_000, settings = entryBudgetSettings)
        world.traffic(perSecond = 4.0, from = 0.0, to = 60_000.0)
        world.runTo(10_000.0)
        val usedThen = world.used
        world.hosts.indices.forEach { world.restart(it) }
        world.runTo(62_000.0)
        val lost = world.paid - world.used
        assertTrue(lost <= 0.4 * (world.paid - usedThen), describe(world))
    }

    /** Guards against a host that is cut off from the store and refuses everything at once. */
    @Test
    fun hostWithoutStoreServesFromItsSlice() {
        val world = EntryBudgetWorld(paid = 4_000_000, settings = entryBudgetSettings)
        world.traffic(perSecond = 4.0, from = 0.0, to = 20_000.0)
        world.runTo(8_000.0)
        world.hosts.forEach { world.cut(it, connected = false) }
        val before = world.refusals.size
        world.runTo(11_000.0)
        val refused = world.refusals.size - before
        assertTrue(refused <= 4, "$refused refused of about 12; ${describe(world)}")
        world.hosts.forEach { world.cut(it, connected = true) }
        world.runTo(22_000.0)
        val late = world.refusals.count { it.first > 11_200 }
        assertTrue(late == 0, describe(world))
    }

    /** Guards against callers that wait for tokens that lie in other hosts' slices. */
    @Test
    fun requestIsRefusedAtOnceIfOnlyOtherHostsHaveTokens() {
        val allPlaced = entryBudgetSettings.copy(advanceShare = 1.0)
        val world = EntryBudgetWorld(paid = 400_000, settings = allPlaced)
        world.traffic(perSecond = 10.0, from = 100.0, to = 6_000.0)
        world.runTo(8_000.0)
        assertTrue(world.refusals.any { it.second == ErrorKind.BUDGET_UNREACHABLE })
        assertTrue(world.longestWait <= 300.0, "waited ${world.longestWait} ms for a refusal")
    }

    /**
     * Guards against hosts that hold nothing of a budget because its callers used others. While all
     * hosts are cut off from the store, callers whose host was restarted move to such hosts.
     */
    @Test
    fun callersThatMoveDuringAnOutageAreServed() {
        val world = EntryBudgetWorld(paid = 6_000_000, settings = entryBudgetSettings)
        world.traffic(perSecond = 4.0, from = 0.0, to = 18_000.0)
        world.route = { it % 2 }
        world.runTo(8_000.0)
        world.hosts.forEach { world.cut(it, connected = false) }
        world.route = { 2 + it % 2 }
        val before = world.refusals.size
        world.runTo(16_000.0)
        val refused = world.refusals.size - before
        assertTrue(refused <= 3, "$refused refused of about 32; ${describe(world)}")
    }

    /**
     * Guards against tokens that are out of reach for good. After a loss of power nothing bounds what
     * a host has used, so a budget that runs short mustn't lie in many slices.
     */
    @Test
    fun powerLossOfAllHostsCostsLittleOfABudgetThatRunsShort() {
        val world = EntryBudgetWorld(paid = 2_000_000, settings = entryBudgetSettings)
        world.traffic(perSecond = 8.0, from = 0.0, to = 60_000.0)
        while (world.used < 0.8 * world.paid) world.runTo(world.time + 10.0)
        world.hosts.indices.forEach { world.restart(it, powerLoss = true) }
        val open = world.openTokens
        world.runTo(62_000.0)
        val lost = world.paid - world.used - open
        assertTrue(lost <= 0.05 * world.paid, "lost $lost; ${describe(world)}")
    }

    /** Guards against tokens that stay on idle hosts while the only busy one runs out. */
    @Test
    fun tokensOfIdleHostsReachTheOnlyBusyOne() {
        val world = EntryBudgetWorld(paid = 3_000_000, entryBudgetSettings, mixed = true)
        world.route = { 1 }
        world.runTo(15_000.0)
        world.traffic(perSecond = 15.0, from = 15_000.0, to = 50_000.0)
        world.outage(from = 20_300.0, to = 28_300.0)
        world.runTo(31_000.0)
        val before = world.refusals.size
        world.burst = 3.0
        world.runTo(37_000.0)
        val refused = world.refusals.size - before
        assertTrue(world.used < 0.8 * world.paid, describe(world))
        assertTrue(refused == 0, "$refused refused; ${describe(world)}")
    }

    private class Day(val asked: Int, val served: Int) {
        val refused: Int get() = asked - served
    }

    /**
     * Days on which all hosts lose the store twice, for eight seconds, and one customer sends twice
     * its usual; with [kill], all hosts are killed at the end and traffic goes on.
     */
    private fun days(settings: BudgetSettings, perSecond: Double, kill: Boolean): Day {
        var asked = 0
        var served = 0
        for (seed in 1..6) {
            val world = EntryBudgetWorld(paid(perSecond), settings, seed = seed)
            world.traffic(perSecond, from = 0.0, to = if (kill) 58_000.0 else 41_000.0)
            world.outage(from = 5_300.0, to = 13_300.0)
            world.runTo(16_000.0)
            world.burst = 2.2
            world.runTo(22_000.0)
            world.burst = 1.0
            world.outage(from = 24_000.0, to = 32_000.0)
            world.runTo(41_000.0)
            if (kill) world.hosts.indices.forEach { world.restart(it) }
            world.runTo(61_000.0)
            asked += world.asked
            served += world.served
        }
        return Day(asked, served)
    }

    private fun paid(perSecond: Double) =
        (perSecond * MEAN_TOKENS * DAY_SECONDS * PAID_RATIO).toLong()

    /** Guards against hosts that hold nothing when the store is lost. */
    @Test
    fun slicesAheadHalveTheRefusalsOfAnOutage() {
        val nothingAhead = entryBudgetSettings.copy(
            advanceShare = 0.0,
            grantSpan = 1.milliseconds,
            refillThresholdSpan = Duration.ZERO
        )
        for (perSecond in listOf(0.8, 2.0, 8.0)) {
            val before = days(nothingAhead, perSecond, kill = false)
            val after = days(entryBudgetSettings, perSecond, kill = false)
            val text = "at $perSecond/s: ${after.refused} refused of ${after.asked}, " +
                "${before.refused} of ${before.asked} without slices ahead"
            assertTrue(after.refused * 2 <= before.refused, text)
        }
    }

    /** Guards against slices so large that a kill of all hosts costs more than outages do. */
    @Test
    fun killOfAllHostsCostsLessThanWithAStaticSplit() {
        for (perSecond in listOf(0.8, 2.0, 8.0)) {
            var before = 0
            for (seed in 1..6) {
                val split = StaticSplit(paid(perSecond), hosts = 8, seed)
                split.traffic(
                    perSecond,
                    to = 58_000.0,
                    burst = { if (it in 16_000.0..22_000.0) 2.2 else 1.0 },
                    killAt = 41_000.0
                )
                before += split.served
            }
            val after = days(entryBudgetSettings, perSecond, kill = true)
            val text = "at $perSecond/s: ${after.served} served of ${after.asked}, " +
                "$before with a static split"
            assertTrue(after.served > before, text)
        }
    }

    /** Guards against tokens that are lost with each kill, and against a mark that grows too fast. */
    @Test
    fun mostTokensOfKilledHostsComeBack() {
        val lossOf = { settings: BudgetSettings ->
            val world = EntryBudgetWorld(paid = 4_000_000, settings = settings)
            world.traffic(perSecond = 4.0, from = 0.0, to = 90_000.0)
            world.runTo(15_000.0)
            world.hosts.indices.forEach { world.restart(it) }
            world.runTo(30_000.0)
            world.hosts.indices.forEach { world.restart(it) }
            world.runTo(95_000.0)
            world.paid - world.used
        }
        val lost = lossOf(entryBudgetSettings)
        val lostWithout = lossOf(entryBudgetSettings.copy(spendMarks = null))
        assertTrue(lost * 2 <= lostWithout, "lost $lost, without marks $lostWithout")
    }

    /** Guards against spend above the budget, whatever hosts and store do. */
    @Test
    fun killsAndOutagesNeverLetTheSpendPassTheBudget() {
        for (seed in 1..40) {
            val random = Random(seed)
            val world =
                EntryBudgetWorld(paid = 2_000_000, settings = entryBudgetSettings, seed = seed)
            world.lostAnswers = 10
            world.traffic(perSecond = 8.0, from = 0.0, to = 40_000.0)
            while (world.time < 40_000) {
                val host = random.nextInt(world.hosts.size)
                when (random.nextInt(3)) {
                    0 -> world.restart(host, gap = random.nextDouble(10.0, 2_000.0))
                    1 -> world.cut(world.hosts[host], connected = random.nextBoolean())
                    else -> world.burst = random.nextDouble(0.5, 3.0)
                }
                world.runTo(world.time + random.nextDouble(50.0, 1_500.0))
            }
            world.runTo(45_000.0)
            assertTrue(world.used <= world.paid, "seed $seed: ${describe(world)}")
            assertTrue(world.served > 0, "seed $seed")
        }
    }

    private companion object {
        const val MEAN_TOKENS = 12_000
        const val DAY_SECONDS = 41
        const val PAID_RATIO = 1.3
    }
}
