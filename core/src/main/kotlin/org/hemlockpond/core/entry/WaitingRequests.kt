/*
 * The requests that wait for room at a service's endpoints. Answers the load pattern of a burst or
 * of lost endpoints: requests whose goal can still be met go first, by rank, then by arrival; the
 * late ones follow. A request leaves unserved as soon as its wait limit is over.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration

internal class WaitingRequests {
    class Waiting(val request: EntryRequest, val until: Duration)

    private val list = ArrayList<Waiting>()

    val size: Int get() = list.size

    fun add(waiting: Waiting) {
        list += waiting
    }

    fun remove(request: EntryRequest): Boolean = list.removeIf { it.request === request }

    /** The waiting requests in the order in which they are to be sent. */
    fun ordered(now: Duration): List<EntryRequest> = list.map { it.request }.sortedWith(
        compareBy({ if (it.goalEnd > now) 0 else 1 }, { it.rank }, { it.arrival })
    )

    /** Removes and returns the requests that have waited for too long. */
    fun expired(now: Duration): List<EntryRequest> {
        val late = list.filter { it.until <= now }.map { it.request }
        if (late.isNotEmpty()) list.removeIf { it.until <= now }
        return late
    }
}
