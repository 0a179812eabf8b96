/*
 * The request ledger of one router (design section 2.3). Each request runs under one claim and is
 * billed once, regardless of which routers the caller's retries reach.
 */
package org.hemlockpond.core.ledger

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** The interval between scans for expired entries; each scan visits all entries. */
private val EXPIRY_INTERVAL: Duration = 10.seconds

/**
 * Decides which requests run, keeps their bills and copies them to a peer.
 *
 * The ledger works with the budget as follows. The router reserves tokens in the budget and passes
 * [LedgerEvent.Begin]. [LedgerAction.Proceed] returns the tokens that the budget has already
 * charged for earlier attempts; the router reduces its own hold by that amount. When the request
 * ends, the router settles its hold with `max(0, used - takenOver)`. Tokens charged beyond the
 * actual use are returned by [LedgerAction.CreditBill], which lowers the spend of this router's own
 * slice.
 *
 * When a router dies, the budget closes its slice with [copiesOf]: the settled spend plus every
 * open reservation in full. A retry takes over this charge of the dead router and settles the bill
 * to the actual use; the difference is credited to the budget of the router that served the retry.
 *
 * Bills after a failure (design section 2.3.1): when one host dies, its open requests are charged
 * at their reservation until a retry within [LedgerSettings.retryWindow] settles them. When a whole
 * failure domain dies, or a host together with its copy peer, the bills that the dead routers kept
 * are lost: the whole grants of their slices are charged and a retry is billed again. A partitioned
 * failure domain may run and charge an idempotent request that also ran elsewhere; one of the
 * charges is credited about one [LedgerSettings.repeatDelay] after the partition ends, if that is
 * within [LedgerSettings.openWindow].
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

    /** Applies one event at the time [now]. Returns the actions for the router, in order. */
    fun handle(event: LedgerEvent, now: Now): List<LedgerAction> {
        context.now = now.elapsed
        apply(event)
        while (context.loopback.isNotEmpty()) {
            receive(context.self, context.loopback.removeFirst())
        }
        if (context.actions.isEmpty()) return emptyList()
        return context.actions.toList().also { context.actions.clear() }
    }

    /** The spend of [router] according to this router's copy, or null if it holds none. */
    fun copiesOf(router: RouterId): RouterCopies? = copies.copiesOf(router)

    /** The cumulative net spend of [customer] from this router's slice, in tokens. */
    fun spent(customer: CustomerId): Long = attempts.sender.spentOf(customer)

    /** Entries in memory: attempts kept here, requests this router is the home of, and copies. */
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
        // The router settles its hold with takenOverAtProceed. Charges taken over since then, or
        // beyond the actual use, are credited.
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
