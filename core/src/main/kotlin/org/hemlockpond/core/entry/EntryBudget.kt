/*
 * How entry hosts share budgets: through the store alone, in slices.
 *
 * All hosts can be cut off from the store for ten seconds at a time, and then live on their slices.
 * Callers of a host that restarts move to others, so every host holds a part of each budget. A large
 * request needs tokens that no other host holds, so some are left in the store, and more of them as
 * the budget runs out. A host that is killed gets back what its last mark shows to be unspent; the
 * longer the store was away before, the less that is. After a loss of power it gets nothing back.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.budget.BudgetSettings
import org.hemlockpond.core.budget.SpendMarkSettings

/** Settings of the budget component on entry hosts. */
val entryBudgetSettings = BudgetSettings(
    grantWait = 1.seconds,
    grantSpan = 2.seconds,
    refillThresholdSpan = 2.seconds,
    reportInterval = 1.seconds,
    idleReportInterval = 6.seconds,
    reportAlignment = 1.seconds,
    advanceShare = 0.8,
    advanceTaperExponent = 1.2,
    evenShare = 0.8,
    minHolders = 8,
    demandTimeConstant = 8.seconds,
    minDemandWindow = 2.seconds,
    endHorizon = 3.seconds,
    endSpan = 200.milliseconds,
    answerTtl = 500.milliseconds,
    minReadInterval = 200.milliseconds,
    hasNoPeers = true,
    spendMarks = SpendMarkSettings(
        interval = 1.seconds,
        initialShare = 0.15,
        sharePerSecond = 0.08,
        ttl = 4.seconds
    ),
    closeWithoutCopyDelay = Duration.ZERO
)
