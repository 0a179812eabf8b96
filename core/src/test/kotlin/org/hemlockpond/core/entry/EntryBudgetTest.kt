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
 * Simulates production load in virtual time: eight hosts without peers, one customer, a store that
 * answers after 4 ms, and requests of very different sizes. Callers keep their connections, so one
 * host gets a third of the requests.
 */
class EntryBudgetTest {
    /** Guards against refusals while most of the budget is unused in other hosts' slices. */
    @Test
    fun nearlyTheWholeBudgetIsUsedBeforeTheFirstRefusal() {
        val sim = EntryBudgetSimulation(paid = 2_000_000, settings = entryBudgetSettings)
        sim.traffic(perSecond = 6.0, from = 0.0, to = 60_000.0)
        sim.runTo(60_000.0)
        val early = sim.usedAtRefusal.count { it < 0.9 * sim.paid }
        assertTrue(early <= 1, "$early refusals before 90% was used; ${describe(sim)}")
        assertTrue(sim.used >= 0.97 * sim.paid, describe(sim))
    }

    private fun describe(sim: EntryBudgetSimulation) =
        "served ${sim.served}, refused ${sim.refusals.size} " +
            "from ${sim.refusals.firstOrNull()}, used ${sim.used} of ${sim.paid}, " +
            "${sim.storeCalls} store calls; ${sim.refusals.groupingBy { it.second }.eachCount()}"

    /** Guards against a kill of all hosts that costs more tokens than the hosts held. */
    @Test
    fun killOfAllHostsCostsAThirdOfWhatRemainsAtMost() {
        val sim = EntryBudgetSimulation(paid = 2_000_000, settings = entryBudgetSettings)
        sim.traffic(perSecond = 4.0, from = 0.0, to = 60_000.0)
        sim.runTo(10_000.0)
        val usedThen = sim.used
        sim.hosts.indices.forEach { sim.restart(it) }
        sim.runTo(62_000.0)
        val lost = sim.paid - sim.used
        assertTrue(lost <= 0.4 * (sim.paid - usedThen), describe(sim))
    }

    /** Guards against a host that refuses all requests as soon as it loses the store. */
    @Test
    fun hostWithoutStoreServesFromItsSlice() {
        val sim = EntryBudgetSimulation(paid = 4_000_000, settings = entryBudgetSettings)
        sim.traffic(perSecond = 4.0, from = 0.0, to = 20_000.0)
        sim.runTo(8_000.0)
        sim.hosts.forEach { sim.setConnected(it, connected = false) }
        val before = sim.refusals.size
        sim.runTo(11_000.0)
        val refused = sim.refusals.size - before
        assertTrue(refused <= 4, "$refused refused of about 12; ${describe(sim)}")
        sim.hosts.forEach { sim.setConnected(it, connected = true) }
        sim.runTo(22_000.0)
        val late = sim.refusals.count { it.first > 11_200 }
        assertTrue(late == 0, describe(sim))
    }

    /** Guards against letting callers wait for tokens that are granted to other hosts. */
    @Test
    fun requestIsRefusedAtOnceIfOnlyOtherHostsHaveTokens() {
        val allPlaced = entryBudgetSettings.copy(advanceShare = 1.0)
        val sim = EntryBudgetSimulation(paid = 400_000, settings = allPlaced)
        sim.traffic(perSecond = 10.0, from = 100.0, to = 6_000.0)
        sim.runTo(8_000.0)
        assertTrue(sim.refusals.any { it.second == ErrorKind.BUDGET_UNREACHABLE })
        assertTrue(sim.longestWait <= 300.0, "waited ${sim.longestWait} ms for a refusal")
    }

    /**
     * Guards against hosts without a slice of a budget whose callers used other hosts so far.
     * During an outage of the store, callers of a restarted host move to such hosts.
     */
    @Test
    fun callersThatMoveDuringAnOutageAreServed() {
        val sim = EntryBudgetSimulation(paid = 6_000_000, settings = entryBudgetSettings)
        sim.traffic(perSecond = 4.0, from = 0.0, to = 18_000.0)
        sim.hostFor = { it % 2 }
        sim.runTo(8_000.0)
        sim.hosts.forEach { sim.setConnected(it, connected = false) }
        sim.hostFor = { 2 + it % 2 }
        val before = sim.refusals.size
        sim.runTo(16_000.0)
        val refused = sim.refusals.size - before
        assertTrue(refused <= 3, "$refused refused of about 32; ${describe(sim)}")
    }

