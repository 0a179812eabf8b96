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
    private var rotation = 0
    private var lastRepeatAt = Duration.ZERO

    fun peersChanged(routers: Map<RouterId, FailureDomain>) {
        peers = routers - self
    }

    /** Asks for what [pending] lacks at the endpoint where it lacks least. */
    fun borrow(pending: PendingRequest, now: Duration, out: MutableList<RoutingAction>) {
        if (peers.isEmpty()) return
        val state = endpoints.ofRoute(pending.request.route)
            .filter { mayGrow(it, pending, now) }
            .minWithOrNull(compareBy({ shortfall(it, pending) }, { it.load(now) })) ?: return
        borrow(state, pending, now, out)
    }

    fun borrow(
        state: EndpointState,
        pending: PendingRequest,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        val missing = shortfall(state, pending)
        val wait = settings.borrowInterval * (1 shl state.unansweredBorrowRequests)
        if (missing <= 0 || now - state.lastBorrowAt < wait) return
        state.lastBorrowAt = now
        if (state.unansweredBorrowRequests < MAX_DOUBLINGS) state.unansweredBorrowRequests++
        val message = RoutingMessage.BorrowRequest(state.config.id, missing)
        val (near, far) = peers.entries.partition { it.value == state.config.domain }
        rotation++
        val asked = rotate(near).plus(rotate(far)).take(settings.maxBorrowPeers)
        asked.forEach { out += RoutingAction.SendToPeer(it.key, message) }
    }

    private fun <T> rotate(list: List<T>): List<T> {
        if (list.isEmpty()) return list
        val start = rotation % list.size
        return list.drop(start) + list.take(start)
    }

    private fun mayGrow(state: EndpointState, pending: PendingRequest, now: Duration): Boolean =
        state.serves(pending.request.version) && state.acceptsRequests(now) &&
            state.running < state.maxRunning &&
            state.heldByOthers(now) + state.held + state.cost(pending.request) <=
            state.usableCapacity

    private fun shortfall(state: EndpointState, pending: PendingRequest): Long =
        state.neededLimit(pending) - state.share.limit

    /** Lends what this router doesn't use, and nothing while its own requests wait. */
    fun requestReceived(
        from: RouterId,
        message: RoutingMessage.BorrowRequest,
        busy: Boolean,
        out: MutableList<RoutingAction>
    ) {
        val state = endpoints[message.endpoint] ?: return
        if (busy || state.reservedFor != null || endpoints.domainOf(from) == null) return
        val share = state.share
        val idle = share.limit - state.held - (share.base * settings.lenderReserve).toLong()
        val loan = minOf(idle, message.tokens)
        if (loan <= 0) return
        // What was borrowed goes back to its lender; only an own share is lent on.
        val own = minOf(loan, idle - share.borrowedTokens)
        if (own <= 0) return
        val total = share.lend(from, own)
        out += RoutingAction.SendToPeer(from, RoutingMessage.Loan(state.config.id, total))
    }

    fun loanReceived(from: RouterId, message: RoutingMessage.Loan, now: Duration): RoutingAction? {
        val state = endpoints[message.endpoint] ?: return null
        if (endpoints.domainOf(from) == null) return null
        if (state.share.receiveLoan(from, message.total)) {
            state.lastUsedAt = now
            state.unansweredBorrowRequests = 0
            return null
        }
        // The lender repeats a loan that it counts as open; what was returned may have been lost.
        val returned = state.share.totalReturnedTo(from)
        if (returned == 0L) return null
        val answer = RoutingMessage.LoanReturn(state.config.id, returned)
        return RoutingAction.SendToPeer(from, answer)
    }

    fun returnReceived(from: RouterId, message: RoutingMessage.LoanReturn): Boolean =
        endpoints[message.endpoint]?.share?.receiveReturn(from, message.total) ?: false

    fun tick(now: Duration, out: MutableList<RoutingAction>) {
        for (state in endpoints.all) returnIdle(state, now, out)
        if (now - lastRepeatAt < settings.repeatInterval) return
        lastRepeatAt = now
        for (state in endpoints.all) {
            for ((borrower, total) in state.share.openLoans()) {
                val message = RoutingMessage.Loan(state.config.id, total)
                out += RoutingAction.SendToPeer(borrower, message)
            }
        }
    }

    private fun returnIdle(state: EndpointState, now: Duration, out: MutableList<RoutingAction>) {
        val share = state.share
        val idle = minOf(share.borrowedTokens, share.limit - state.held)
        if (idle <= 0 || state.reservedFor != null ||
            now - state.lastUsedAt < settings.loanIdleTimeout
        ) {
            return
        }
        for ((lender, total) in share.returnLoans(idle)) {
            val message = RoutingMessage.LoanReturn(state.config.id, total)
            out += RoutingAction.SendToPeer(lender, message)
        }
    }

    private companion object {
        /** A fleet without idle memory is asked every 1.6 s at the default interval. */
        const val MAX_DOUBLINGS = 4
    }
}
