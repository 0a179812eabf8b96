/*
 * Lending of endpoint memory between routers. A router that lacks room asks a few reachable
 * routers, those of the endpoint's failure domain first. A loan that lies idle is returned.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouterId

internal class Loans(
    private val self: RouterId,
    private val endpoints: Endpoints,
    private val settings: RoutingSettings
) {
    private var peers: Map<RouterId, FailureDomain> = emptyMap()
    private var turn = 0
    private var lastRepeat = Duration.ZERO

    fun peersChanged(routers: Map<RouterId, FailureDomain>) {
        peers = routers - self
    }

    /** Asks for what [item] lacks at the endpoint where it lacks least. */
    fun borrow(item: Item, now: Duration, out: MutableList<RoutingAction>) {
        if (peers.isEmpty()) return
        val state = endpoints.ofRoute(item.work.route)
            .filter { mayGrow(it, item, now) }
            .minWithOrNull(compareBy({ lack(it, item) }, { it.load(now) })) ?: return
        borrow(state, item, now, out)
    }

    fun borrow(state: EndpointState, item: Item, now: Duration, out: MutableList<RoutingAction>) {
        val missing = lack(state, item)
        val wait = settings.borrowInterval * (1 shl state.unansweredBorrows)
        if (missing <= 0 || now - state.lastBorrow < wait) return
        state.lastBorrow = now
        if (state.unansweredBorrows < MAX_DOUBLINGS) state.unansweredBorrows++
        val message = RoutingMessage.BorrowRequest(state.config.id, missing)
        val (near, far) = peers.entries.partition { it.value == state.config.domain }
        turn++
        val asked = rotate(near).plus(rotate(far)).take(settings.borrowPeers)
        asked.forEach { out += RoutingAction.SendToPeer(it.key, message) }
    }

    private fun <T> rotate(list: List<T>): List<T> {
        if (list.isEmpty()) return list
        val start = turn % list.size
        return list.drop(start) + list.take(start)
    }

    private fun mayGrow(state: EndpointState, item: Item, now: Duration): Boolean =
        state.serves(item.work.version) && state.accepts(now) && state.running < state.slots &&
            state.others(now) + state.held + state.cost(item.work) <= state.usable

    private fun lack(state: EndpointState, item: Item): Long =
        state.neededLimit(item) - state.share.limit

    /** Lends what this router doesn't use, and nothing while its own requests wait. */
    fun asked(
        from: RouterId,
        message: RoutingMessage.BorrowRequest,
        busy: Boolean,
        out: MutableList<RoutingAction>
    ) {
        val state = endpoints[message.endpoint] ?: return
        if (busy || state.reservedFor != null || endpoints.domainOf(from) == null) return
        val share = state.share
        val idle = share.limit - state.held - (share.base * settings.loanKeep).toLong()
        val loan = minOf(idle, message.tokens)
        if (loan <= 0) return
        // What was borrowed goes back to its lender; only an own share is lent on.
        val own = minOf(loan, idle - share.borrowing)
        if (own <= 0) return
        val total = share.lend(from, own)
        out += RoutingAction.SendToPeer(from, RoutingMessage.Loan(state.config.id, total))
    }

    fun received(from: RouterId, message: RoutingMessage.Loan, now: Duration): RoutingAction? {
        val state = endpoints[message.endpoint] ?: return null
        if (endpoints.domainOf(from) == null) return null
        if (state.share.borrowed(from, message.total)) {
            state.lastUse = now
            state.unansweredBorrows = 0
            return null
        }
        // The lender repeats a loan that it counts as open; what was returned may have been lost.
        val returned = state.share.returnedTo(from)
        if (returned == 0L) return null
        val answer = RoutingMessage.LoanReturn(state.config.id, returned)
        return RoutingAction.SendToPeer(from, answer)
    }

    fun returned(from: RouterId, message: RoutingMessage.LoanReturn): Boolean =
        endpoints[message.endpoint]?.share?.returned(from, message.total) ?: false

    fun tick(now: Duration, out: MutableList<RoutingAction>) {
        for (state in endpoints.all) returnIdle(state, now, out)
        if (now - lastRepeat < settings.repeatInterval) return
        lastRepeat = now
        for (state in endpoints.all) {
            for ((borrower, total) in state.share.openLoans()) {
                val message = RoutingMessage.Loan(state.config.id, total)
                out += RoutingAction.SendToPeer(borrower, message)
            }
        }
    }

    private fun returnIdle(state: EndpointState, now: Duration, out: MutableList<RoutingAction>) {
        val share = state.share
        val idle = minOf(share.borrowing, share.limit - state.held)
        if (idle <= 0 || state.reservedFor != null ||
            now - state.lastUse < settings.loanIdle
        ) {
            return
        }
        for ((lender, total) in share.giveBack(idle)) {
            val message = RoutingMessage.LoanReturn(state.config.id, total)
            out += RoutingAction.SendToPeer(lender, message)
        }
    }

    private companion object {
        /** A fleet without idle memory is asked every 1.6 s at the default interval. */
        const val MAX_DOUBLINGS = 4
    }
}