    /**
     * Guards against losing many tokens permanently. After a power loss a host may have used all that
     * the ceiling of its last mark allows, so a budget that runs short mustn't be spread over many
     * slices.
     */
    @Test
    fun powerLossOfAllHostsCostsLittleOfABudgetThatRunsShort() {
        val sim = EntryBudgetSimulation(paid = 2_000_000, settings = entryBudgetSettings)
        sim.traffic(perSecond = 8.0, from = 0.0, to = 60_000.0)
        while (sim.used < 0.8 * sim.paid) sim.runTo(sim.time + 10.0)
        sim.hosts.indices.forEach { sim.restart(it, powerLoss = true) }
        val open = sim.openTokens
        sim.runTo(62_000.0)
        val lost = sim.paid - sim.used - open
        assertTrue(lost <= 0.05 * sim.paid, "lost $lost; ${describe(sim)}")
    }

    /**
     * Guards against tokens that stay on idle hosts while the only busy host runs out, whichever host
     * that is.
     */
    @Test
    fun tokensOfIdleHostsReachTheOnlyBusyHost() {
        for (busy in 0 until 8) {
            val sim =
                EntryBudgetSimulation(
                    paid = 3_000_000,
                    entryBudgetSettings,
                    withShortPrompts = true
                )
            sim.hostFor = { busy }
            sim.runTo(15_000.0)
            sim.traffic(perSecond = 15.0, from = 15_000.0, to = 50_000.0)
            sim.outage(from = 20_300.0, to = 28_300.0)
            sim.runTo(31_000.0)
            val before = sim.refusals.size
            sim.trafficFactor = 3.0
            sim.runTo(37_000.0)
            val refused = sim.refusals.size - before
            assertTrue(sim.used < 0.8 * sim.paid, "host $busy: ${describe(sim)}")
            assertTrue(refused == 0, "host $busy: $refused refused; ${describe(sim)}")
        }
    }

    /** Guards against counting the whole slices of hosts that lost power as spent. */
    @Test
    fun powerLossOfAllHostsLeavesWhatTheMarksExclude() {
        val lostTokens = { settings: BudgetSettings ->
            val sim = EntryBudgetSimulation(paid = 4_000_000, settings = settings)
            sim.traffic(perSecond = 4.0, from = 0.0, to = 90_000.0)
            sim.runTo(15_000.0)
            sim.hosts.indices.forEach { sim.restart(it, powerLoss = true) }
            sim.runTo(95_000.0)
            sim.paid - sim.used
        }
        val lost = lostTokens(entryBudgetSettings)
        val lostWithout = lostTokens(entryBudgetSettings.copy(spendMarks = null))
        assertTrue(lost < lostWithout, "lost $lost, without marks $lostWithout")
    }

    private class OutageRun(val arrived: Int, val served: Int) {
        val refused: Int get() = arrived - served
    }

    /**
     * Simulates six seeds in which all hosts lose the store twice for eight seconds each and the
     * request rate about doubles in between. With [kill], all hosts are killed at the end while
     * requests continue.
     */
    private fun runOutages(settings: BudgetSettings, perSecond: Double, kill: Boolean): OutageRun {
        var arrived = 0
        var served = 0
        for (seed in 1..6) {
            val sim = EntryBudgetSimulation(paid(perSecond), settings, seed = seed)
            sim.traffic(perSecond, from = 0.0, to = if (kill) 58_000.0 else 41_000.0)
            sim.outage(from = 5_300.0, to = 13_300.0)
            sim.runTo(16_000.0)
            sim.trafficFactor = 2.2
            sim.runTo(22_000.0)
            sim.trafficFactor = 1.0
            sim.outage(from = 24_000.0, to = 32_000.0)
            sim.runTo(41_000.0)
            if (kill) sim.hosts.indices.forEach { sim.restart(it) }
            sim.runTo(61_000.0)
            arrived += sim.arrived
            served += sim.served
        }
        return OutageRun(arrived, served)
    }

    private fun paid(perSecond: Double) =
        (perSecond * MEAN_TOKENS * DAY_SECONDS * PAID_RATIO).toLong()

