/*
 * What the last known record says about requests that wait for tokens.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import org.hemlockpond.core.RouterId

internal class Coverage(private val self: RouterId, private val settings: BudgetSettings) {
    /** A record that was read recently doesn't cover the request, even with all other slices. */
    fun exhausted(account: Account, waiter: Waiter): Boolean =
        account.knownAt >= waiter.since - settings.knownFor &&
            account.remainingAtMost < waiter.tokens

    /**
     * A record that was read just before the request, or since, leaves too little for it. Without
     * peers to lend the tokens of other slices, the request would wait in vain.
     */
    fun unavailable(account: Account, waiter: Waiter): Boolean =
        settings.peerless && account.knownAt >= waiter.since - settings.readInterval &&
            account.record.slices.keys.any { it != self } &&
            account.free + account.record.available < waiter.tokens

    /** The record can probably give what is short, so that no loan is needed. */
    fun probablyStored(account: Account, now: Duration): Boolean {
        val fresh = account.knownAt >= now - settings.knownFor
        if (fresh) return account.record.available >= account.shortage
        return account.reading?.let { now - it < settings.loanAnswer } ?: false
    }
}
