package org.hemlockpond.core.budget

import kotlin.time.Duration

/**
 * What a router knows of one budget.
 *
 * @property free tokens of its slice that aren't reserved
 * @property allowed those of them that its marks allow now
 * @property recorded tokens that no slice held when the record was last seen
 * @property recordAge how long ago that was
 */
data class BudgetState(
    val free: Long,
    val allowed: Long,
    val recorded: Long,
    val recordAge: Duration
)
