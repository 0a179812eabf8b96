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
import org.hemlockpond.core.budget.MarkSettings

/** Settings of the budget component on entry hosts. */
val entryBudgetSettings = BudgetSettings(
    grantWait = 1.seconds,
    grantSpan = 2.seconds,
    lowSpan = 2.seconds,
    reportInterval = 1.seconds,
    idleReportInterval = 6.seconds,
    reportGrid = 1.seconds,
    placedShare = 0.8,
    placedTaper = 1.2,
    evenPart = 0.8,
    fewestHolders = 8,
    demandSpan = 8.seconds,
    demandStart = 2.seconds,
    endHorizon = 3.seconds,
    endSpan = 200.milliseconds,
    knownFor = 500.milliseconds,
    readInterval = 200.milliseconds,
    peerless = true,
    marks = MarkSettings(
        interval = 1.seconds,
        ahead = 0.15,
        pace = 0.08,
        lapse = 4.seconds
    ),
    copylessDelay = Duration.ZERO
)