    /** Guards against hosts without a slice when the store becomes unreachable. */
    @Test
    fun slicesAheadHalveTheRefusalsOfAnOutage() {
        val withoutSlicesAhead = entryBudgetSettings.copy(
            advanceShare = 0.0,
            grantSpan = 1.milliseconds,
            refillThresholdSpan = Duration.ZERO
        )
        for (perSecond in listOf(0.8, 2.0, 8.0)) {
            val before = runOutages(withoutSlicesAhead, perSecond, kill = false)
            val after = runOutages(entryBudgetSettings, perSecond, kill = false)
            val text = "at $perSecond/s: ${after.refused} refused of ${after.arrived}, " +
                "${before.refused} of ${before.arrived} without slices ahead"
            assertTrue(after.refused * 2 <= before.refused, text)
        }
    }

    /**
     * Guards against slices so large that a kill of all hosts costs more than they save in outages.
     */
    @Test
    fun killOfAllHostsCostsLessThanWithAStaticSplit() {
        for (perSecond in listOf(0.8, 2.0, 8.0)) {
            var before = 0
            for (seed in 1..6) {
                val staticSplit = StaticSplit(paid(perSecond), hosts = 8, seed)
                staticSplit.traffic(
                    perSecond,
                    to = 58_000.0,
                    trafficFactor = { if (it in 16_000.0..22_000.0) 2.2 else 1.0 },
                    killAt = 41_000.0
                )
                before += staticSplit.served
            }
            val after = runOutages(entryBudgetSettings, perSecond, kill = true)
            val text = "at $perSecond/s: ${after.served} served of ${after.arrived}, " +
                "$before with a static split"
            assertTrue(after.served > before, text)
        }
    }

    /**
     * Guards against losing all tokens of a killed host, and against spend marks that grow too
     * fast.
     */
    @Test
    fun mostTokensOfKilledHostsAreRecovered() {
        val lostTokens = { settings: BudgetSettings ->
            val sim = EntryBudgetSimulation(paid = 4_000_000, settings = settings)
            sim.traffic(perSecond = 4.0, from = 0.0, to = 90_000.0)
            sim.runTo(15_000.0)
            sim.hosts.indices.forEach { sim.restart(it) }
            sim.runTo(30_000.0)
            sim.hosts.indices.forEach { sim.restart(it) }
            sim.runTo(95_000.0)
            sim.paid - sim.used
        }
        val lost = lostTokens(entryBudgetSettings)
        val lostWithout = lostTokens(entryBudgetSettings.copy(spendMarks = null))
        assertTrue(lost * 2 <= lostWithout, "lost $lost, without marks $lostWithout")
    }

    /**
     * Guards against spending more than the budget under random kills, outages and lost answers.
     */
    @Test
    fun killsAndOutagesNeverLetTheSpendPassTheBudget() = assertBudgetHolds { false }

    /** Guards against bounds of marks that rely on a clock, which starts anew after a power loss. */
    @Test
    fun powerLossesNeverLetTheSpendPassTheBudget() = assertBudgetHolds { it.nextBoolean() }

    private fun assertBudgetHolds(isPowerLoss: (Random) -> Boolean) {
        for (seed in 1..40) {
            val random = Random(seed)
            val sim =
                EntryBudgetSimulation(paid = 2_000_000, settings = entryBudgetSettings, seed = seed)
            sim.lostAnswerPercent = 10
            sim.traffic(perSecond = 8.0, from = 0.0, to = 40_000.0)
            while (sim.time < 40_000) {
                val host = random.nextInt(sim.hosts.size)
                when (random.nextInt(3)) {
                    0 -> sim.restart(host, random.nextDouble(10.0, 2_000.0), isPowerLoss(random))
                    1 -> sim.setConnected(sim.hosts[host], connected = random.nextBoolean())
                    else -> sim.trafficFactor = random.nextDouble(0.5, 3.0)
                }
                sim.runTo(sim.time + random.nextDouble(50.0, 1_500.0))
            }
            sim.runTo(45_000.0)
            assertTrue(sim.used <= sim.paid, "seed $seed: ${describe(sim)}")
            assertTrue(sim.served > 0, "seed $seed")
        }
    }

    private companion object {
        const val MEAN_TOKENS = 12_000
        const val DAY_SECONDS = 41
        const val PAID_RATIO = 1.3
    }
}
