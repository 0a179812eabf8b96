/*
 * Follows the configuration, the endpoint list and the hosts' shared records in the store, and tells the
 * other hosts of the failure domain of changes if this host watches the store for them.
 */
package org.hemlockpond.router.entry

import kotlin.time.Duration
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.entry.EntryConfig
import org.hemlockpond.core.entry.HostName
import org.hemlockpond.core.entry.ListedEndpoint
import org.hemlockpond.core.entry.RolloutOrder
import org.hemlockpond.core.entry.ServiceId
import org.hemlockpond.core.entry.StoreReaderRole
import org.hemlockpond.core.entry.StoreRevisions
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.log
import org.hemlockpond.store.KeyValueStore
import org.hemlockpond.store.ReadResult
import org.hemlockpond.store.StoreChange

/** Receives what [FleetWatcher] reads from the store; all calls are on the event loop. */
internal interface FleetListener : StoreContact {
    fun configReceived(config: EntryConfig, revision: Long)

    fun rolloutOrdered(order: RolloutOrder)

    /** The operator withdrew the roll-out of [service]. */
    fun rolloutWithdrawn(service: ServiceId)

    /** The complete endpoint list was read; [entries] are its valid entries. */
    fun endpointsListed(entries: List<ListedEndpoint>)

    fun endpointChanged(entry: ListedEndpoint)

    fun endpointRemoved(id: EndpointId)

    fun endpointInvalid(id: EndpointId)
}

