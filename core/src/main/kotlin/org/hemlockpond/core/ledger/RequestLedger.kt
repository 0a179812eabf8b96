/*
 * The request ledger of one router (design section 2.3): each request runs under one claim and is
 * billed once, whichever routers its caller's retries reach.
 */
package org.hemlockpond.core.ledger

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/**
 * Decides which requests run, keeps their bills and copies them to a peer.
 *
 * Ledger and budget fit together as follows. The router reserves tokens in the budget, then passes
 * [LedgerEvent.Begin]. [LedgerAction.Proceed] names the tokens that the budget has charged already
 * for earlier attempts; the router's own hold shrinks by as much. On the end of the request the
 * router settles its hold with `max(0, used - takenOver)`. Whatever was charged beyond the real use
 * comes back as [LedgerAction.CreditBill], which lowers the spend of this router's own slice.
 *
 * When a router dies, the budget closes its slice with [copiesOf]: the settled spend plus every
 * open reservation in full. A retry takes over the dead router's reservation, the one bill settles
 * to the real use, and the credit goes back to the budget of the router that served the retry.
 */
class RequestLedger(
    private val self: RouterId,
    @Suppress("unused") private val domain: FailureDomain,
    private val settings: LedgerSettings = LedgerSettings()
) {
    private class Entry(
        val begin: LedgerEvent.Begin,
        val attempt: AttemptId,
        var answer: RecordedAnswer? = null,
        var tokens: Long = 0,
        var endedAt: Duration? = null
    )

    private val entries = HashMap<RequestId, Entry>()
    private var attempts = 0L

    /** Applies one event at the time [now] and returns what the router has to do, in order. */
    fun handle(event: LedgerEvent, now: Now): List<LedgerAction> = when (event) {
        is LedgerEvent.Begin -> begin(event)

        is LedgerEvent.Finish -> finish(event.request, event.used, event.answer, now)

        is LedgerEvent.Interrupted -> finish(event.request, event.used, null, now).minusRelease()

        is LedgerEvent.Abandon -> {
            entries.remove(event.request)
            emptyList()
        }

        else -> emptyList()
    }

    /** What this router's copy of [router] shows, or null if it holds none. */
    @Suppress("UnusedParameter", "FunctionOnlyReturningConstant")
    fun copiesOf(router: RouterId): RouterCopies? = null

    /** The cumulative net spend of this router by customer, in tokens. */
    fun spent(customer: CustomerId): Long =
        entries.values.filter { it.begin.customer == customer }.sumOf { it.tokens }

    private fun List<LedgerAction>.minusRelease() = filter { it !is LedgerAction.Release }

    private fun begin(event: LedgerEvent.Begin): List<LedgerAction> {
        val known = entries[event.request]
        val answer = known?.answer
        return when {
            known == null -> {
                entries[event.request] = Entry(event, AttemptId(self, ++attempts))
                listOf(LedgerAction.Proceed(event.request))
            }

            known.begin.digest != event.digest ->
                listOf(LedgerAction.Reject(event.request, ErrorKind.KEY_REUSED))

            answer != null -> listOf(LedgerAction.Replay(event.request, answer))

            else -> listOf(LedgerAction.Reject(event.request, ErrorKind.KEY_IN_USE))
        }
    }

    private fun finish(
        request: RequestId,
        used: Long,
        answer: RecordedAnswer?,
        now: Now
    ): List<LedgerAction> {
        val entry = entries[request]?.takeIf { it.endedAt == null } ?: return emptyList()
        entry.tokens = used
        entry.answer = answer?.takeIf { it.body.length <= settings.answerLength }
        entry.endedAt = now.elapsed
        val bill = Bill(request, entry.begin.customer, entry.attempt, used)
        return listOf(LedgerAction.Release(request, bill))
    }
}
