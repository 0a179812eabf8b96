/*
 * The holder's view of its own lease in the store.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import org.hemlockpond.core.Now

/** Tells whether this router may still spend, whatever the store or other routers have done. */
internal class Lease(settings: BudgetSettings) {
    private val usableDuration = settings.routerLease - settings.leaseMargin
    private var lastRenewalSentAt: Now? = null

    fun onRenewed(sentAt: Now) {
        val last = lastRenewalSentAt
        if (last == null || sentAt.elapsed > last.elapsed) lastRenewalSentAt = sentAt
    }

    /**
     * The monotonic clock may stand still while the host is suspended, and the wall clock may be
     * set back, so the larger of the two times counts.
     */
    fun isHeld(now: Now): Boolean {
        val sentAt = lastRenewalSentAt ?: return false
        val age: Duration = maxOf(now.elapsed - sentAt.elapsed, now.wall - sentAt.wall)
        return age < usableDuration
    }
}
