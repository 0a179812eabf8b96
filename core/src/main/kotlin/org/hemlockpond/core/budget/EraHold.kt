/*
 * Holds back grants, reports and closures after the store has returned from an older copy. Until live
 * holders have had time to write again what the store has lost, tokens that the record shows as free may
 * be another holder's, and the slice of an ended run may be larger than the record shows.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import org.hemlockpond.core.EraRevision

/** @param restoreTime how long holders have to write their slices again */
internal class EraHold(private val restoreTime: Duration) {
    private var era: Long? = null

    /** The end of the hold that a change of the era has begun. */
    private var until = -Duration.INFINITE

    /** The store is in the era [next]; returns whether it has returned from a copy since the last call. */
    fun eraSeen(next: Long, now: Duration): Boolean {
        val last = era
        era = next
        if (last == null || last == next) return false
        until = now + restoreTime
        return true
    }

    /** Holds [account] like the others. */
    fun begin(account: Account) {
        account.heldUntil = maxOf(account.heldUntil, until)
        account.readsAfterHold = account.heldUntil > -Duration.INFINITE
    }

    /**
     * A router that has just started can't know whether the store has just returned. It holds the
     * account if the record wasn't written in the current era by a holder that was done waiting.
     */
    fun firstRead(account: Account, revision: Long, record: BudgetRecord, now: Duration) {
        val isOld = record.era < EraRevision.era(revision) && EraRevision.stored(revision) > 0
        if (!isOld && !record.isRestoring) return
        account.heldUntil = maxOf(account.heldUntil, now + restoreTime)
        account.readsAfterHold = true
    }

    fun isHeld(account: Account, now: Duration): Boolean = now < account.heldUntil

    /** Requests a read of the record when the hold of [account] has ended. */
    fun resume(account: Account, now: Duration) {
        if (!account.readsAfterHold || isHeld(account, now)) return
        account.readsAfterHold = false
        account.mustRead = true
    }
}
