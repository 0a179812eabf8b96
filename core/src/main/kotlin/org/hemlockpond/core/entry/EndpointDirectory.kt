/*
 * The endpoints that the platform lists. An endpoint is dropped as soon as its entry is removed or
 * marked as leaving, except after an outage of the store: entries expire while endpoints can't
 * renew them, and live endpoints are listed again within [RENEWAL_GRACE_PERIOD] of the end of the
 * outage.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.VersionId

/**
 * An entry of the platform's endpoint list.
 *
 * @property slots the number of requests that the endpoint runs concurrently
 * @property leaving whether the endpoint accepts no new requests
 * @property startedMillis the start of the endpoint's process in Unix milliseconds; distinguishes
 *   two starts under one id
 * @property coldLeft how long the endpoint was still cold when the entry was written; zero if warm
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
    val startedMillis: Long,
    val coldLeft: Duration = Duration.ZERO
) {
    val process: EndpointProcess get() = EndpointProcess(id, startedMillis)
}

/** One process of an endpoint; [startedMillis] distinguishes the processes under one id. */
data class EndpointProcess(val endpoint: EndpointId, val startedMillis: Long)

/** A change of the set of usable endpoints. */
sealed interface DirectoryChange {
    data class Added(val endpoint: ListedEndpoint) : DirectoryChange

    data class Updated(val endpoint: ListedEndpoint) : DirectoryChange

    /** The endpoint gets no new requests. */
    data class Removed(val id: EndpointId, val reason: String) : DirectoryChange
}

class EndpointDirectory {
    private val usable = LinkedHashMap<EndpointId, ListedEndpoint>()

    /** Endpoints whose entries expired in an outage, with the end of their grace period. */
    private val missingUntil = HashMap<EndpointId, Duration>()

    /** Processes that have said in an answer that they leave, the oldest first. */
    private val leavingProcesses = LinkedHashSet<EndpointProcess>()
    private var inOutage = false
    private var graceUntil = -Duration.INFINITE

    val endpoints: Collection<ListedEndpoint> get() = usable.values

    /** Notes that the store has stopped answering. */
    fun storeLost() {
        inOutage = true
    }

    /** Starts the grace period when the store answers again. */
    fun storeReturned(now: Duration) {
        if (!inOutage) return
        inOutage = false
        graceUntil = now + RENEWAL_GRACE_PERIOD
    }

    /** How much longer entries may be missing after an outage of the store. */
    fun graceLeft(now: Duration): Duration = (graceUntil - now).coerceAtLeast(Duration.ZERO)

    /**
     * Another host has seen an outage of the store, which this one may not have noticed; entries may be
     * missing for [grace].
     */
    fun extendGrace(grace: Duration, now: Duration) {
        graceUntil = maxOf(graceUntil, now + grace.coerceAtMost(RENEWAL_GRACE_PERIOD))
    }

    /** Applies a complete read of the list. */
    fun replaceAll(entries: List<ListedEndpoint>, now: Duration): List<DirectoryChange> =
        buildList {
            val present = entries.mapTo(HashSet()) { it.id }
            entries.forEach { addAll(update(it)) }
            usable.keys.filter { it !in present }.forEach { addAll(remove(it, now)) }
        }

    /** Applies a new or changed entry. */
    fun update(entry: ListedEndpoint): List<DirectoryChange> {
        missingUntil -= entry.id
        val known = usable[entry.id]
        return when {
            entry.leaving || entry.process in leavingProcesses -> drop(entry.id, "leaving")

            // The countdown of a cold endpoint starts again with each read.
            known == entry && entry.coldLeft <= Duration.ZERO -> emptyList()

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

    /** Drops an endpoint whose entry was removed, or marks it as missing in a grace period. */
    fun remove(id: EndpointId, now: Duration): List<DirectoryChange> {
        if (id !in usable) return emptyList()
        if (now < graceUntil) {
            missingUntil.putIfAbsent(id, graceUntil)
            return emptyList()
        }
        return drop(id, "unlisted")
    }

    /**
     * Drops an endpoint whose [process] has said in an answer that it leaves. Older or late entries of
     * the same process don't bring it back; a new process under its id does.
     */
    fun processLeaves(process: EndpointProcess): List<DirectoryChange> {
        leavingProcesses += process
        if (leavingProcesses.size > MAX_LEAVING_PROCESSES) {
            leavingProcesses -= leavingProcesses.first()
        }
        if (usable[process.endpoint]?.process != process) return emptyList()
        return drop(process.endpoint, "said that it leaves")
    }

    /** Drops an endpoint whose entry can't be decoded, whatever the entry held before. */
    fun removeUnreadable(id: EndpointId): List<DirectoryChange> = drop(id, "unreadable entry")

    /** Drops the endpoints whose entries weren't renewed within the grace period. */
    fun tick(now: Duration): List<DirectoryChange> {
        if (missingUntil.isEmpty() || inOutage) return emptyList()
        val expired = missingUntil.filterValues { it <= now }.keys.toList()
        return expired.flatMap { drop(it, "not listed again after an outage of the store") }
    }

    private fun drop(id: EndpointId, reason: String): List<DirectoryChange> {
        missingUntil -= id
        usable.remove(id) ?: return emptyList()
        return listOf(DirectoryChange.Removed(id, reason))
    }

    companion object {
        /** Limits the memory for processes that left; entries outlive their process by seconds. */
        private const val MAX_LEAVING_PROCESSES = 10_000

        /** The platform's documentation states about two seconds until entries are renewed. */
        val RENEWAL_GRACE_PERIOD = 2_200.milliseconds
    }
}
