/*
 * The copies that this router holds for other routers of its failure domain, kept for the budget
 * and for retries when such a router dies.
 */
package org.hemlockpond.core.ledger

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RouterId

internal class CopyHolder(private val context: LedgerContext) {
    private class Held(val epoch: Long) {
        var sequence = 0L
        var complete = false
        var contact: Duration = Duration.ZERO

        /**
         * The router was silent while another router of the failure domain couldn't be reached, or
         * this router was paused, so the copy may have moved to that router unnoticed.
         */
        var doubtful = false
        val items = LinkedHashMap<AttemptId, Pair<CopyItem, Duration>>()
        val spent = HashMap<CustomerId, Long>()
        val stagedItems = ArrayList<CopyItem>()
        val stagedSpent = HashMap<CustomerId, Long>()
    }

    private class Closed(val copies: RouterCopies, val at: Duration)

    private val held = HashMap<RouterId, Held>()
    private val closed = HashMap<RouterId, Closed>()

    /** The epochs below which a delayed batch would bring a discarded copy back. */
    private val floors = HashMap<RouterId, Long>()
    private var checkedAt: Duration = Duration.ZERO

    val entries: Int get() = held.values.sumOf { it.items.size }

    fun onBatch(from: RouterId, batch: LedgerMessage.CopyBatch) {
        if (context.directory.isDead(from)) return
        val known = held[from]
        if (batch.epoch < maxOf(known?.epoch ?: 0, floors[from] ?: 0)) return
        val copy = when {
            known != null && batch.epoch == known.epoch -> known
            batch.sequence == 1L -> Held(batch.epoch).also { held[from] = it }
            else -> return
        }
        copy.contact = context.now
        copy.doubtful = false
        if (batch.sequence == copy.sequence + 1) apply(copy, batch, from)
        if (copy.sequence > 0) {
            context.send(from, LedgerMessage.CopySeen(copy.epoch, copy.sequence))
        }
    }

    private fun apply(copy: Held, batch: LedgerMessage.CopyBatch, owner: RouterId) {
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
        if (!copy.complete) announce(copy, batch.epoch, owner)
        copy.complete = true
    }

    /** Makes the other routers of the failure domain discard an older copy of [owner]. */
    private fun announce(copy: Held, epoch: Long, owner: RouterId) {
        if (copy.epoch == 1L) return
        for (router in context.directory.copyPeers()) {
            if (router != owner) context.send(router, LedgerMessage.CopyMoved(owner, epoch))
        }
    }

    /** Called when reachability changed or time passed; see [Held.doubtful]. */
    fun checkContact() {
        val limit = context.settings.copyContact
        val paused = context.now - checkedAt > limit
        checkedAt = context.now
        for ((owner, copy) in held) {
            val silent = context.now - copy.contact > limit
            if (paused || (silent && context.directory.isBlind(owner))) copy.doubtful = true
        }
    }

    fun onMoved(from: RouterId, message: LedgerMessage.CopyMoved) {
        floors.merge(message.owner, message.epoch, ::maxOf)
        val copy = held[message.owner]
        if (copy != null && copy.epoch < message.epoch) held.remove(message.owner)
        context.send(from, LedgerMessage.CopyDiscarded(message.owner, message.epoch))
    }

    /** Freezes the copy of a dead router; returns its attempts if the copy is complete. */
    fun died(router: RouterId): List<Attempt> {
        val copies = copiesOf(router)
        val copy = held.remove(router)
        floors.remove(router)
        if (copies == null || copy == null) return emptyList()
        closed[router] = Closed(copies, context.now)
        if (!copies.complete) return emptyList()
        return copy.items.values.map { (item, _) ->
            Attempt.adopted(item, copy.epoch, context.now)
        }
    }

    fun copiesOf(router: RouterId): RouterCopies? {
        closed[router]?.let { return it.copies }
        val copy = held[router] ?: return null
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
        val complete = copy.complete && !copy.doubtful
        return RouterCopies(router, copy.epoch, copy.spent.toMap(), open, bills, complete)
    }

    /** Removes entries older than the time in which a retry may ask for them. */
    fun expire() {
        val settings = context.settings
        closed.values.removeIf { context.now - it.at > settings.openWindow }
        val window = if (context.directory.split) settings.openWindow else settings.retryWindow
        for (copy in held.values) {
            copy.items.values.removeIf { (item, since) ->
                item.report.state != AttemptState.OPEN && context.now - since > window
            }
        }
    }
}
