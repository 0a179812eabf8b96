/*
 * Follows the configuration, the endpoint list and the hosts' shared records in the store, and tells the
 * other hosts of the failure domain of changes if this host watches the store for them.
 */
package org.hemlockpond.router.entry

import kotlin.time.Duration
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.entry.ColdCountdown
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
import org.hemlockpond.store.StoredValue

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

    /** Exactly these [domains] are evacuated; may be repeated. */
    fun evacuationsRead(domains: Set<FailureDomain>)

    fun endpointInvalid(id: EndpointId)
}

/** @param send sends a message to the other hosts of the failure domain */
internal class FleetWatcher(
    private val store: KeyValueStore,
    private val format: FleetFormat,
    private val settings: EntryRouterSettings,
    private val parts: PartSupervisor,
    private val sharedRecords: SharedRecords,
    private val role: StoreReaderRole,
    private val listener: FleetListener,
    private val send: (StoreRevisions) -> Unit,
    private val skipped: SkippedEntries = SkippedEntries(),
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

    /** The revision of each known roll-out order, by key. */
    private val rolloutRevisions = HashMap<String, Long>()
    private val evacuations = EvacuationOrders(format.evacuationPrefix, listener::evacuationsRead)

    /** The store's revision of the newest configuration that was read, valid or not. */
    private var configRevision = -1L

    /** The list as it was last read, without entries that can't be decoded and without cold times. */
    private val listedEndpoints = HashMap<EndpointId, ListedEndpoint>()
    private val coldCountdown = ColdCountdown(settings.entry.placement.coldMargin)

    /** The services with a bound on requests to cold endpoints; cold times of others aren't announced. */
    private var boundedServices: Set<ServiceId> = emptySet()
    private var sharedRevisions: Map<String, Long> = emptyMap()
    private var lastSent: StoreRevisions? = null
    private var nextMessageAt = Duration.ZERO

    /** When the last call was sent by which this host, as the reader, knows that the store answers. */
    private var contactAt = -Duration.INFINITE

    fun start() {
        parts.keep("operator keys") { operatorKeys.run(it) }
        parts.keep("endpoint list") { endpointList.run(it) }
        parts.keep("shared records") { shared.run(it) }
        parts.keep("store contact") { checkContact(it) }
    }

    /** A watch of a connection that is cut off shows it only when its wait is over. */
    private suspend fun checkContact(caughtUp: () -> Unit) = coroutineScope {
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
            caughtUp()
            delay(settings.reader.contactInterval)
        }
    }

    /** The host [from] watches the store and tells its [revisions]. */
    fun revisionsTold(from: HostName, revisions: StoreRevisions) {
        role.heard(from, now())
        operatorKeys.revisionTold(from, revisions.operator)
        endpointList.revisionTold(from, revisions.endpoints, revisions.endpointChanges)
        shared.revisionTold(from, revisions.shared, revisions.sharedChanges)
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
        val last = lastSent ?: next
        lastSent = next
        nextMessageAt = now + settings.reader.messageInterval
        relayMessages(last, next, endpointList.relay.next(), shared.relay.next())
            .forEach { send(it.copy(graceMillis = endpointGrace.inWholeMilliseconds)) }
    }

    private inner class OperatorKeys : PrefixListener {
        override val prefix get() = format.operatorPrefix

        override fun watchBegins() {
            configRevision = -1
            rolloutRevisions.replaceAll { _, _ -> -1 }
            evacuations.watchBegins()
        }

        override fun startRead() = OperatorRead()

        override fun valuesChanged(changes: List<StoreChange>): Progress {
            evacuations.apply(changes)
            for (change in changes.filter { it.key.startsWith(format.rolloutPrefix) }) {
                val text = change.value
                if (text == null) {
                    withdrawRollout(change.key)
                } else {
                    decodeRollout(StoredValue(change.key, text, change.revision))
                        ?.let { reportRollout(change.key, it) }
                }
            }
            return when {
                configChanged(changes) -> Progress.BEHIND
                changes.isNotEmpty() -> Progress.CHANGED
                else -> Progress.UNCHANGED
            }
        }
    }

    private inner class OperatorRead : PrefixRead {
        private val kept = skipped.KeptEntries(format.operatorPrefix)

        /** The orders by key; null for those that are known. */
        private val orders = LinkedHashMap<String, NewOrder?>()
        private val evacuated = HashSet<FailureDomain>()
        private var config: StoredValue? = null

        override fun entryRead(entry: StoredValue) {
            if (entry.key == format.configKey) {
                config = entry.takeIf { it.revision > configRevision }
            } else if (entry.key.startsWith(format.rolloutPrefix)) {
                val known = rolloutRevisions[entry.key]
                val order = if (known == entry.revision) null else decodeRollout(entry)
                if (order == null && known == null) return
                if (known != null || kept.admits(entry.key, entry.revision, entry.value.length)) {
                    orders[entry.key] = order
                }
            } else {
                val domain = evacuations.domainOf(entry.key) ?: return
                if (evacuations.isEvacuated(domain) ||
                    kept.admits(entry.key, entry.revision, entry.key.length)
                ) {
                    evacuated += domain
                }
            }
        }

        override fun completed(): Progress {
            val before = rolloutRevisions.toMap()
            // Before the configuration, with which the host begins to serve.
            val areEvacuationsNew = evacuations.replace(evacuated)
            for ((key, order) in orders) order?.let { reportRollout(key, it) }
            (before.keys - orders.keys).forEach(::withdrawRollout)
            config?.let { reportConfig(it.value, it.revision) }
            val isNew =
                config != null || before != rolloutRevisions || areEvacuationsNew
            return if (isNew) Progress.CHANGED else Progress.UNCHANGED
        }
    }

    private class NewOrder(val revision: Long, val order: RolloutOrder)

    private fun withdrawRollout(key: String) {
        rolloutRevisions -= key
        listener.rolloutWithdrawn(ServiceId(key.removePrefix(format.rolloutPrefix)))
    }

    private fun decodeRollout(entry: StoredValue): NewOrder? =
        when (val decoded = format.parseRollout(entry.value)) {
            is Decoded.Value -> NewOrder(entry.revision, decoded.value)

            is Decoded.Invalid -> {
                skipped.skip(
                    LogEvent.ROLLOUT_INVALID,
                    entry.key,
                    entry.revision,
                    decoded.reason,
                    once = "${entry.key} ${entry.revision}"
                )
                null
            }
        }

    /** Reports each order once; the prefix is read again whenever a watch ends. */
    private fun reportRollout(key: String, order: NewOrder) {
        if (rolloutRevisions.put(key, order.revision) != order.revision) {
            listener.rolloutOrdered(order.order)
        }
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
                boundedServices = decoded.value.services.values
                    .filter { it.coldPerSecond != null }.mapTo(HashSet()) { it.id }
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

        override fun startRead() = EndpointRead()

        private var changedKeys: Set<String> = emptySet()

        override fun relevant(changes: List<StoreChange>) = changes.filter { it.key in changedKeys }

        override fun valuesChanged(changes: List<StoreChange>): Progress {
            val before = listedEndpoints.toMap()
            val newColdTimes = changes.filter(::entryChanged).mapTo(HashSet()) { it.key }
            // Most changes are heartbeats, which change nothing that hosts use.
            changedKeys = changes.mapTo(HashSet()) { it.key }.filterTo(HashSet()) {
                before[endpointId(it)] != listedEndpoints[endpointId(it)]
            }
            changedKeys += newColdTimes
            return if (changedKeys.isEmpty()) Progress.UNCHANGED else Progress.CHANGED
        }

        /** Applies one change; returns whether it tells a new cold time. */
        private fun entryChanged(change: StoreChange): Boolean {
            val id = endpointId(change.key)
            val text = change.value
            if (text == null) {
                listedEndpoints -= id
                coldCountdown.removed(id)
                listener.endpointRemoved(id)
                return false
            }
            val entry = decode(StoredValue(change.key, text, change.revision))
                ?.takeIf { id in listedEndpoints || hasRoom(change) }
            if (entry == null) {
                listedEndpoints -= id
                listener.endpointInvalid(id)
                return false
            }
            listedEndpoints[id] = entry.copy(coldLeft = Duration.ZERO)
            val isNewColdTime = coldTimeRead(entry)
            listener.endpointChanged(entry)
            return isNewColdTime
        }
    }

    private inner class EndpointRead : PrefixRead {
        private val kept = skipped.KeptEntries(format.endpointPrefix)
        private val entries = LinkedHashMap<EndpointId, ListedEndpoint>()

        override fun entryRead(entry: StoredValue) {
            val endpoint = decode(entry)
            if (endpoint == null) {
                listener.endpointInvalid(endpointId(entry.key))
            } else if (kept.admits(entry.key, entry.revision, entry.key.length)) {
                entries[endpoint.id] = endpoint
            }
        }

        override fun completed(): Progress {
            listener.endpointsListed(entries.values.toList())
            val newColdTimes = entries.values.count(::coldTimeRead)
            coldCountdown.retain(entries.keys)
            val listed = entries.mapValues { it.value.copy(coldLeft = Duration.ZERO) }
            if (listed == listedEndpoints && newColdTimes == 0) return Progress.UNCHANGED
            listedEndpoints.clear()
            listedEndpoints += listed
            return Progress.CHANGED
        }
    }

    /** Returns whether [entry] says something new about the time for which the endpoint is cold. */
    private fun coldTimeRead(entry: ListedEndpoint): Boolean {
        if (entry.service !in boundedServices) return false
        val isNew = coldCountdown.read(entry, now())
        if (isNew) {
            log(
                LogEvent.ENDPOINT_COLD,
                "endpoint" to entry.id,
                "service" to entry.service,
                "left" to entry.coldLeft.inWholeMilliseconds
            )
        }
        return isNew
    }

    private fun hasRoom(change: StoreChange): Boolean {
        if (listedEndpoints.size < SkippedEntries.MAX_ENTRIES) return true
        val prefix = format.endpointPrefix
        skipped.skip(LogEvent.STORE_LIST_FULL, change.key, change.revision, null, once = prefix)
        return false
    }

    private fun endpointId(key: String) = EndpointId(key.removePrefix(format.endpointPrefix))

    private fun decode(entry: StoredValue): ListedEndpoint? =
        when (val decoded = format.parseEndpoint(endpointId(entry.key), entry.value)) {
            is Decoded.Value -> {
                skipped.readable(entry.key)
                decoded.value
            }

            is Decoded.Invalid -> {
                skipped.skip(
                    LogEvent.ENDPOINT_ENTRY_INVALID,
                    entry.key,
                    entry.revision,
                    decoded.reason
                )
                null
            }
        }

    private inner class SharedKeys : PrefixListener {
        override val prefix get() = SharedRecords.PREFIX

        override fun startRead() = SharedRead()

        override fun relevant(changes: List<StoreChange>) = changes

        override fun valuesChanged(changes: List<StoreChange>): Progress {
            val unreadable = sharedRecords.apply(changes, skipped)
            val (present, deleted) =
                changes.partition { it.value != null && it.key !in unreadable }
            sharedRevisions = sharedRevisions + present.associate { it.key to it.revision } -
                deleted.map { it.key }.toSet()
            return if (changes.isEmpty()) Progress.UNCHANGED else Progress.CHANGED
        }
    }

    private inner class SharedRead : PrefixRead {
        private val kept = skipped.KeptEntries(SharedRecords.PREFIX)
        private val records = sharedRecords.startRead(skipped)
        private val revisions = HashMap<String, Long>()

        override fun entryRead(entry: StoredValue) {
            val isKept =
                records.entryRead(entry) { kept.admits(entry.key, entry.revision, it) }
            if (isKept) revisions[entry.key] = entry.revision
        }

        override fun completed(): Progress {
            records.completed()
            if (revisions == sharedRevisions) return Progress.UNCHANGED
            sharedRevisions = revisions
            return Progress.CHANGED
        }
    }

    private companion object {
        /** A small key that is there once a host has registered; its value doesn't matter. */
        const val CONTACT_KEY = "hemlockpond/peer-secret"
    }
}
