/*
 * The request ledger of one router (design section 2.3): each request runs under one claim and is
 * billed once, whichever routers its caller's retries reach.
 */
package org.hemlockpond.core.ledger

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** How often expired entries are looked for; a scan passes over every entry. */
private val EXPIRY_INTERVAL: Duration = 10.seconds

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
 *
 * In doubt after a failure (design section 2.3.1): after the death of one host, its open requests
 * are charged at their reservation until a retry within [LedgerSettings.retryWindow] settles them.
 * After a whole failure domain, or a host together with its copy peer, nobody keeps the bills of
 * that time: the whole grants are charged and a retry is billed anew. A partitioned failure domain
 * may run and charge an idempotent request that also ran elsewhere; one charge is credited about
 * one [LedgerSettings.repeatDelay] after the partition ends, if that is within
 * [LedgerSettings.openWindow].
 */
class RequestLedger(
    self: RouterId,
    domain: FailureDomain,
    settings: LedgerSettings = LedgerSettings()
) {
    private val context = LedgerContext(self, domain, settings)
    private val attempts = AttemptTable(context)
    private val records = RunRecords(context)
    private val claims = ClaimFlow(context, attempts, records)
    private val homes = HomeTable(context)
    private val copies = CopyHolder(context)
    private var lastExpiryAt: Duration = Duration.ZERO

    /** Applies one event at the time [now] and returns what the router has to do, in order. */
    fun handle(event: LedgerEvent, now: Now): List<LedgerAction> {
        context.now = now.elapsed
        apply(event)
        while (context.loopback.isNotEmpty()) {
            receive(context.self, context.loopback.removeFirst())
        }
        if (context.actions.isEmpty()) return emptyList()
        return context.actions.toList().also { context.actions.clear() }
    }

    /** What this router's copy of [router] shows, or null if it holds none. */
    fun copiesOf(router: RouterId): RouterCopies? = copies.copiesOf(router)

    /** The cumulative net spend of this router's slice, as it is copied, in tokens. */
    fun spent(customer: CustomerId): Long = attempts.sender.spentOf(customer)

    /** Requests remembered: own attempts, entries of the home, and copies for other routers. */
    val entryCount: Int get() = attempts.size + homes.size + copies.entryCount

    private fun apply(event: LedgerEvent) {
        when (event) {
            is LedgerEvent.Begin -> claims.begin(event)

            is LedgerEvent.Finish -> finish(event.request, event.used, event.answer, true)

            is LedgerEvent.Interrupted -> finish(event.request, event.used, null, false)

            is LedgerEvent.Abandon -> abandon(event.request)

            is LedgerEvent.RunRecordsWritten -> records.onWritten(event.number, event.outcomes)

            is LedgerEvent.RunRecordRead -> records.onRead(event.request, event.result)

            is LedgerEvent.SpendCommitted ->
                attempts.sender.onCommitted(event.number, event.committed)

            is LedgerEvent.PeerReceived -> if (!context.directory.isDead(event.from)) {
                receive(event.from, event.message)
            }

            is LedgerEvent.PeersChanged -> peersChanged(context.directory.update(event.peers))

            is LedgerEvent.RouterDied -> routerDied(event.router)

            is LedgerEvent.StoreReachable -> context.storeReachable = event.reachable

            is LedgerEvent.SliceReturned -> attempts.sender.forgetSpend(event.customer)

            LedgerEvent.Tick -> tick()
        }
    }

    private fun receive(from: RouterId, message: LedgerMessage) {
        when (message) {
            is LedgerMessage.Claim -> homes.onClaim(from, message.report)

            is LedgerMessage.Decision -> claims.onDecision(from, message)

            is LedgerMessage.Reports -> homes.onReports(from, message.reports)

            is LedgerMessage.ReportsSeen ->
                for (seen in message.seen) attempts.reporter.onSeen(from, seen)

            is LedgerMessage.TakeOver -> attempts.onTakeOver(from, message)

            is LedgerMessage.TakenOver -> claims.onTakenOver(message)

            is LedgerMessage.Drop -> attempts.onDrop(from, message)

            is LedgerMessage.Unmove -> attempts.onUnmove(from, message)

            is LedgerMessage.CopyBatch -> copies.onBatch(from, message)

            is LedgerMessage.CopySeen -> attempts.sender.onSeen(from, message)

            is LedgerMessage.CopyMoved -> copies.onMoved(from, message)

            is LedgerMessage.CopyDiscarded -> attempts.sender.onDiscarded(from, message)
        }
    }

    private fun finish(request: RequestId, used: Long, answer: RecordedAnswer?, release: Boolean) {
        val attempt = attempts.latest(request)?.takeIf { it.phase == Phase.RUNNING } ?: return
        attempt.phase = Phase.ENDING
        attempt.state = AttemptState.DONE
        attempt.chainEnded = true
        attempt.total = used
        attempt.endedAt = context.now
        if (attempt.idempotent) {
            attempts.keepAnswer(attempt, answer)
        } else {
            records.markFinished(attempt, used, answer)
        }
        val charge = used - attempt.takenOver
        val credit = maxOf(0, used - attempt.takenOverAtProceed) - charge
        attempts.sender.addSpend(attempt.customer, charge)
        attempts.copyAndPublish(attempt) {
            attempt.phase = Phase.ENDED
            if (credit > 0) {
                context.emit(LedgerAction.CreditBill(request, attempt.customer, credit))
            }
            if (release) context.emit(LedgerAction.Release(request, attempt.bill()))
        }
    }

    private fun abandon(request: RequestId) {
        val attempt = attempts.latest(request) ?: return
        when (attempt.phase) {
            Phase.ENDING, Phase.ENDED -> return
            Phase.RECORDING -> records.giveUp(attempt)
            else -> Unit
        }
        claims.endUnsent(attempt)
    }

    private fun peersChanged(added: Set<RouterId>) {
        attempts.sender.peersChanged()
        copies.markOutdatedCopies()
        attempts.peersChanged(added)
    }

    private fun routerDied(router: RouterId) {
        if (context.directory.isDead(router)) return
        copies.markOutdatedCopies()
        val adopted = copies.freeze(router)
        context.directory.markDead(router)
        attempts.adopt(adopted)
        peersChanged(emptySet())
        claims.routerDied(router)
    }

    private fun tick() {
        claims.tick()
        homes.tick()
        records.tick()
        attempts.sender.tick()
        attempts.reporter.tick()
        copies.markOutdatedCopies()
        if (context.now - lastExpiryAt < EXPIRY_INTERVAL) return
        lastExpiryAt = context.now
        attempts.expire()
        homes.expire()
        copies.expire()
        records.expire()
    }
}
