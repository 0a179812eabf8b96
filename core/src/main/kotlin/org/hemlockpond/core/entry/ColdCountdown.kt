/*
 * Tells entries of cold endpoints that say something new from heartbeats that only count the cold time
 * down. Each host counts on its own clock, so a heartbeat needs no further read of the list.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import org.hemlockpond.core.EndpointId

/** @param margin how much later than known a cold time may end without counting as a change */
class ColdCountdown(private val margin: Duration) {
    /** The earliest end of each endpoint's cold time that was read since it last changed. */
    private val ends = HashMap<EndpointId, Duration>()

    /** Notes an entry that was read at [now]; returns whether its cold time is new or ends later. */
    fun read(entry: ListedEndpoint, now: Duration): Boolean {
        if (entry.coldLeft <= Duration.ZERO) {
            ends -= entry.id
            return false
        }
        val end = now + entry.coldLeft
        val known = ends[entry.id]
        val isNew = known == null || end > known + margin
        ends[entry.id] = if (known == null || isNew) end else minOf(known, end)
        return isNew
    }

    fun removed(id: EndpointId) {
        ends -= id
    }

    /** Forgets all endpoints that aren't in [ids]. */
    fun retain(ids: Set<EndpointId>) {
        ends.keys.retainAll(ids)
    }
}
