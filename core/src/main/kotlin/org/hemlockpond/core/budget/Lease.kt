/*
 * The lease of this router in the store, as this router sees it.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import org.hemlockpond.core.Now

/** Decides from local clocks alone whether this router's lease still allows it to spend. */
internal class Lease(settings: BudgetSettings) {
    private val usableDuration = settings.routerLease - settings.leaseMargin
    private var lastRenewalSentAt: Now? = null

    /** Notes a renewal that was sent at [sentAt]; older renewals are ignored. */
    fun onRenewed(sentAt: Now) {
        val last = lastRenewalSentAt
        if (last == null || sentAt.elapsed > last.elapsed) lastRenewalSentAt = sentAt
    }

    /**
     * Whether the lease is valid at [now], less the safety margin. The larger of the two elapsed
     * times counts: the monotonic clock may stop while the host is suspended, and the wall clock
     * may be set back.
     */
    fun isHeld(now: Now): Boolean {
        val sentAt = lastRenewalSentAt ?: return false
        val age: Duration = maxOf(now.elapsed - sentAt.elapsed, now.wall - sentAt.wall)
        return age < usableDuration
    }
}
