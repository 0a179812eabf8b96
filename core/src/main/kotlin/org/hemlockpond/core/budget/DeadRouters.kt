/*
 * Closes the slices of routers that are proven to spend no more tokens.
 *
 * The copy of a dead router's spend shows what it spent and reserved, but not what it lent. A
 * router of the same failure domain that received the lent totals of all customers also knows the
 * loans, because no loan is sent before all of these routers have confirmed it. Only such a router
 * closes slices from a copy. A router without peers has lent nothing, so an upper bound on its use
 * is sufficient.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RouterId

internal class DeadRouters(private val settings: BudgetSettings) {
    private class Death(val since: Duration, val copies: Map<CustomerId, SpendCopy>?)

    private val deaths = HashMap<RouterId, Death>()
    private val usageBounds = HashMap<RouterId, Map<CustomerId, Long>>()
    private val lentTotals = HashMap<RouterId, MutableMap<CustomerId, Long>>()

    /** Lenders whose lent totals of all customers have been received. */
    private val complete = HashSet<RouterId>()

    operator fun contains(router: RouterId): Boolean = router in deaths

    fun onRouterDied(router: RouterId, copies: Map<CustomerId, SpendCopy>?, now: Duration) {
        deaths.values.removeIf { now - it.since > settings.routerLease * 2 }
        val known = deaths[router]
        deaths[router] = Death(known?.since ?: now, copies ?: known?.copies)
    }

    /** [router] has ended and used no more tokens than [usedAtMost] shows by customer. */
    fun onRunEnded(router: RouterId, usedAtMost: Map<CustomerId, Long>, now: Duration) {
        onRouterDied(router, copies = null, now)
        usageBounds[router] = usedAtMost
    }

    /** Records the lent totals of [lender]; returns false if it is already known to be dead. */
    fun recordLentTotals(lender: RouterId, message: BudgetMessage.LentTotals): Boolean {
        if (lender in deaths) return false
        val totals = lentTotals.getOrPut(lender) { HashMap() }
        for ((customer, total) in message.totals) totals.merge(customer, total, ::maxOf)
        if (message.complete) complete += lender
        return true
    }

    /** Whether [record] has a slice that [closeSlices] would close now. */
    fun hasClosableSlice(record: BudgetRecord, now: Duration): Boolean = deaths.isNotEmpty() &&
        record.slices.keys.any { router ->
            deaths[router]?.let { canClose(router, it, now) } == true
        }

    /** Whether [record] has a slice of a dead router. */
    fun hasDeadSlice(record: BudgetRecord): Boolean =
        deaths.isNotEmpty() && record.slices.keys.any { it in deaths }

    /** Closes every slice of [record] that can be closed now. */
    fun closeSlices(customer: CustomerId, record: BudgetRecord, now: Duration): BudgetRecord {
        if (deaths.isEmpty()) return record
        return record.slices.keys.fold(record) { result, router ->
            val death = deaths[router]
            when {
                death == null || !canClose(router, death, now) -> result

                router in usageBounds -> {
                    // Without a bound for the customer, the whole grant is charged.
                    val usageBound = usageBounds.getValue(router)[customer]
                    result.withClosed(router, usageBound?.let { SpendCopy(it, reserved = 0) })
                }

                death.copies != null && router in complete -> {
                    val copy = death.copies[customer] ?: SpendCopy(0, 0)
                    result.withClosed(router, copy, lentTotals[router]?.get(customer) ?: 0)
                }

                // Charges the whole grant, as the copy or some of the lent totals are missing.
                else -> result.withClosed(router, null)
            }
        }
    }

    private fun canClose(router: RouterId, death: Death, now: Duration): Boolean =
        router in usageBounds || (death.copies != null && router in complete) ||
            now - death.since >= settings.closeWithoutCopyDelay
}
