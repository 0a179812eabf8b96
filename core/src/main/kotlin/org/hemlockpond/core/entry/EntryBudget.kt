/*
 * How entry hosts share budgets: through the store alone, in slices.
 *
 * All hosts can be cut off from the store for ten seconds at a time, and then live on their slices.
 * A host that is killed loses its slice. Each host therefore takes an equal part of what remains
 * ahead of any demand, and a little more where it has seen demand; the rest stays in the store. Near
 * the end each request draws what it needs and nothing ahead.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.budget.BudgetSettings

/** Settings of the budget component on entry hosts. */
val entryBudgetSettings = BudgetSettings(
    grantWait = 1.seconds,
    grantSpan = 1.seconds,
    lowSpan = 2.seconds,
    reportInterval = 1.seconds,
    idleReportInterval = 3.seconds,
    placedShare = 0.6,
    idleShare = 0.4,
    expectedHolders = 8,
    holderShare = 0.09,
    holdSpan = 12.seconds,
    holdRequests = 2.0,
    demandSpan = 8.seconds,
    endHorizon = 3.seconds,
    endSpan = 200.milliseconds,
    knownFor = 300.milliseconds,
    copylessDelay = Duration.ZERO
)
