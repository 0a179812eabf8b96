/*
 * How entry hosts share budgets: in slices, through the store alone.
 *
 * All hosts can lose the store for ten seconds at a time, and then spend only from their slices.
 * Callers of a restarting host move to other hosts, so every host holds a slice of each budget.
 * Large requests need tokens that aren't granted to any host, so a part of the budget stays in the
 * store, and this part grows as the budget runs out. After a kill, a host recovers the tokens that
 * its last spend mark shows as unspent, which are fewer the longer the store was unreachable
 * before. After a power loss it recovers nothing.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.budget.BudgetSettings
import org.hemlockpond.core.budget.MarkSettings

/** Budget settings of entry hosts. */
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
