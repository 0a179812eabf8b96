/*
 * Watches the configuration, the endpoint list and the hosts' shared records in the store. Each is read
 * once and then watched; when a watch ends for any reason, the data is read again.
 *
 * A watch delivers every version of a key. A configuration can have hundreds of kilobytes, so a host
 * with a busy link would fall further behind with each of several quick changes. When several versions
 * arrive at once, the host reads the newest one until it has caught up, and then watches again.
 */
package org.hemlockpond.router.entry

import kotlin.time.Duration
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.flow.takeWhile
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.entry.EntryConfig
import org.hemlockpond.core.entry.ListedEndpoint
import org.hemlockpond.core.entry.RolloutOrder
import org.hemlockpond.core.entry.ServiceId
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.log
import org.hemlockpond.store.KeyValueStore
import org.hemlockpond.store.ReadResult
import org.hemlockpond.store.StoreChange

/** Receives what [FleetWatcher] reads from the store; all calls are on the event loop. */
internal interface FleetListener {
    fun configReceived(config: EntryConfig, revision: Long)

    fun rolloutOrdered(order: RolloutOrder)

    /** The operator withdrew the roll-out of [service]. */
    fun rolloutWithdrawn(service: ServiceId)

    /** The complete endpoint list was read; [entries] are its valid entries. */
    fun endpointsListed(entries: List<ListedEndpoint>)

    fun endpointChanged(entry: ListedEndpoint)

    fun endpointRemoved(id: EndpointId)

    fun endpointInvalid(id: EndpointId)

    fun storeCallEnded(answered: Boolean, cause: String?)
}

internal class FleetWatcher(
    private val store: KeyValueStore,
    private val format: FleetFormat,
    private val settings: EntryRouterSettings,
    private val scope: CoroutineScope,
    private val sharedRecords: SharedRecords,
    private val listener: FleetListener
) {
    private val loggedInvalidKeys = HashSet<String>()

    /** The revision of each known roll-out order, by key. */
    private val rolloutRevisions = HashMap<String, Long>()

    /** The store's revision of the newest configuration that was read, valid or not. */
    private var configRevision = -1L

    fun start() {
        scope.launch {
            readAndWatch(format.operatorPrefix, ::operatorKeysRead, ::operatorKeysChanged)
        }
        scope.launch {
            readAndWatch(
                format.endpointPrefix,
                ::endpointsRead,
                ::endpointsChanged,
                pause = settings.endpointWatchPause
            )
        }
        scope.launch {
            readAndWatch(SharedRecords.PREFIX, ::sharedRecordsRead, ::sharedRecordsChanged)
        }
    }

    /**
     * @param onRead handles a complete read; returns whether it brought anything new, as far as that
     *   matters to catch up
     * @param onChanges handles the changes of a watch; returns whether this host is behind, so that
     *   the prefix has to be read again
     */
    private suspend fun readAndWatch(
        prefix: String,
        onRead: (ReadResult.Values) -> Boolean,
        onChanges: (List<StoreChange>) -> Boolean,
        pause: Duration = Duration.ZERO
    ) = coroutineScope {
        var isBehind = false
        while (isActive) {
            val read = store.readPrefix(prefix)
            val cause = (read as? ReadResult.Unavailable)?.cause
            listener.storeCallEnded(cause == null, cause)
            if (read !is ReadResult.Values) {
                delay(settings.storeRetryDelay)
                continue
            }
            isBehind = handled(prefix) { onRead(read) } && isBehind
            if (isBehind) {
                delay(settings.catchUpDelay)
                continue
            }
            store.watch(prefix, read.revision + 1)
                .catch { log(LogEvent.WATCH_ENDED, "prefix" to prefix, cause = it) }
                .takeWhile { changes ->
                    listener.storeCallEnded(true, null)
                    isBehind = handled(prefix) { onChanges(changes) }
                    delay(pause)
                    !isBehind
                }
                .collect()
        }
    }

    /** An entry that causes an exception must not end the watch: the host would stop following it. */
    private inline fun handled(prefix: String, handle: () -> Boolean): Boolean = try {
        handle()
    } catch (e: RuntimeException) {
        log(LogEvent.CONTROL_FAILED, "prefix" to prefix, cause = e)
        false
    }

    private fun operatorKeysRead(read: ReadResult.Values): Boolean {
        val orders = read.values.filter { it.key.startsWith(format.rolloutPrefix) }
        orders.forEach { reportRollout(it.value, it.revision, it.key) }
        (rolloutRevisions.keys - orders.map { it.key }.toSet()).toList().forEach(::withdrawRollout)
        return configRead(read)
    }

    private fun operatorKeysChanged(changes: List<StoreChange>): Boolean {
        for (change in changes.filter { it.key.startsWith(format.rolloutPrefix) }) {
            val order = change.value
            if (order == null) {
                withdrawRollout(change.key)
            } else {
                reportRollout(order, change.revision, change.key)
            }
        }
        return configChanged(changes)
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

    private fun endpointsRead(read: ReadResult.Values): Boolean {
        val entries = read.values.associate {
            endpointId(it.key) to decode(it.key, it.value, it.revision)
        }
        listener.endpointsListed(entries.values.filterNotNull())
        entries.filterValues { it == null }.keys.forEach { listener.endpointInvalid(it) }
        return false
    }

    private fun endpointsChanged(changes: List<StoreChange>): Boolean {
        for (change in changes) {
            val id = endpointId(change.key)
            val text = change.value
            if (text == null) {
                listener.endpointRemoved(id)
            } else {
                decode(change.key, text, change.revision)?.let { listener.endpointChanged(it) }
                    ?: listener.endpointInvalid(id)
            }
        }
        return false
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

    private fun sharedRecordsRead(read: ReadResult.Values): Boolean {
        sharedRecords.applyAll(read.values)
        return false
    }

    private fun sharedRecordsChanged(changes: List<StoreChange>): Boolean {
        sharedRecords.apply(changes)
        return false
    }

    private companion object {
        /** Limits the memory used to remember logged entries. */
        const val MAX_LOGGED_KEYS = 1_000
    }
}
