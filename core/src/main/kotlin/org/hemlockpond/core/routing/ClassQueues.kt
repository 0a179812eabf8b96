/*
 * Requests that wait, by route, version and class. Classes take turns by start-time fair queueing
 * (Goyal, Vin and Cheng, 1996): each dispatch advances the virtual time of its queue by the inverse
 * of its weight, and the queue with the least virtual time is next.
 */
package org.hemlockpond.core.routing

import java.util.TreeSet
import kotlin.time.Duration
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.VersionId

internal class ClassQueue(val weight: Int) {
    val items = TreeSet(compareBy<Item>({ it.rank }, { it.sequence }))
    var virtualTime = 0.0

    /** The state of the endpoints at which the head was last found to have no room. */
    var blockedAt = -1L
}

internal class RouteQueues {
    private data class Key(val version: VersionId?, val requestClass: String)

    private val queues = LinkedHashMap<Key, ClassQueue>()
    private var virtualTime = 0.0

    val all: Collection<ClassQueue> get() = queues.values
    val size: Int get() = queues.values.sumOf { it.items.size }

    fun queueOf(work: Work, name: String, weight: Int): ClassQueue =
        queues.getOrPut(Key(work.version, name)) { ClassQueue(weight) }

    fun add(item: Item) {
        val work = item.work
        val queue = queueOf(work, item.requestClass.name, item.requestClass.weight)
        // A queue that was empty earns no turns for the time in which it had nothing to send.
        if (queue.items.isEmpty()) queue.virtualTime = maxOf(queue.virtualTime, virtualTime)
        queue.items += item
        if (queue.items.first() === item) queue.blockedAt = -1
    }

    fun remove(item: Item): Boolean {
        val queue = queues[Key(item.work.version, item.requestClass.name)] ?: return false
        if (!queue.items.remove(item)) return false
        queue.blockedAt = -1
        return true
    }

    /** The queue whose turn it is, among those whose head isn't known to lack room. */
    fun next(state: Long): ClassQueue? {
        var best: ClassQueue? = null
        for (queue in queues.values) {
            if (queue.items.isEmpty() || queue.blockedAt == state) continue
            if (best == null || queue.virtualTime < best.virtualTime) best = queue
        }
        return best
    }

    fun taken(queue: ClassQueue, item: Item) {
        queue.items.remove(item)
        virtualTime = queue.virtualTime
        queue.virtualTime += 1.0 / queue.weight.coerceAtLeast(1)
    }

    fun expired(now: Duration): List<Item> =
        queues.values.flatMap { queue -> queue.items.filter { it.deadline <= now } }

    /** Drops empty queues, so that old versions leave nothing behind. */
    fun prune() {
        queues.values.removeIf { it.items.isEmpty() && it.virtualTime <= virtualTime }
    }
}

/** The queues of all routes. */
internal class ClassQueues {
    private val routes = LinkedHashMap<RouteId, RouteQueues>()

    val size: Int get() = routes.values.sumOf { it.size }
    val ids: List<RouteId> get() = routes.keys.toList()

    fun of(route: RouteId): RouteQueues? = routes[route]

    fun add(item: Item) = routes.getOrPut(item.work.route) { RouteQueues() }.add(item)

    fun isEmpty(route: RouteId): Boolean = (routes[route]?.size ?: 0) == 0
}
