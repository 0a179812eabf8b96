/*
 * The stored budget of one customer and the pure functions that change it. A writer reads the
 * record, applies these functions and writes the result by compare-and-swap on the revision that it
 * read. After a conflict it reads the record again and repeats the change.
 */
package org.hemlockpond.core.budget

import kotlinx.serialization.Serializable
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouterId

/**
 * The part of a budget that one router incarnation may spend. All counts are tokens since the slice
 * was created.
 *
 * @property granted tokens granted from the record; returned tokens are subtracted, so the value
 *   is negative if the holder returns borrowed tokens
 * @property spent tokens of settled requests, as last reported
 * @property lent tokens lent to other routers, as last reported
 * @property borrowed tokens received from other routers, as last reported
 * @property sequence number of the holder's write that produced this slice
 * @property wanted measured demand, in tokens over [BudgetSettings.grantSpan]
 */
@Serializable
data class Slice(
    val domain: FailureDomain,
    val granted: Long = 0,
    val spent: Long = 0,
    val lent: Long = 0,
    val borrowed: Long = 0,
    val sequence: Long = 0,
    val wanted: Long = 0
) {
    /** Tokens that left the budget through this slice, as last reported. */
    val used: Long get() = spent + lent - borrowed

    /** Tokens that the holder may still spend or lend, as last reported. */
    val free: Long get() = granted - used
}

/**
 * The use of one customer at a dead router, as replicated to other routers.
 *
 * @property settled tokens of all requests that the router settled since its process started
 * @property reserved tokens of its open reservations
 */
@Serializable
data class SpendCopy(val settled: Long, val reserved: Long)

/**
 * The budget of one customer, stored under `hemlockpond/budgets/{customer}`. The sum of
 * [closedSpent] and of all granted tokens never exceeds [paid].
 *
 * @property payments prepaid tokens by payment id
 * @property closedSpent tokens charged for slices that have been closed
 * @property slices one slice for each router incarnation that holds tokens
 * @property era the store's era in which the record was last written; 0 without eras
 * @property bases the versions of earlier eras that the record contains, by era
 * @property isRestoring whether the last writer knew that holders may still restore their slices
 */
@Serializable
data class BudgetRecord(
    val payments: Map<String, Long> = emptyMap(),
    val closedSpent: Long = 0,
    val slices: Map<RouterId, Slice> = emptyMap(),
    val era: Long = 0,
    val bases: Map<Long, EraBase> = emptyMap(),
    val isRestoring: Boolean = false
) {
    /** All prepaid tokens. */
    val paid: Long get() = payments.values.sum()

    /** Tokens that are neither charged nor granted. */
    val available: Long get() = paid - closedSpent - slices.values.sumOf { it.granted }

    /** Tokens not reported as used; an upper bound on what the customer can still spend. */
    val remaining: Long get() = paid - closedSpent - slices.values.sumOf { it.used }

    /**
     * Adds a payment. A payment id counts once: if it is present, the record is returned unchanged,
     * whatever the amount.
     *
     * @throws IllegalArgumentException if [tokens] isn't positive
     */
    fun withPayment(id: String, tokens: Long): BudgetRecord {
        require(tokens > 0) { "payment $id has $tokens tokens; a payment must be positive" }
        return if (id in payments) this else copy(payments = payments + (id to tokens))
    }

    /** Adds all [added] payments as [withPayment] does. */
    fun withPayments(added: Map<String, Long>): BudgetRecord =
        added.entries.fold(this) { record, (id, tokens) -> record.withPayment(id, tokens) }

    /** Tokens of [added] that the record doesn't contain yet; 0 means that no write is needed. */
    fun missingTokens(added: Map<String, Long>): Long =
        added.entries.sumOf { (id, tokens) -> if (id in payments) 0 else tokens }

    /**
     * The record as the starting point of a write in [era].
     *
     * @param revision the store's own revision at which the record was read
     */
    fun enterEra(era: Long, revision: Long): BudgetRecord = RecordVersion(this, revision).enter(era)

    /**
     * Replaces the slice of [router] by [slice]; only its holder may do this. An increase of
     * `granted` is limited to [available]; a decrease returns tokens to the record.
     */
    fun withSlice(router: RouterId, slice: Slice): BudgetRecord {
        val before = slices[router]?.granted ?: 0
        val limit = before + maxOf(0, available)
        return copy(slices = slices + (router to slice.copy(granted = minOf(slice.granted, limit))))
    }

    /** Closes the slice of [router] at its own request and charges the use that [final] shows. */
    fun withReturned(router: RouterId, final: Slice): BudgetRecord = closeSlice(router, final.used)

    /**
     * Closes the slice of the dead [router]. With a [copy], charges settled spend, open
     * reservations and [lent], the tokens that the router is known to have lent. Without a copy,
     * charges the whole grant. The charge never exceeds the grant because no holder uses more.
     */
    fun withClosed(router: RouterId, copy: SpendCopy?, lent: Long = 0): BudgetRecord {
        val slice = slices[router] ?: return this
        if (copy == null) return closeSlice(router, slice.granted)
        val spent = maxOf(copy.settled, slice.spent) + copy.reserved
        return closeSlice(router, spent + maxOf(lent, slice.lent) - slice.borrowed)
    }

    private fun closeSlice(router: RouterId, tokens: Long): BudgetRecord {
        val slice = slices[router] ?: return this
        return copy(
            closedSpent = closedSpent + minOf(tokens, slice.granted),
            slices = slices - router
        )
    }

    companion object {
        /** Budget records are stored under this prefix and the customer's id. */
        const val PREFIX = "hemlockpond/budgets/"

        /** The store key of the record of [customer]. */
        fun key(customer: CustomerId): String = PREFIX + customer.value
    }
}
