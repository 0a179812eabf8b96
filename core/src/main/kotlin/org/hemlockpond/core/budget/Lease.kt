/*
 * The holder's view of its own lease in the store.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import org.hemlockpond.core.Now

/** Tells whether this router may still spend, whatever the store or other routers have done. */
internal class Lease(settings: BudgetSettings) {
    private val usable = settings.routerLease - settings.leaseMargin
    private var sent: Now? = null

    fun renewed(at: Now) {
        val last = sent
        if (last == null || at.elapsed > last.elapsed) sent = at
    }

    /**
     * The monotonic clock may stand still while the host is suspended, and the wall clock may be
     * set back, so the larger of the two times counts.
     */
    fun held(now: Now): Boolean {
        val at = sent ?: return false
        val age: Duration = maxOf(now.elapsed - at.elapsed, now.wall - at.wall)
        return age < usable
    }
}
