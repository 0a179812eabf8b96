/*
 * How entry hosts share budgets: through the store alone, in slices.
 *
 * All hosts can be cut off from the store for ten seconds at a time, and then live on their slices.
 * A host that is killed loses its slice, and a large request needs tokens that no other host holds.
 * A host therefore draws a few seconds of its own demand at a time, and hosts keep a part of the
 * remaining tokens ahead, in proportion to demand; the rest stays in the store.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.budget.BudgetSettings

/** Settings of the budget component on entry hosts. */
val entryBudgetSettings = BudgetSettings(
    grantWait = 1.seconds,
    grantSpan = 5.seconds,
    lowSpan = 2.seconds,
    reportInterval = 1.seconds,
    idleReportInterval = 3.seconds,
    placedShare = 0.3,
    holdSpan = 1.hours,
    demandSpan = 8.seconds,
    endHorizon = 3.seconds,
    endSpan = 200.milliseconds,
    knownFor = 500.milliseconds,
    readInterval = 200.milliseconds,
    peerless = true,
    copylessDelay = Duration.ZERO
)
