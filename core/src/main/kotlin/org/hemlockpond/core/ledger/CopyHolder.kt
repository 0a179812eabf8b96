/*
 * The copies of attempts and spend that this router holds for other routers of its failure domain.
 * When such a router dies, the budget closes its slice from the copy and retries settle its bills.
 */
package org.hemlockpond.core.ledger

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RouterId

internal class CopyHolder(private val context: LedgerContext) {
    private class HeldCopy(val epoch: Long) {
        var sequence = 0L
        var complete = false
        var lastBatchAt: Duration = Duration.ZERO

        /**
         * True if the copied router was silent while another router of the failure domain couldn't
         * be reached, or if this router was paused. The copy may then have moved to another peer
         * without this router being told.
         */
        var mayBeOutdated = false
        val items = LinkedHashMap<AttemptId, Pair<CopyItem, Duration>>()
        val spent = HashMap<CustomerId, Long>()
        val stagedItems = ArrayList<CopyItem>()
        val stagedSpent = HashMap<CustomerId, Long>()
    }

    private class FrozenCopies(val copies: RouterCopies, val at: Duration)

    private val heldCopies = HashMap<RouterId, HeldCopy>()
    private val frozenCopies = HashMap<RouterId, FrozenCopies>()

    /**
     * The lowest accepted epoch by router; a delayed batch of an older, discarded copy is ignored.
     */
    private val minEpochs = HashMap<RouterId, Long>()
    private var checkedAt: Duration = Duration.ZERO

    val entryCount: Int get() = heldCopies.values.sumOf { it.items.size }

    fun onBatch(from: RouterId, batch: LedgerMessage.CopyBatch) {
        if (context.directory.isDead(from)) return
        val known = heldCopies[from]
        if (batch.epoch < maxOf(known?.epoch ?: 0, minEpochs[from] ?: 0)) return
        val copy = when {
            known != null && batch.epoch == known.epoch -> known
            batch.sequence == 1L -> HeldCopy(batch.epoch).also { heldCopies[from] = it }
            else -> return
        }
        copy.lastBatchAt = context.now
        copy.mayBeOutdated = false
        if (batch.sequence == copy.sequence + 1) apply(copy, batch, from)
        if (copy.sequence > 0) {
            context.send(from, LedgerMessage.CopySeen(copy.epoch, copy.sequence))
        }
    }

    private fun apply(copy: HeldCopy, batch: LedgerMessage.CopyBatch, owner: RouterId) {
        copy.sequence = batch.sequence
        copy.stagedItems += batch.items
        copy.stagedSpent += batch.spent
        if (batch.partial) return
        for (item in copy.stagedItems) {
            copy.items.remove(item.report.attempt)
            copy.items[item.report.attempt] = item to context.now
        }
        for ((customer, tokens) in copy.stagedSpent) {
            if (tokens == 0L) copy.spent.remove(customer) else copy.spent[customer] = tokens
        }
        copy.stagedItems.clear()
        copy.stagedSpent.clear()
        if (!copy.complete) announceMove(copy, batch.epoch, owner)
        copy.complete = true
    }

    /** Tells the other routers of the failure domain to discard older copies of [owner]. */
    private fun announceMove(copy: HeldCopy, epoch: Long, owner: RouterId) {
        if (copy.epoch == 1L) return
        for (router in context.directory.copyPeers()) {
            if (router != owner) context.send(router, LedgerMessage.CopyMoved(owner, epoch))
        }
    }

    /**
     * Updates [HeldCopy.mayBeOutdated] of every copy. Must be called when reachability changes and
     * on each tick; a gap between calls longer than [LedgerSettings.copySilenceTimeout] counts as a
     * pause of this router.
     */
    fun markOutdatedCopies() {
        val limit = context.settings.copySilenceTimeout
        val paused = context.now - checkedAt > limit
        checkedAt = context.now
        for ((owner, copy) in heldCopies) {
            val silent = context.now - copy.lastBatchAt > limit
            if (paused ||
                (silent && context.directory.hasOtherUnreachableRouter(owner))
            ) {
                copy.mayBeOutdated =
                    true
            }
        }
    }

    fun onMoved(from: RouterId, message: LedgerMessage.CopyMoved) {
        minEpochs.merge(message.owner, message.epoch, ::maxOf)
        val copy = heldCopies[message.owner]
        if (copy != null && copy.epoch < message.epoch) heldCopies.remove(message.owner)
        context.send(from, LedgerMessage.CopyDiscarded(message.owner, message.epoch))
    }

    /**
     * Freezes the copy of a dead router. Returns its attempts, or none if the copy is incomplete.
     */
    fun freeze(router: RouterId): List<Attempt> {
        val copies = copiesOf(router)
        val copy = heldCopies.remove(router)
        minEpochs.remove(router)
        if (copies == null || copy == null) return emptyList()
        frozenCopies[router] = FrozenCopies(copies, context.now)
        if (!copies.complete) return emptyList()
        return copy.items.values.map { (item, _) ->
            Attempt.fromCopy(item, copy.epoch, context.now)
        }
    }

    fun copiesOf(router: RouterId): RouterCopies? {
        frozenCopies[router]?.let { return it.copies }
        val copy = heldCopies[router] ?: return null
        val open = HashMap<CustomerId, Long>()
        val bills = ArrayList<Bill>()
        for ((item, _) in copy.items.values) {
            val report = item.report
            if (report.state != AttemptState.OPEN) continue
            open.merge(report.customer, item.held, Long::plus)
            bills += Bill(
                report.request,
                report.customer,
                report.attempt,
                item.total,
                item.total - item.held,
                provisional = true
            )
        }
        val complete = copy.complete && !copy.mayBeOutdated
        return RouterCopies(router, copy.epoch, copy.spent.toMap(), open, bills, complete)
    }

    /**
     * Removes frozen copies after [LedgerSettings.openWindow], and entries of ended attempts after
     * [LedgerSettings.retryWindow], or after [LedgerSettings.openWindow] during a partition.
     */
    fun expire() {
        val settings = context.settings
        frozenCopies.values.removeIf { context.now - it.at > settings.openWindow }
        val window =
            if (context.directory.isPartitioned) settings.openWindow else settings.retryWindow
        for (copy in heldCopies.values) {
            copy.items.values.removeIf { (item, since) ->
                item.report.state != AttemptState.OPEN && context.now - since > window
            }
        }
    }
}
