/*
 * How entry hosts share budgets: through the store alone, in small slices.
 *
 * A host that is killed loses its slice, and hosts are killed often; a host that is cut off from the
 * store lives on its slice. The slices of all hosts together hold a part of what remains, so that
 * both losses stay small. Single requests may need a tenth of a small customer's budget, so near the
 * end each request draws what it needs and nothing ahead.
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
    placedShare = 0.35,
    holderShare = 0.06,
    holdSpan = 10.seconds,
    holdRequests = 2.0,
    demandSpan = 8.seconds,
    endHorizon = 3.seconds,
    endSpan = 200.milliseconds,
    knownFor = 300.milliseconds,
    copylessDelay = Duration.ZERO
)
