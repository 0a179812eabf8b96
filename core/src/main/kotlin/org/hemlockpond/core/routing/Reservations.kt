/*
 * Keeps long requests from starving. Short requests would otherwise take each piece of memory as it
 * becomes free, so that room for a long one never comes together. A long request that has waited
 * for a good part of its deadline gets one endpoint, at which only it and short requests start.
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
    private class Reservation(val item: Item, val endpoint: EndpointState)

    private val byRoute = HashMap<RouteId, Reservation>()

    /** Releases the endpoint reserved for [item], which has started or ended. */
    fun release(item: Item) {
        val reservation = byRoute[item.work.route] ?: return
        if (reservation.item !== item) return
        reservation.endpoint.reservedFor = null
        byRoute -= item.work.route
    }

    fun tick(route: RouteId, queues: RouteQueues, now: Duration, out: MutableList<RoutingAction>) {
        val current = byRoute[route]
        if (current != null) {
            if (current.endpoint.accepts(now)) {
                loans.borrow(current.endpoint, current.item, now, out)
                return
            }
            release(current.item)
        }
        val head = queues.all.mapNotNull { it.items.firstOrNull() }
            .filter { it.long && isLate(it, now) }
            .minByOrNull { it.arrival } ?: return
        val endpoint = endpoints.ofRoute(route)
            .filter { it.serves(head.work.version) && it.accepts(now) }
            .filter { it.cost(head.work) <= it.usable }
            .minWithOrNull(compareBy({ it.config.domain != domain }, { lack(it, head) })) ?: return
        endpoint.reservedFor = head.work.request
        endpoint.reservedCost = endpoint.cost(head.work)
        byRoute[route] = Reservation(head, endpoint)
    }

    private fun isLate(item: Item, now: Duration): Boolean =
        now - item.arrival > item.requestClass.queueMillis.milliseconds * settings.patience

    private fun lack(state: EndpointState, item: Item): Long =
        state.neededLimit(item) - state.share.limit
}
