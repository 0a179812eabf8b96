/*
 * Registers this host in the store, so that hosts find each other. Each host
 * writes its entry before it reads those of the others, and announces itself to the hosts that it
 * finds: of two hosts, the one that wrote last finds the other. A start costs four calls.
 */
package org.hemlockpond.router.entry

import io.netty.util.NetUtil
import java.net.InetSocketAddress
import java.security.SecureRandom
import java.util.Base64
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.entry.HostName
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.encodeRecord
import org.hemlockpond.router.log
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.KeyValueStore
import org.hemlockpond.store.ScanResult
import org.hemlockpond.store.WriteResult

/**
 * The entry of one host.
 *
 * @property address where it receives datagrams
 * @property writtenMillis when it was written, in Unix milliseconds
 */
@Serializable
internal data class StoredHost(
    val domain: FailureDomain,
    val address: String,
    val port: Int,
    val writtenMillis: Long
)

/** The other hosts with their addresses: those of this host's failure domain, and those of others. */
internal class FoundHosts {
    val ofDomain = HashMap<HostName, InetSocketAddress>()
    val others = HashMap<HostName, Pair<FailureDomain, InetSocketAddress>>()
}

internal class HostRegistry(
    private val self: HostName,
    private val domain: FailureDomain,
    private val address: InetSocketAddress,
    private val store: KeyValueStore,
    private val parts: PartSupervisor,
    private val settings: EntryRouterSettings,
    private val machine: MachineClock,
    private val peers: HostPeers,
    private val skipped: SkippedEntries = SkippedEntries()
) {
    /** The number of store calls since the start. */
    var storeCalls = 0L
        private set

    private val returns = Channel<Unit>(Channel.CONFLATED)

    /** The secret as it was last stored; made at the start. */
    private var secret = ByteArray(SECRET_BYTES).also { SecureRandom().nextBytes(it) }

    /** Whether the hosts were found once. */
    private var isDone = false

    /** Registers the host, tells [peers] the fleet's secret and its hosts, and calls [done] once. */
    fun start(done: (Set<HostName>, Map<HostName, FailureDomain>) -> Unit) {
        parts.keep("host registry") { caughtUp ->
            peers.secretKnown(retried { secret() })
            retried { if (register()) true else null }
            val hosts = retried { otherHosts() }
            hosts.ofDomain.forEach { (host, at) -> peers.hostFound(host, at) }
            hosts.others.forEach { (host, found) -> peers.remoteHostFound(host, found.second) }
            log(
                LogEvent.HOST_REGISTERED,
                "host" to self,
                "peers" to hosts.ofDomain.keys.joinToString(),
                "others" to hosts.others.size
            )
            if (!isDone) {
                done(hosts.ofDomain.keys, hosts.others.mapValues { it.value.first })
                isDone = true
            }
            caughtUp()
            while (true) {
                val hasReturned =
                    withTimeoutOrNull(REFRESH_INTERVAL) { returns.receive() } != null
                if (hasReturned) peers.secretKnown(retried { secret() })
                retried { if (register()) true else null }
            }
        }
    }

    /** The store has returned from an older copy, which may lack the secret and this host's entry. */
    fun storeReturned() {
        returns.trySend(Unit)
    }

    private suspend fun <T : Any> retried(call: suspend () -> T?): T {
        val retry = StoreRetry(settings.storeRetryDelay)
        while (true) {
            call()?.let { return it }
            delay(retry.next())
        }
    }

    /** Returns the fleet's secret, which the first host makes. */
    private suspend fun secret(): ByteArray? {
        val text = Base64.getEncoder().encodeToString(secret)
        val stored = when (val result = commit(ConditionalWrite(SECRET_KEY, 0, text))) {
            is WriteResult.Applied -> text
            is WriteResult.Conflict -> result.current.firstOrNull()?.value
            is WriteResult.NotSent, is WriteResult.Unknown -> null
        } ?: return null
        return try {
            Base64.getDecoder().decode(stored).also { secret = it }
        } catch (_: IllegalArgumentException) {
            log(LogEvent.RECORD_INVALID, "key" to SECRET_KEY, "reason" to "not base64")
            null
        }
    }

    private suspend fun register(): Boolean {
        val first = commit(write(0))
        val known = (first as? WriteResult.Conflict)?.current?.firstOrNull()
            ?: return first is WriteResult.Applied
        return commit(write(known.revision)) is WriteResult.Applied
    }

    private fun write(revision: Long): ConditionalWrite {
        val entry =
            StoredHost(domain, address.address.hostAddress, address.port, machine.wallMillis())
        return ConditionalWrite(
            PREFIX + self.value,
            revision,
            encodeRecord(StoredHost.serializer(), entry)
        )
    }

    private suspend fun commit(write: ConditionalWrite): WriteResult {
        storeCalls++
        return store.commit(listOf(write))
    }

    /** Returns the other hosts; removes entries that weren't refreshed. */
    private suspend fun otherHosts(): FoundHosts? {
        storeCalls++
        val hosts = FoundHosts()
        val outdated = ArrayList<ConditionalWrite>()
        val kept = skipped.KeptEntries(PREFIX)
        val read = store.scanPrefix(PREFIX) { value ->
            val host = HostName(value.key.removePrefix(PREFIX))
            val entry = skipped.decode(StoredHost.serializer(), value) ?: return@scanPrefix
            val isOutdated =
                machine.wallMillis() - entry.writtenMillis > ENTRY_LIFETIME.inWholeMilliseconds
            if (!isOutdated && host == self) return@scanPrefix
            if (!kept.admits(value.key, value.revision, value.key.length)) return@scanPrefix
            if (isOutdated) {
                outdated += ConditionalWrite(value.key, value.revision, null)
            } else {
                val at = addressOf(entry) ?: return@scanPrefix
                if (entry.domain == domain) {
                    hosts.ofDomain[host] = at
                } else {
                    hosts.others[host] = entry.domain to at
                }
            }
        }
        if (read !is ScanResult.Complete) return null
        outdated.forEach { commit(it) }
        return hosts
    }

    /** An address that isn't numeric would be looked up by name on the event loop. */
    private fun addressOf(entry: StoredHost): InetSocketAddress? {
        val isValid = entry.port in PORTS && NetUtil.isValidIpV4Address(entry.address)
        return if (isValid) InetSocketAddress(entry.address, entry.port) else null
    }

    private companion object {
        const val PREFIX = "hemlockpond/hosts/"
        const val SECRET_KEY = "hemlockpond/peer-secret"
        const val SECRET_BYTES = 32
        val PORTS = 1..65_535

        /** Entries outlive a host by this time; it exceeds several refreshes and clock errors. */
        val ENTRY_LIFETIME = 24.hours
        val REFRESH_INTERVAL = 6.hours
    }
}
