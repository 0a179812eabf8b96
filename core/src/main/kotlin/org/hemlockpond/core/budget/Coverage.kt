/*
 * Compares the tokens that waiting requests need with the last known budget record.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import org.hemlockpond.core.RouterId

internal class Coverage(
    private val self: RouterId,
    private val settings: BudgetSettings,
    private val sizing: SliceSizing
) {
    /** Whether a recently read record, including all slices, can't cover the request. */
    fun isExhausted(account: Account, waiter: Waiter): Boolean =
        account.recordAsOf >= waiter.since - settings.answerTtl &&
            account.remainingAtMost < waiter.tokens

    /**
     * Whether the tokens that the request needs are in the slices of other routers, which can't be
     * reached because no peer lends tokens. Uses only a record that was read within
     * [BudgetSettings.minReadInterval] before the request arrived, or later.
     */
    fun isUnreachable(account: Account, waiter: Waiter): Boolean =
        settings.hasNoPeers && account.recordAsOf >= waiter.since - recentAge(account) &&
            account.record.slices.keys.any { it != self } &&
            account.free + account.record.available < waiter.tokens

    /** If another holder keeps all remaining tokens, the record changes little, and that holder is asked. */
    private fun recentAge(account: Account): Duration =
        if (sizing.isKeptElsewhere(account)) settings.answerTtl * 2 else settings.minReadInterval

    /**
     * Whether the record can probably cover the shortage, or a read that may show this is pending,
     * which makes a loan unnecessary.
     */
    fun recordLikelyCoversShortage(account: Account, now: Duration): Boolean {
        val fresh = account.recordAsOf >= now - settings.answerTtl
        if (fresh) return account.record.available >= account.shortage
        return account.pendingReadSentAt?.let { now - it < settings.loanAnswerTimeout } ?: false
    }
}
