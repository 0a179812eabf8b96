/*
 * The copies of this router's attempts and spend at its copy peer. Changes go out in groups that
 * the peer applies as a whole, so a copy is always a state that this router really had.
 */
package org.hemlockpond.core.ledger

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RouterId

/** Batches that may be unacknowledged at once; bounds the burst of an initial state. */
private const val WINDOW = 64

internal class CopySender(
    private val context: LedgerContext,
    private val kept: () -> Collection<Attempt>
) {
    private class Sent(val batch: LedgerMessage.CopyBatch, val first: Duration, var last: Duration)

    private class Waiter(val needsCommit: Boolean, val run: () -> Unit) {
        var sequence = Long.MAX_VALUE
    }

    private val settings get() = context.settings
    private val spent = HashMap<CustomerId, Long>()
    private val dirty = LinkedHashMap<AttemptId, Attempt>()
    private val dirtySpent = LinkedHashSet<CustomerId>()
    private val waiters = ArrayDeque<Waiter>()
    private val outgoing = ArrayDeque<LedgerMessage.CopyBatch>()
    private val unacked = ArrayDeque<Sent>()

    /** Earlier copy peers that may hold an outdated copy, with the time of the last batch to them. */
    private val outdated = LinkedHashMap<RouterId, Duration>()

    /** Peers that didn't acknowledge in time, with the time until which they are passed over. */
    private val suspects = HashMap<RouterId, Duration>()
    private var peer: RouterId? = null
    private var epoch = 0L
    private var sequence = 0L
    private var acked = 0L

    /** The last batch of the present epoch's initial state. */
    private var initial = 0L
    private var dirtySince: Duration = Duration.INFINITE
    private var lastSend: Duration = Duration.ZERO
    private var fenceSent: Duration = Duration.ZERO
    private val uncommitted = LinkedHashSet<CustomerId>()
    private var commit = 0L
    private var commitSentAt: Duration? = null
    private var committing: List<Waiter> = emptyList()

    fun spentOf(customer: CustomerId): Long = spent[customer] ?: 0

    /** Adds to the cumulative net spend; part of the same group as the attempt's change. */
    fun spend(customer: CustomerId, tokens: Long) {
        if (tokens == 0L) return
        spent[customer] = spentOf(customer) + tokens
        dirtySpent += customer
        uncommitted += customer
        touch()
    }

    fun forget(customer: CustomerId) {
        if (spent.remove(customer) != null) {
            dirtySpent += customer
            touch()
        }
    }

    fun changed(attempt: Attempt) {
        attempt.copied = true
        dirty[attempt.id] = attempt
        touch()
    }

    /**
     * Runs [run] once every change so far is copied. Without a reachable peer, it runs once the
     * spend and the epoch are in the store, or at once if the store can't be reached either.
     * Without [needsCommit] the store is needed only while an outdated copy may exist: where there
     * is no copy at all, the budget charges a dead router's whole grant.
     */
    fun whenCopied(needsCommit: Boolean, run: () -> Unit) {
        waiters += Waiter(needsCommit, run)
        touch()
        if (peer == null) runWaiters()
    }

    fun peersChanged() {
        outdated.keys.retainAll { !context.directory.isDead(it) }
        suspects.keys.retainAll { context.directory.isLive(it) }
        val current = peer
        if (current == null || !context.directory.isReachable(current)) switch()
        runWaiters()
    }

    fun onSeen(from: RouterId, message: LedgerMessage.CopySeen) {
        if (from != peer || message.epoch != epoch) return
        acked = maxOf(acked, message.sequence)
        while (unacked.firstOrNull()?.let { it.batch.sequence <= acked } == true) {
            unacked.removeFirst()
        }
        pump()
        runWaiters()
    }

    fun onDiscarded(from: RouterId, message: LedgerMessage.CopyDiscarded) {
        if (message.owner != context.self) return
        if (message.epoch == epoch && from != peer) outdated.remove(from)
        runWaiters()
    }

    fun tick() {
        if (peer == null) switch()
        val now = context.now
        val oldest = unacked.firstOrNull()
        if (peer != null && oldest != null) {
            if (now - oldest.first >= settings.copyLimit) {
                suspects[peer!!] = now + settings.copyContact * 2
                switch()
            } else if (now - oldest.last >= settings.copyLimit / 2) {
                for (sent in unacked) transmit(sent)
            }
        }
        val due = dirtySince != Duration.INFINITE && now - dirtySince >= settings.copyInterval
        if (due || dirty.size >= settings.batchSize) flush()
        val idle = unacked.isEmpty() && outgoing.isEmpty()
        if (peer != null && idle && now - lastSend >= settings.copyContact / 4) {
            queue(LedgerMessage.CopyBatch(epoch, ++sequence))
        }
        fence()
        commitSentAt?.let { if (now - it >= settings.storeLimit) committed(commit, false) }
        runWaiters()
    }

    /** The first change starts the interval of the next group. */
    private fun touch() {
        if (dirtySince == Duration.INFINITE) dirtySince = context.now
    }

    private fun switch() {
        val candidates = context.directory.copyPeers()
        val next = candidates.firstOrNull { router ->
            suspects[router]?.let { it <= context.now } ?: true
        }
        if (next == peer && next != null) return
        val old = peer
        if (old != null && !context.directory.isDead(old)) outdated[old] = lastSend
        if (next == null && old == null) return
        peer = next
        outgoing.clear()
        unacked.clear()
        for (waiter in waiters) waiter.sequence = Long.MAX_VALUE
        epoch++
        if (next == null) return
        outdated.remove(next)
        sequence = 0
        acked = 0
        dirty.clear()
        for (attempt in kept()) if (attempt.copied) dirty[attempt.id] = attempt
        dirtySpent += spent.keys
        flush()
        initial = sequence
    }

    private fun flush() {
        if (peer == null) {
            dirty.clear()
            dirtySpent.clear()
            dirtySince = Duration.INFINITE
            return
        }
        if (outgoing.isNotEmpty()) return
        val items = dirty.values.map { it.copyItem() }.chunked(settings.batchSize)
        val spends = dirtySpent.map { it to spentOf(it) }.chunked(settings.batchSize)
        dirty.clear()
        dirtySpent.clear()
        dirtySince = Duration.INFINITE
        val count = maxOf(items.size, spends.size, 1)
        for (i in 0 until count) {
            queue(
                LedgerMessage.CopyBatch(
                    epoch,
                    ++sequence,
                    items.getOrElse(i) { emptyList() },
                    spends.getOrElse(i) { emptyList() }.toMap(),
                    partial = i < count - 1
                )
            )
        }
        for (waiter in waiters) if (waiter.sequence == Long.MAX_VALUE) waiter.sequence = sequence
    }

    private fun queue(batch: LedgerMessage.CopyBatch) {
        outgoing += batch
        pump()
    }

    private fun pump() {
        while (unacked.size < WINDOW && outgoing.isNotEmpty()) {
            val sent = Sent(outgoing.removeFirst(), context.now, context.now)
            unacked += sent
            transmit(sent)
        }
    }

    private fun transmit(sent: Sent) {
        sent.last = context.now
        lastSend = context.now
        context.send(peer!!, sent.batch)
    }

    /** Tells earlier copy peers to discard their copies, once the new copy is complete. */
    private fun fence() {
        val now = context.now
        val copied = peer != null && acked >= initial
        if (outdated.isEmpty() || !copied || now - fenceSent < settings.copyLimit / 2) return
        fenceSent = now
        for (router in outdated.keys) {
            if (!context.directory.isReachable(router)) continue
            context.send(router, LedgerMessage.CopyMoved(context.self, epoch))
        }
    }

    /** Nothing new starts until an earlier copy peer has heard of the new one or was silent. */
    private fun isFenced(): Boolean =
        outdated.values.all { context.now - it > settings.copyContact }

    private fun runWaiters() {
        if (waiters.isEmpty() || !isFenced()) return
        val ready = ArrayList<Waiter>()
        val direct = peer == null
        val iterator = waiters.iterator()
        while (iterator.hasNext()) {
            val waiter = iterator.next()
            val copied = !direct && waiter.sequence <= acked
            val alone = direct && (!mustCommit(waiter) || !context.storeReachable)
            if (!copied && !alone) {
                if (!direct) break
                continue
            }
            iterator.remove()
            ready += waiter
        }
        for (waiter in ready) waiter.run()
        if (peer == null) commitSpend()
    }

    private fun mustCommit(waiter: Waiter) = waiter.needsCommit || outdated.isNotEmpty()

    private fun commitSpend() {
        if (commitSentAt != null || !context.storeReachable) return
        committing = waiters.filter { mustCommit(it) }
        if (committing.isEmpty()) return
        commitSentAt = context.now
        val spends = uncommitted.associateWith { spentOf(it) }
        uncommitted.clear()
        context.emit(LedgerAction.CommitSpend(++commit, epoch, spends))
    }

    fun committed(number: Long, success: Boolean) {
        if (number != commit || commitSentAt == null) return
        commitSentAt = null
        val done = committing
        committing = emptyList()
        if (success) {
            for (waiter in done) if (waiters.remove(waiter)) waiter.run()
        } else {
            uncommitted += spent.keys
        }
        runWaiters()
    }
}
