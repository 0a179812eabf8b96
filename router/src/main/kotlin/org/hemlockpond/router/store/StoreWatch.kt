/*
 * Reads and watches the configuration and the move records while this router watches the store for
 * its failure domain. Until the watch stands, and while another router holds it, the configuration
 * comes from peers.
 */
package org.hemlockpond.router.store

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.configuration.ConfigEntry
import org.hemlockpond.core.configuration.ConfigState
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.log
import org.hemlockpond.store.EtcdStore
import org.hemlockpond.store.ReadResult
import org.hemlockpond.store.StoreChange

/** What the watch delivers; called on its own threads. */
internal interface WatchListener {
    /** All configuration entries at one revision of the store. */
    fun configRead(entries: List<ConfigEntry>, revision: Long)

    fun configChanged(entries: List<ConfigEntry>)

    /** A move record; [value] is null if it was deleted. */
    fun moveChanged(route: RouteId, value: String?, revision: Long)

    /** A host of the platform's list; [state] is null if it was removed from the list. */
    fun hostChanged(host: String, state: String?)

    fun storeAnswered(answered: Boolean)
}

internal class StoreWatch(
    private val client: EtcdStore,
    private val scope: CoroutineScope,
    private val listener: WatchListener
) {
    private var job: Job? = null

    /** Starts or stops watching; called on the control thread. */
    fun set(watch: Boolean) {
        if (!watch) {
            job?.cancel()
            job = null
        } else if (job == null) {
            log(LogEvent.WATCH_STARTED)
            job = scope.launch {
                launch { follow(ConfigState.PREFIX, ::readConfig, ::configChanges) }
                launch { follow(MOVES_PREFIX, ::readMoves, ::moveChanges) }
                launch { follow(HOSTS_PREFIX, ::readHosts, ::hostChanges) }
            }
        }
    }

    private suspend fun follow(
        prefix: String,
        onRead: (ReadResult.Values) -> Unit,
        onChanges: (List<StoreChange>) -> Unit
    ) = coroutineScope {
        while (isActive) {
            val read = client.readPrefix(prefix)
            listener.storeAnswered(read is ReadResult.Values)
            if (read is ReadResult.Values) {
                onRead(read)
                client.watch(prefix, read.revision + 1).collect { onChanges(it) }
                log(LogEvent.WATCH_ENDED, "prefix" to prefix)
            }
            delay(REOPEN)
        }
    }

    private fun readConfig(read: ReadResult.Values) = listener.configRead(
        read.values.map { ConfigEntry(it.key, it.value, it.revision) },
        read.revision
    )

    private fun configChanges(changes: List<StoreChange>) =
        listener.configChanged(changes.map { ConfigEntry(it.key, it.value, it.revision) })

    private fun readMoves(read: ReadResult.Values) =
        read.values.forEach { move(it.key, it.value, it.revision) }

    private fun readHosts(read: ReadResult.Values) = read.values.forEach { host(it.key, it.value) }

    private fun hostChanges(changes: List<StoreChange>) = changes.forEach { host(it.key, it.value) }

    private fun host(key: String, value: String?) =
        listener.hostChanged(key.removePrefix(HOSTS_PREFIX), value)

    private fun moveChanges(changes: List<StoreChange>) =
        changes.forEach { move(it.key, it.value, it.revision) }

    private fun move(key: String, value: String?, revision: Long) =
        listener.moveChanged(RouteId(key.removePrefix(MOVES_PREFIX)), value, revision)

    private companion object {
        const val MOVES_PREFIX = "hemlockpond/moves/"

        /** The platform's list of hosts, `live` or `leaving` by host address. */
        const val HOSTS_PREFIX = "platform/hosts/"
        val REOPEN = 500.milliseconds
    }
}
