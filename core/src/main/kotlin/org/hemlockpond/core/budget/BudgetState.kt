package org.hemlockpond.core.budget

import kotlin.time.Duration

/**
 * One router's view of a customer's budget.
 *
 * @property free unreserved tokens in the router's slice
 * @property spendable part of [free] that the router's spend marks allow it to spend now
 * @property availableInRecord tokens outside all slices when the budget record was last read
 * @property recordAge time since the budget record was last read
 */
data class BudgetState(
    val free: Long,
    val spendable: Long,
    val availableInRecord: Long,
    val recordAge: Duration
)
