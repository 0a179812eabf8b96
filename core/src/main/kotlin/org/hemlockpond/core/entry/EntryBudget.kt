/*
 * How entry hosts share budgets: in slices, through the store alone.
 *
 * All hosts can lose the store for ten seconds at a time, and then spend only from their slices.
 * Callers of a restarting host move to other hosts, so every host holds a slice of each budget.
 * Large requests need tokens that aren't granted to any host, so a part of the budget stays in the
 * store, and this part grows as the budget runs out. After a kill, a host recovers the tokens that
 * its last spend mark shows as unspent, which are fewer the longer the store was unreachable
 * before. After a power loss it recovers what the mark's ceiling leaves.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.budget.BudgetSettings
import org.hemlockpond.core.budget.SpendMarkSettings

/** Budget settings of entry hosts. */
val entryBudgetSettings = BudgetSettings(
    grantWait = 1.seconds,
    grantSpan = 2.seconds,
    refillThresholdSpan = 2.seconds,
    reportInterval = 1.seconds,
    maxReportInterval = 9.seconds,
    idleReportInterval = 5.seconds,
    reportAlignment = 1.seconds,
    reportSpread = 0.25,
    advanceShare = 0.8,
    advanceTaperExponent = 1.2,
    evenShare = 0.8,
    minHolders = 8,
    settleTime = 1.seconds,
    joinShare = 0.005,
    demandTimeConstant = 8.seconds,
    minDemandWindow = 2.seconds,
    endHorizon = 3.seconds,
    endSpan = 200.milliseconds,
    answerTtl = 500.milliseconds,
    minReadInterval = 200.milliseconds,
    hasNoPeers = true,
    spendMarks = SpendMarkSettings(
        interval = 2.seconds,
        initialShare = 0.15,
        sharePerSecond = 0.08,
        ttl = 5.seconds,
        outageSpan = 12.seconds,
        outageShare = 0.8
    ),
    closeWithoutCopyDelay = Duration.ZERO
)

/**
 * Budget settings of a fleet in which one host of each of [domains] failure domains holds the slices of
 * a customer.
 *
 * @param sharesTokens whether hosts reserve tokens at the homes of other domains, so that a rest that one
 *   holder keeps can be used by all
 */
fun domainBudgetSettings(domains: Int, sharesTokens: Boolean = false): BudgetSettings {
    val settings = entryBudgetSettings.copy(
        minHolders = domains.coerceAtLeast(1),
        // A domain reports as often as one with three holders would.
        reportInterval = entryBudgetSettings.reportInterval * 3
    )
    if (!sharesTokens || domains < 2) return settings
    return settings.copy(keeperRequests = KEEPER_REQUESTS)
}

/** Split among three homes, a rest for fewer requests covers less than three at each. */
private const val KEEPER_REQUESTS = 8
