/*
 * Sends this router's attempts and spend to its copy peer, the router of the same failure domain
 * that holds a copy of them. The peer applies each group of changes atomically, so a copy always
 * matches a state that this router had.
 */
package org.hemlockpond.core.ledger

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RouterId

/** Limits the burst of batches when the initial state is sent to a new copy peer. */
private const val MAX_UNACKED_BATCHES = 64

internal class CopySender(
    private val context: LedgerContext,
    private val attempts: () -> Collection<Attempt>
) {
    private class SentBatch(
        val batch: LedgerMessage.CopyBatch,
        val firstSentAt: Duration,
        var lastSentAt: Duration
    )

    private class CopyCallback(val needsCommit: Boolean, val run: () -> Unit) {
        var sequence = Long.MAX_VALUE
    }

    private val settings get() = context.settings
    private val spent = HashMap<CustomerId, Long>()
    private val dirtyAttempts = LinkedHashMap<AttemptId, Attempt>()
    private val dirtyCustomers = LinkedHashSet<CustomerId>()
    private val callbacks = ArrayDeque<CopyCallback>()
    private val outgoing = ArrayDeque<LedgerMessage.CopyBatch>()
    private val unackedBatches = ArrayDeque<SentBatch>()

    /**
     * Earlier copy peers that may hold an outdated copy, with the time of the last batch to them.
     */
    private val outdatedPeers = LinkedHashMap<RouterId, Duration>()

    /**
     * Peers that didn't acknowledge in time, with the time until which they aren't chosen again.
     */
    private val suspectedUntil = HashMap<RouterId, Duration>()
    private var peer: RouterId? = null
    private var epoch = 0L
    private var sequence = 0L
    private var ackedSequence = 0L

    /** The sequence number of the last batch of the current epoch's initial state. */
    private var lastInitialSequence = 0L
    private var dirtySince: Duration = Duration.INFINITE
    private var lastSendAt: Duration = Duration.ZERO
    private var discardsRequestedAt: Duration = Duration.ZERO
    private val uncommittedCustomers = LinkedHashSet<CustomerId>()
    private var lastCommitNumber = 0L
    private var commitSentAt: Duration? = null
    private var committingCallbacks: List<CopyCallback> = emptyList()

    fun spentOf(customer: CustomerId): Long = spent[customer] ?: 0

    /** Adds to the customer's net spend; copied in the same group as the change of the attempt. */
    fun addSpend(customer: CustomerId, tokens: Long) {
        if (tokens == 0L) return
        spent[customer] = spentOf(customer) + tokens
        dirtyCustomers += customer
        uncommittedCustomers += customer
        startCopyInterval()
    }

    fun forgetSpend(customer: CustomerId) {
        if (spent.remove(customer) != null) {
            dirtyCustomers += customer
            startCopyInterval()
        }
    }

    fun queueCopy(attempt: Attempt) {
        attempt.wasQueuedForCopy = true
        dirtyAttempts[attempt.id] = attempt
        startCopyInterval()
    }

    /**
     * Runs [run] once the copy peer has acknowledged all changes so far. Without a reachable peer,
     * it runs once the spend and the epoch are in the store, or immediately if the store can't be
     * reached either. With [needsCommit] false, the store write is required only while an outdated
     * copy may exist: if there is no copy, the budget charges the whole grant of a dead router.
     */
    fun whenCopied(needsCommit: Boolean, run: () -> Unit) {
        callbacks += CopyCallback(needsCommit, run)
        startCopyInterval()
        if (peer == null) runCallbacks()
    }

    fun peersChanged() {
        outdatedPeers.keys.retainAll { !context.directory.isDead(it) }
        suspectedUntil.keys.retainAll { context.directory.isLive(it) }
        val current = peer
        if (current == null || !context.directory.isReachable(current)) switchPeer()
        runCallbacks()
    }

    fun onSeen(from: RouterId, message: LedgerMessage.CopySeen) {
        if (from != peer || message.epoch != epoch) return
        ackedSequence = maxOf(ackedSequence, message.sequence)
        while (unackedBatches.firstOrNull()?.let { it.batch.sequence <= ackedSequence } == true) {
            unackedBatches.removeFirst()
        }
        sendQueuedBatches()
        runCallbacks()
    }

    fun onDiscarded(from: RouterId, message: LedgerMessage.CopyDiscarded) {
        if (message.owner != context.self) return
        if (message.epoch == epoch && from != peer) outdatedPeers.remove(from)
        runCallbacks()
    }

    fun tick() {
        if (peer == null) switchPeer()
        val now = context.now
        val oldest = unackedBatches.firstOrNull()
        if (peer != null && oldest != null) {
            if (now - oldest.firstSentAt >= settings.copyAckTimeout) {
                suspectedUntil[peer!!] = now + settings.copySilenceTimeout * 2
                switchPeer()
            } else if (now - oldest.lastSentAt >= settings.copyAckTimeout / 2) {
                for (sent in unackedBatches) transmit(sent)
            }
        }
        val due = dirtySince != Duration.INFINITE && now - dirtySince >= settings.copyInterval
        if (due || dirtyAttempts.size >= settings.batchSize) flush()
        val idle = unackedBatches.isEmpty() && outgoing.isEmpty()
        if (peer != null && idle && now - lastSendAt >= settings.copySilenceTimeout / 4) {
            enqueue(LedgerMessage.CopyBatch(epoch, ++sequence))
        }
        requestDiscards()
        commitSentAt?.let {
            if (now - it >=
                settings.storeTimeout
            ) {
                onCommitted(lastCommitNumber, false)
            }
        }
        runCallbacks()
    }

    /** Starts the collection interval of the next group, unless it is already running. */
    private fun startCopyInterval() {
        if (dirtySince == Duration.INFINITE) dirtySince = context.now
    }

    private fun switchPeer() {
        val candidates = context.directory.copyPeers()
        val next = candidates.firstOrNull { router ->
            suspectedUntil[router]?.let { it <= context.now } ?: true
        }
        if (next == peer && next != null) return
        val old = peer
        if (old != null && !context.directory.isDead(old)) outdatedPeers[old] = lastSendAt
        if (next == null && old == null) return
        peer = next
        outgoing.clear()
        unackedBatches.clear()
        for (callback in callbacks) callback.sequence = Long.MAX_VALUE
        epoch++
        if (next == null) return
        outdatedPeers.remove(next)
        sequence = 0
        ackedSequence = 0
        dirtyAttempts.clear()
        for (attempt in attempts()) {
            if (attempt.wasQueuedForCopy) {
                dirtyAttempts[attempt.id] =
                    attempt
            }
        }
        dirtyCustomers += spent.keys
        flush()
        lastInitialSequence = sequence
    }

    private fun flush() {
        if (peer == null) {
            dirtyAttempts.clear()
            dirtyCustomers.clear()
            dirtySince = Duration.INFINITE
            return
        }
        if (outgoing.isNotEmpty()) return
        val items = dirtyAttempts.values.map { it.copyItem() }.chunked(settings.batchSize)
        val spends = dirtyCustomers.map { it to spentOf(it) }.chunked(settings.batchSize)
        dirtyAttempts.clear()
        dirtyCustomers.clear()
        dirtySince = Duration.INFINITE
        val count = maxOf(items.size, spends.size, 1)
        for (i in 0 until count) {
            enqueue(
                LedgerMessage.CopyBatch(
                    epoch,
                    ++sequence,
                    items.getOrElse(i) { emptyList() },
                    spends.getOrElse(i) { emptyList() }.toMap(),
                    partial = i < count - 1
                )
            )
        }
        for (callback in callbacks) {
            if (callback.sequence ==
                Long.MAX_VALUE
            ) {
                callback.sequence = sequence
            }
        }
    }

    private fun enqueue(batch: LedgerMessage.CopyBatch) {
        outgoing += batch
        sendQueuedBatches()
    }

    private fun sendQueuedBatches() {
        while (unackedBatches.size < MAX_UNACKED_BATCHES && outgoing.isNotEmpty()) {
            val sent = SentBatch(outgoing.removeFirst(), context.now, context.now)
            unackedBatches += sent
            transmit(sent)
        }
    }

    private fun transmit(sent: SentBatch) {
        sent.lastSentAt = context.now
        lastSendAt = context.now
        context.send(peer!!, sent.batch)
    }

    /** Tells earlier copy peers to discard their copies once the new copy is complete. */
    private fun requestDiscards() {
        val now = context.now
        val copied = peer != null && ackedSequence >= lastInitialSequence
        if (outdatedPeers.isEmpty() || !copied ||
            now - discardsRequestedAt < settings.copyAckTimeout / 2
        ) {
            return
        }
        discardsRequestedAt = now
        for (router in outdatedPeers.keys) {
            if (!context.directory.isReachable(router)) continue
            context.send(router, LedgerMessage.CopyMoved(context.self, epoch))
        }
    }

    /**
     * Whether each earlier copy peer has confirmed that it discarded its copy, or got no batch for
     * [LedgerSettings.copySilenceTimeout]. Callbacks wait for this, as the budget could otherwise
     * close this router's slice from an outdated copy.
     */
    private fun areOutdatedPeersSettled(): Boolean =
        outdatedPeers.values.all { context.now - it > settings.copySilenceTimeout }

    private fun runCallbacks() {
        if (callbacks.isEmpty() || !areOutdatedPeersSettled()) return
        val ready = ArrayList<CopyCallback>()
        val direct = peer == null
        val iterator = callbacks.iterator()
        while (iterator.hasNext()) {
            val callback = iterator.next()
            val copied = !direct && callback.sequence <= ackedSequence
            val alone = direct && (!mustCommit(callback) || !context.storeReachable)
            if (!copied && !alone) {
                if (!direct) break
                continue
            }
            iterator.remove()
            ready += callback
        }
        for (callback in ready) callback.run()
        if (peer == null) commitSpend()
    }

    private fun mustCommit(callback: CopyCallback) =
        callback.needsCommit || outdatedPeers.isNotEmpty()

    private fun commitSpend() {
        if (commitSentAt != null || !context.storeReachable) return
        committingCallbacks = callbacks.filter { mustCommit(it) }
        if (committingCallbacks.isEmpty()) return
        commitSentAt = context.now
        val spends = uncommittedCustomers.associateWith { spentOf(it) }
        uncommittedCustomers.clear()
        context.emit(LedgerAction.CommitSpend(++lastCommitNumber, epoch, spends))
    }

    fun onCommitted(number: Long, success: Boolean) {
        if (number != lastCommitNumber || commitSentAt == null) return
        commitSentAt = null
        val done = committingCallbacks
        committingCallbacks = emptyList()
        if (success) {
            for (callback in done) if (callbacks.remove(callback)) callback.run()
        } else {
            uncommittedCustomers += spent.keys
        }
        runCallbacks()
    }
}
