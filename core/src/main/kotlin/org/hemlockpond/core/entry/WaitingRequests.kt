/*
 * The requests that wait for room at a service's endpoints. Answers the load pattern of a burst or
 * of lost endpoints: requests whose goal can still be met go first, by rank, then by arrival; the
 * late ones follow. A request leaves unserved as soon as its wait limit is over.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration

internal class WaitingRequests {
    class Waiting(val request: EntryRequest, val expiresAt: Duration)

    private val entries = ArrayList<Waiting>()

    val size: Int get() = entries.size

    fun add(waiting: Waiting) {
        entries += waiting
    }

    fun remove(request: EntryRequest): Boolean = entries.removeIf { it.request === request }

    /** The waiting requests in the order in which they are to be sent. */
    fun inSendOrder(now: Duration): List<EntryRequest> = entries.map { it.request }.sortedWith(
        compareBy({ if (it.goalDeadline > now) 0 else 1 }, { it.rank }, { it.arrival })
    )

    /** Removes and returns the requests that have waited for too long. */
    fun removeExpired(now: Duration): List<EntryRequest> {
        val late = entries.filter { it.expiresAt <= now }.map { it.request }
        if (late.isNotEmpty()) entries.removeIf { it.expiresAt <= now }
        return late
    }
}
