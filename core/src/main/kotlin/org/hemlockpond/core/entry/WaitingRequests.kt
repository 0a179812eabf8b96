/*
 * The queue of requests that wait for an endpoint of a service with capacity, in a burst or after
 * the loss of endpoints. Requests that can still meet their goal are sent first, by rank and then
 * by arrival; late ones follow. A request is removed when its wait limit is over.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration

internal class WaitingRequests {
    /** @property expiresAt the end of the request's wait limit */
    class Waiting(val request: EntryRequest, val expiresAt: Duration)

    private val entries = ArrayList<Waiting>()

    val size: Int get() = entries.size

    /** The waiting requests in order of their addition. */
    val requests: List<EntryRequest> get() = entries.map { it.request }

    fun add(waiting: Waiting) {
        entries += waiting
    }

    fun remove(request: EntryRequest): Boolean = entries.removeIf { it.request === request }

    /** Returns the waiting requests in the order in which to send them. */
    fun inSendOrder(now: Duration): List<EntryRequest> = entries.map { it.request }.sortedWith(
        compareBy({ if (it.goalDeadline > now) 0 else 1 }, { it.rank }, { it.arrival })
    )

    /** Removes and returns the requests whose wait limit is over. */
    fun removeExpired(now: Duration): List<EntryRequest> {
        val late = entries.filter { it.expiresAt <= now }.map { it.request }
        if (late.isNotEmpty()) entries.removeIf { it.expiresAt <= now }
        return late
    }
}
