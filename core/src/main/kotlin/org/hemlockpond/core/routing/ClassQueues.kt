/*
 * Queued requests by route, version and class. Classes are served by start-time fair queueing
 * (Goyal, Vin and Cheng, 1996): each dispatch advances the virtual time of its queue by the inverse
 * of the weight, and the queue with the lowest virtual time is served next.
 */
package org.hemlockpond.core.routing

import java.util.TreeSet
import kotlin.time.Duration
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.VersionId

internal class ClassQueue(val weight: Int) {
    val requests = TreeSet(compareBy<PendingRequest>({ it.rank }, { it.sequence }))
    var virtualTime = 0.0

    /** The [ActiveRequests.changeCount] at which no endpoint had room for the first request. */
    var blockedAtChange = -1L
}

internal class RouteQueues {
    private data class Key(val version: VersionId?, val requestClass: String)

    private val queues = LinkedHashMap<Key, ClassQueue>()
    private var virtualTime = 0.0

    val all: Collection<ClassQueue> get() = queues.values
    val size: Int get() = queues.values.sumOf { it.requests.size }

    fun queueOf(request: RoutingRequest, name: String, weight: Int): ClassQueue =
        queues.getOrPut(Key(request.version, name)) { ClassQueue(weight) }

    fun add(pending: PendingRequest) {
        val request = pending.request
        val queue = queueOf(request, pending.requestClass.name, pending.requestClass.weight)
        // An idle queue earns no credit, so it starts at the current virtual time.
        if (queue.requests.isEmpty()) queue.virtualTime = maxOf(queue.virtualTime, virtualTime)
        queue.requests += pending
        if (queue.requests.first() === pending) queue.blockedAtChange = -1
    }

    fun remove(pending: PendingRequest): Boolean {
        val queue = queues[Key(pending.request.version, pending.requestClass.name)] ?: return false
        if (!queue.requests.remove(pending)) return false
        queue.blockedAtChange = -1
        return true
    }

    /** Returns the next queue to serve, skipping those already blocked at [changeCount]. */
    fun nextQueue(changeCount: Long): ClassQueue? {
        var best: ClassQueue? = null
        for (queue in queues.values) {
            if (queue.requests.isEmpty() || queue.blockedAtChange == changeCount) continue
            if (best == null || queue.virtualTime < best.virtualTime) best = queue
        }
        return best
    }

    fun dispatched(queue: ClassQueue, pending: PendingRequest) {
        queue.requests.remove(pending)
        virtualTime = queue.virtualTime
        queue.virtualTime += 1.0 / queue.weight.coerceAtLeast(1)
    }

    fun expired(now: Duration): List<PendingRequest> =
        queues.values.flatMap { queue -> queue.requests.filter { it.deadline <= now } }

    /** Removes empty queues, such as those of versions that are no longer used. */
    fun prune() {
        queues.values.removeIf { it.requests.isEmpty() && it.virtualTime <= virtualTime }
    }
}

/** The queues of all routes. */
internal class ClassQueues {
    private val routes = LinkedHashMap<RouteId, RouteQueues>()

    val size: Int get() = routes.values.sumOf { it.size }
    val ids: List<RouteId> get() = routes.keys.toList()

    fun of(route: RouteId): RouteQueues? = routes[route]

    fun add(pending: PendingRequest) =
        routes.getOrPut(pending.request.route) { RouteQueues() }.add(pending)

    fun isEmpty(route: RouteId): Boolean = (routes[route]?.size ?: 0) == 0
}
