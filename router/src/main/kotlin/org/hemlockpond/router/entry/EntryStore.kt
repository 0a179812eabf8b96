/*
 * Follows the configuration, the endpoint list and the crash records in the store, each by a read
 * and a watch. A watch that ends for whatever reason is followed by a new read.
 */
package org.hemlockpond.router.entry

import kotlin.time.Duration
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.entry.EntryConfig
import org.hemlockpond.core.entry.ListedEndpoint
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.log
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.KeyValueStore
import org.hemlockpond.store.ReadResult
import org.hemlockpond.store.StoreChange

/** What the store shows; all calls are on the event loop. */
internal interface FleetListener {
    fun config(config: EntryConfig, revision: Long)

    /** A complete read of the endpoint list. */
    fun endpointsListed(entries: List<ListedEndpoint>)

    fun endpointChanged(entry: ListedEndpoint)

    fun endpointRemoved(id: EndpointId)

    fun endpointUnreadable(id: EndpointId)

    /** A router recorded a crash under this content. */
    fun crashRecorded(content: Long, record: String)

    fun storeAnswered(answered: Boolean, cause: String?)
}

internal class EntryStore(
    private val store: KeyValueStore,
    private val format: FleetFormat,
    private val settings: EntryRouterSettings,
    private val scope: CoroutineScope,
    private val listener: FleetListener
) {
    private val unreadable = HashSet<String>()

    fun start() {
        scope.launch { follow(format.configKey, ::configRead, ::configChanged) }
        scope.launch {
            follow(
                format.endpointPrefix,
                ::endpointsRead,
                ::endpointsChanged,
                pause = settings.endpointWatchPause
            )
        }
        scope.launch { follow(CRASHES_PREFIX, ::crashesRead, ::crashesChanged) }
    }

    private suspend fun follow(
        prefix: String,
        onRead: (ReadResult.Values) -> Unit,
        onChanges: (List<StoreChange>) -> Unit,
        pause: Duration = Duration.ZERO
    ) = coroutineScope {
        while (isActive) {
            val read = store.readPrefix(prefix)
            val cause = (read as? ReadResult.Unavailable)?.cause
            listener.storeAnswered(cause == null, cause)
            if (read is ReadResult.Values) {
                onRead(read)
                store.watch(prefix, read.revision + 1)
                    .catch { log(LogEvent.WATCH_ENDED, "prefix" to prefix, cause = it) }
                    .collect {
                        listener.storeAnswered(true, null)
                        onChanges(it)
                        delay(pause)
                    }
            } else {
                delay(settings.storePause)
            }
        }
    }

    private fun configRead(read: ReadResult.Values) = read.values
        .filter { it.key == format.configKey }
        .forEach { config(it.value, it.revision) }

    private fun configChanged(changes: List<StoreChange>) =
        changes.filter { it.key == format.configKey }
            .forEach { change -> change.value?.let { config(it, change.revision) } }

    private fun config(text: String, revision: Long) {
        when (val decoded = format.config(text)) {
            is Decoded.Value -> listener.config(decoded.value, revision)

            is Decoded.Invalid -> log(
                LogEvent.CONFIG_INVALID,
                "key" to format.configKey,
                "revision" to revision,
                "reason" to decoded.reason
            )
        }
    }

    private fun endpointsRead(read: ReadResult.Values) =
        listener.endpointsListed(read.values.mapNotNull { decode(it.key, it.value, it.revision) })

    private fun endpointsChanged(changes: List<StoreChange>) {
        for (change in changes) {
            val id = endpointId(change.key)
            val text = change.value
            if (text == null) {
                listener.endpointRemoved(id)
            } else {
                decode(change.key, text, change.revision)?.let { listener.endpointChanged(it) }
                    ?: listener.endpointUnreadable(id)
            }
        }
    }

    private fun endpointId(key: String) = EndpointId(key.removePrefix(format.endpointPrefix))

    private fun decode(key: String, text: String, revision: Long): ListedEndpoint? =
        when (val decoded = format.endpoint(endpointId(key), text)) {
            is Decoded.Value -> {
                unreadable -= key
                decoded.value
            }

            is Decoded.Invalid -> {
                // Once for each entry; it is read again after every outage.
                if (unreadable.size < MAX_UNREADABLE && unreadable.add(key)) {
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

    private fun crashesRead(read: ReadResult.Values) = read.values.forEach { crash(it.key) }

    private fun crashesChanged(changes: List<StoreChange>) =
        changes.filter { it.value != null }.forEach { crash(it.key) }

    private fun crash(key: String) {
        val name = key.removePrefix(CRASHES_PREFIX)
        val content = name.substringBefore('/').toULongOrNull(HEX) ?: return
        listener.crashRecorded(content.toLong(), name)
    }

    /** Records a crash under [content] for the other routers. */
    fun recordCrash(content: Long, router: String, number: Int) {
        val key = "$CRASHES_PREFIX${content.toULong().toString(HEX)}/$router/$number"
        scope.launch {
            val result = store.commit(listOf(ConditionalWrite(key, 0, number.toString())))
            log(LogEvent.CRASH_RECORDED, "content" to key, "result" to result)
        }
    }

    private companion object {
        const val CRASHES_PREFIX = "hemlockpond/crashes/"
        const val HEX = 16

        /** Bounds the memory of entries that were logged. */
        const val MAX_UNREADABLE = 1_000
    }
}
