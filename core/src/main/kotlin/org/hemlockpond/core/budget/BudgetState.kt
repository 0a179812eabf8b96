package org.hemlockpond.core.budget

import kotlin.time.Duration

/**
 * One router's view of a customer's budget.
 *
 * @property free unreserved tokens in the router's slice
 * @property spendable part of [free] that the router's spend marks allow it to spend now
 * @property availableInRecord tokens outside all slices when the budget record was last read
 * @property recordAge time since the budget record was last read
 * @property reserved tokens of the router's open reservations
 * @property paid all prepaid tokens in the record
 * @property charged tokens that ended slices were charged in the record
 * @property freeElsewhere tokens that other slices have left, as their holders last reported
 */
data class BudgetState(
    val free: Long,
    val spendable: Long,
    val availableInRecord: Long,
    val recordAge: Duration,
    val reserved: Long = 0,
    val paid: Long = 0,
    val charged: Long = 0,
    val freeElsewhere: Long = 0
)