/** @param send sends a message to the other hosts of the failure domain */
internal class FleetWatcher(
    private val store: KeyValueStore,
    private val format: FleetFormat,
    private val settings: EntryRouterSettings,
    private val scope: CoroutineScope,
    private val sharedRecords: SharedRecords,
    private val role: StoreReaderRole,
    private val listener: FleetListener,
    private val send: (StoreRevisions) -> Unit,
    private val now: () -> Duration
) {
    private val operatorKeys =
        PrefixWatch(store, settings, role, listener, OperatorKeys(), probes = false, now)
    private val endpointList =
        PrefixWatch(store, settings, role, listener, EndpointList(), probes = false, now)

    /** The smallest of the prefixes serves as the probe. */
    private val shared =
        PrefixWatch(store, settings, role, listener, SharedKeys(), probes = true, now)
    private val watches = listOf(operatorKeys, endpointList, shared)
    private val loggedInvalidKeys = HashSet<String>()

    /** The revision of each known roll-out order, by key. */
    private val rolloutRevisions = HashMap<String, Long>()

    /** The store's revision of the newest configuration that was read, valid or not. */
    private var configRevision = -1L

    /** The list as it was last read; null for entries that can't be decoded. */
    private val listedEndpoints = HashMap<EndpointId, ListedEndpoint?>()
    private var sharedRevisions: Map<String, Long> = emptyMap()
    private var lastSent: StoreRevisions? = null
    private var nextMessageAt = Duration.ZERO

    /** When the last call was sent by which this host, as the reader, knows that the store answers. */
    private var contactAt = -Duration.INFINITE

    fun start() {
        watches.forEach { scope.launch { it.run() } }
        scope.launch { checkContact() }
    }

    /** A watch of a connection that is cut off shows it only when its wait is over. */
    private suspend fun checkContact() = coroutineScope {
        while (isActive) {
            val sentAt = now()
            if (role.others.isNotEmpty() && listener.isReachable && role.isReader(sentAt)) {
                val read = store.readStale(CONTACT_KEY)
                if (read is ReadResult.Values) {
                    contactAt = sentAt
                } else {
                    role.unanswered(now())
                    listener.callEnded(false, (read as ReadResult.Unavailable).cause)
                }
            }
            delay(settings.reader.contactInterval)
        }
    }

    /** The host [from] watches the store and tells its [revisions]. */
    fun revisionsTold(from: HostName, revisions: StoreRevisions) {
        role.heard(from, now())
        operatorKeys.revisionTold(revisions.operator)
        endpointList.revisionTold(revisions.endpoints)
        shared.revisionTold(revisions.shared)
    }

    /** Tells the other hosts at once of changes, and repeats it in case the message was lost. */
    fun tick(endpointGrace: Duration) {
        val now = now()
        if (!role.isReader(now) || !listener.isReachable) return
        if (watches.any { it.changedAt < 0 } ||
            now - contactAt > settings.reader.contactLimit
        ) {
            return
        }
        val next =
            StoreRevisions(operatorKeys.changedAt, endpointList.changedAt, shared.changedAt)
        if (next == lastSent && now < nextMessageAt) return
        lastSent = next
        nextMessageAt = now + settings.reader.messageInterval
        send(next.copy(graceMillis = endpointGrace.inWholeMilliseconds))
    }

    private inner class OperatorKeys : PrefixListener {
        override val prefix get() = format.operatorPrefix

        override fun valuesRead(read: ReadResult.Values): Progress {
            val orders = read.values.filter { it.key.startsWith(format.rolloutPrefix) }
            val before = rolloutRevisions.toMap()
            orders.forEach { reportRollout(it.value, it.revision, it.key) }
            (before.keys - orders.map { it.key }.toSet()).forEach(::withdrawRollout)
            val isNew = configRead(read) || before != rolloutRevisions
            return if (isNew) Progress.CHANGED else Progress.UNCHANGED
        }

        override fun valuesChanged(changes: List<StoreChange>): Progress {
            for (change in changes.filter { it.key.startsWith(format.rolloutPrefix) }) {
                val order = change.value
                if (order == null) {
                    withdrawRollout(change.key)
                } else {
                    reportRollout(order, change.revision, change.key)
                }
            }
            return when {
                configChanged(changes) -> Progress.BEHIND
                changes.isNotEmpty() -> Progress.CHANGED
                else -> Progress.UNCHANGED
            }
        }
    }

    private fun withdrawRollout(key: String) {
        rolloutRevisions -= key
        listener.rolloutWithdrawn(ServiceId(key.removePrefix(format.rolloutPrefix)))
    }

    /** Reports each order once; the prefix is read again whenever a watch ends. */
    private fun reportRollout(text: String, revision: Long, key: String) {
        if (rolloutRevisions.put(key, revision) == revision) return
        when (val decoded = format.parseRollout(text)) {
            is Decoded.Value -> listener.rolloutOrdered(decoded.value)

            is Decoded.Invalid -> log(
                LogEvent.ROLLOUT_INVALID,
                "key" to key,
                "revision" to revision,
                "reason" to decoded.reason
            )
        }
    }

    private fun configRead(read: ReadResult.Values): Boolean {
        val value = read.values.firstOrNull { it.key == format.configKey } ?: return false
        val isNew = value.revision > configRevision
        if (isNew) reportConfig(value.value, value.revision)
        return isNew
    }

    private fun configChanged(changes: List<StoreChange>): Boolean {
        val versions = changes.filter { it.key == format.configKey && it.value != null }
        // Earlier versions are only needed if the newest one can't be decoded.
        versions.asReversed().firstOrNull { reportConfig(it.value.orEmpty(), it.revision) }
        return versions.size > 1
    }

    /** Returns whether [text] is a valid configuration. */
    private fun reportConfig(text: String, revision: Long): Boolean {
        configRevision = maxOf(configRevision, revision)
        when (val decoded = format.parseConfig(text)) {
            is Decoded.Value -> {
                listener.configReceived(decoded.value, revision)
                return true
            }

            is Decoded.Invalid -> {
                log(
                    LogEvent.CONFIG_INVALID,
                    "key" to format.configKey,
                    "revision" to revision,
                    "reason" to decoded.reason
                )
                return false
            }
        }
    }

    private inner class EndpointList : PrefixListener {
        override val prefix get() = format.endpointPrefix
        override val pause get() = settings.endpointWatchPause

        override fun valuesRead(read: ReadResult.Values): Progress {
            val entries = read.values.associate {
                endpointId(it.key) to decode(it.key, it.value, it.revision)
            }
            listener.endpointsListed(entries.values.filterNotNull())
            entries.filterValues { it == null }.keys.forEach { listener.endpointInvalid(it) }
            if (entries == listedEndpoints) return Progress.UNCHANGED
            listedEndpoints.clear()
            listedEndpoints += entries
            return Progress.CHANGED
        }

        override fun valuesChanged(changes: List<StoreChange>): Progress {
            val before = listedEndpoints.toMap()
            for (change in changes) {
                val id = endpointId(change.key)
                val text = change.value
                if (text == null) {
                    listedEndpoints -= id
                    listener.endpointRemoved(id)
                } else {
                    val entry = decode(change.key, text, change.revision)
                    listedEndpoints[id] = entry
                    if (entry == null) {
                        listener.endpointInvalid(id)
                    } else {
                        listener.endpointChanged(entry)
                    }
                }
            }
            // Most changes are heartbeats, which change nothing that hosts use.
            return if (before == listedEndpoints) Progress.UNCHANGED else Progress.CHANGED
        }
    }

    private fun endpointId(key: String) = EndpointId(key.removePrefix(format.endpointPrefix))

    private fun decode(key: String, text: String, revision: Long): ListedEndpoint? =
        when (val decoded = format.parseEndpoint(endpointId(key), text)) {
            is Decoded.Value -> {
                loggedInvalidKeys -= key
                decoded.value
            }

            is Decoded.Invalid -> {
                // Logged once per entry, because the list is read again after every outage.
                if (loggedInvalidKeys.size < MAX_LOGGED_KEYS && loggedInvalidKeys.add(key)) {
                    log(
                        LogEvent.ENDPOINT_ENTRY_INVALID,
                        "key" to key,
                        "revision" to revision,
                        "reason" to decoded.reason
                    )
                }
                null
            }
        }

    private inner class SharedKeys : PrefixListener {
        override val prefix get() = SharedRecords.PREFIX

        override fun valuesRead(read: ReadResult.Values): Progress {
            sharedRecords.applyAll(read.values)
            val revisions = read.values.associate { it.key to it.revision }
            if (revisions == sharedRevisions) return Progress.UNCHANGED
            sharedRevisions = revisions
            return Progress.CHANGED
        }

        override fun valuesChanged(changes: List<StoreChange>): Progress {
            sharedRecords.apply(changes)
            val (present, deleted) = changes.partition { it.value != null }
            sharedRevisions = sharedRevisions + present.associate { it.key to it.revision } -
                deleted.map { it.key }.toSet()
            return if (changes.isEmpty()) Progress.UNCHANGED else Progress.CHANGED
        }
    }

    private companion object {
        /** Limits the memory used to remember logged entries. */
        const val MAX_LOGGED_KEYS = 1_000

        /** A small key that is there once a host has registered; its value doesn't matter. */
        const val CONTACT_KEY = "hemlockpond/peer-secret"
    }
}
