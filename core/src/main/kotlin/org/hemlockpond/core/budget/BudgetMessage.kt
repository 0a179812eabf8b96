/*
 * Messages between the budget components of two routers. All counts are cumulative for a customer
 * and a pair of routers, which makes lost, repeated and reordered messages harmless.
 */
package org.hemlockpond.core.budget

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hemlockpond.core.CustomerId

/** A message to the budget component of another router. */
@Serializable
sealed interface BudgetMessage {
    /**
     * Asks for a loan of [tokens].
     *
     * @property received tokens that the sender has received from this lender so far
     */
    @Serializable
    @SerialName("loan-request")
    data class LoanRequest(val customer: CustomerId, val tokens: Long, val received: Long) :
        BudgetMessage

    /**
     * Lends tokens, or declines if [total] is unchanged.
     *
     * @property total tokens that the sender has lent to this borrower so far
     */
    @Serializable
    @SerialName("loan")
    data class Loan(val customer: CustomerId, val total: Long) : BudgetMessage

    /**
     * Reports the total that the sender has lent to all borrowers, by customer. A router of the
     * same failure domain needs these totals to close the sender's slices from a copy.
     *
     * @property complete whether no tokens were lent from the budgets of missing customers
     */
    @Serializable
    @SerialName("lent-totals")
    data class LentTotals(val totals: Map<CustomerId, Long>, val complete: Boolean) : BudgetMessage

    /** Confirms [LentTotals] with the same content. */
    @Serializable
    @SerialName("lent-totals-noted")
    data class LentTotalsNoted(val totals: Map<CustomerId, Long>, val complete: Boolean) :
        BudgetMessage
}
