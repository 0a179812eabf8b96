/*
 * Prevents starvation of long requests. Short requests would otherwise use all memory as soon as it
 * becomes free, so there would never be enough for a long one. After a configured part of its
 * deadline, a long request reserves one endpoint, where only it and short requests may start.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouteId

internal class Reservations(
    private val domain: FailureDomain,
    private val endpoints: Endpoints,
    private val loans: Loans,
    private val settings: RoutingSettings
) {
    private class Reservation(val pending: PendingRequest, val endpoint: EndpointState)

    private val byRoute = HashMap<RouteId, Reservation>()

    /** Releases the endpoint reserved for [pending], which has started or ended. */
    fun release(pending: PendingRequest) {
        val reservation = byRoute[pending.request.route] ?: return
        if (reservation.pending !== pending) return
        reservation.endpoint.reservedFor = null
        byRoute -= pending.request.route
    }

    fun tick(route: RouteId, queues: RouteQueues, now: Duration, out: MutableList<RoutingAction>) {
        val current = byRoute[route]
        if (current != null) {
            if (current.endpoint.acceptsRequests(now)) {
                loans.borrow(current.endpoint, current.pending, now, out)
                return
            }
            release(current.pending)
        }
        val head = queues.all.mapNotNull { it.requests.firstOrNull() }
            .filter { it.isLong && isLate(it, now) }
            .minByOrNull { it.arrivedAt } ?: return
        val endpoint = endpoints.ofRoute(route)
            .filter { it.serves(head.request.version) && it.acceptsRequests(now) }
            .filter { it.cost(head.request) <= it.usableCapacity }
            .minWithOrNull(compareBy({ it.config.domain != domain }, { shortfall(it, head) }))
            ?: return
        endpoint.reservedFor = head.request.id
        endpoint.reservedCost = endpoint.cost(head.request)
        byRoute[route] = Reservation(head, endpoint)
    }

    private fun isLate(pending: PendingRequest, now: Duration): Boolean = now - pending.arrivedAt >
        pending.requestClass.queueMillis.milliseconds * settings.reservationWaitShare

    private fun shortfall(state: EndpointState, pending: PendingRequest): Long =
        state.neededLimit(pending) - state.share.limit
}
