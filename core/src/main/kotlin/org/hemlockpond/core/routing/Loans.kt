/*
 * Lends endpoint memory between routers. A router that needs more memory asks a few reachable
 * routers, those of the endpoint's failure domain first. Idle loans are returned.
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

    /** Requests a loan for [pending] at the endpoint with the smallest shortfall. */
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

    /** Lends memory that this router doesn't use; nothing while its own requests wait ([busy]). */
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
        // Borrowed memory isn't lent on; it is returned to its lender.
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
        // The lender repeats a loan that it counts as open; the return message may be lost.
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
        /** 2^4 times the default interval, so a fleet without idle memory is asked every 1.6 s. */
        const val MAX_DOUBLINGS = 4
    }
}
