/*
 * What the last known record says about requests that wait for tokens.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import org.hemlockpond.core.RouterId

internal class Coverage(private val self: RouterId, private val settings: BudgetSettings) {
    /** A record that was read recently doesn't cover the request, even with all other slices. */
    fun isExhausted(account: Account, waiter: Waiter): Boolean =
        account.recordAsOf >= waiter.since - settings.answerTtl &&
            account.remainingAtMost < waiter.tokens

    /**
     * A record that was read just before the request, or since, leaves too little for it. Without
     * peers to lend the tokens of other slices, the request would wait in vain.
     */
    fun isUnreachable(account: Account, waiter: Waiter): Boolean =
        settings.hasNoPeers && account.recordAsOf >= waiter.since - settings.minReadInterval &&
            account.record.slices.keys.any { it != self } &&
            account.free + account.record.available < waiter.tokens

    /** The record can probably give what is short, so that no loan is needed. */
    fun recordLikelyCoversShortage(account: Account, now: Duration): Boolean {
        val fresh = account.recordAsOf >= now - settings.answerTtl
        if (fresh) return account.record.available >= account.shortage
        return account.pendingReadSentAt?.let { now - it < settings.loanAnswerTimeout } ?: false
    }
}
