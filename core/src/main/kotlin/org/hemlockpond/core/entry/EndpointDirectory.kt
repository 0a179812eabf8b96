/*
 * The endpoints that the platform lists. An endpoint leaves the directory as soon as its entry is
 * removed or says that it is leaving, except after an outage of the store: entries lapse while
 * endpoints can't renew them, and live endpoints are back within [RENEWAL_GRACE_PERIOD] of its end.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.VersionId

/**
 * An entry of the platform's list.
 *
 * @property slots requests that the endpoint runs at once
 * @property leaving whether it takes no new work
 * @property startedMillis the wall-clock time of its start; tells two starts under one id apart
 */
data class ListedEndpoint(
    val id: EndpointId,
    val service: ServiceId,
    val host: String,
    val port: Int,
    val domain: FailureDomain,
    val version: VersionId,
    val slots: Int,
    val leaving: Boolean,
    val startedMillis: Long
)

/** A change of the endpoints that may be used. */
sealed interface DirectoryChange {
    data class Added(val endpoint: ListedEndpoint) : DirectoryChange

    data class Updated(val endpoint: ListedEndpoint) : DirectoryChange

    /** The endpoint gets no new work. */
    data class Removed(val id: EndpointId, val reason: String) : DirectoryChange
}

class EndpointDirectory {
    private val usable = LinkedHashMap<EndpointId, ListedEndpoint>()

    /** Endpoints whose entry is missing since an outage, with the end of their grace period. */
    private val missing = HashMap<EndpointId, Duration>()
    private var inOutage = false
    private var graceUntil = -Duration.INFINITE

    val endpoints: Collection<ListedEndpoint> get() = usable.values

    /** The store stopped answering. */
    fun storeLost() {
        inOutage = true
    }

    /** The store answers again. */
    fun storeReturned(now: Duration) {
        if (!inOutage) return
        inOutage = false
        graceUntil = now + RENEWAL_GRACE_PERIOD
    }

    /** Takes over a complete read of the list. */
    fun replaceAll(entries: List<ListedEndpoint>, now: Duration): List<DirectoryChange> =
        buildList {
            val present = entries.mapTo(HashSet()) { it.id }
            entries.forEach { addAll(update(it)) }
            usable.keys.filter { it !in present }.forEach { addAll(remove(it, now)) }
        }

    /** Takes over a new state of one entry. */
    fun update(entry: ListedEndpoint): List<DirectoryChange> {
        missing -= entry.id
        val known = usable[entry.id]
        return when {
            entry.leaving -> drop(entry.id, "leaving")

            known == entry -> emptyList()

            known == null -> {
                usable[entry.id] = entry
                listOf(DirectoryChange.Added(entry))
            }

            known.startedMillis != entry.startedMillis || known.host != entry.host ||
                known.port != entry.port -> {
                val removed = drop(entry.id, "restarted")
                usable[entry.id] = entry
                removed + DirectoryChange.Added(entry)
            }

            else -> {
                usable[entry.id] = entry
                listOf(DirectoryChange.Updated(entry))
            }
        }
    }

    /** The entry is no longer in the list. */
    fun remove(id: EndpointId, now: Duration): List<DirectoryChange> {
        if (id !in usable) return emptyList()
        if (now < graceUntil) {
            missing.putIfAbsent(id, graceUntil)
            return emptyList()
        }
        return drop(id, "unlisted")
    }

    /** The entry can't be read: it names no endpoint to use, whatever it said before. */
    fun removeUnreadable(id: EndpointId): List<DirectoryChange> = drop(id, "unreadable entry")

    /** Drops the endpoints whose entries didn't come back. */
    fun tick(now: Duration): List<DirectoryChange> {
        if (missing.isEmpty() || inOutage) return emptyList()
        val expired = missing.filterValues { it <= now }.keys.toList()
        return expired.flatMap { drop(it, "not listed again after an outage of the store") }
    }

    private fun drop(id: EndpointId, reason: String): List<DirectoryChange> {
        missing -= id
        usable.remove(id) ?: return emptyList()
        return listOf(DirectoryChange.Removed(id, reason))
    }

    companion object {
        /** The platform's page gives about two seconds for entries to return. */
        val RENEWAL_GRACE_PERIOD = 2_200.milliseconds
    }
}
