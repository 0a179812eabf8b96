/*
 * The settings of one router process. The class is immutable and has a default for every value that
 * doesn't depend on the host.
 */
package org.hemlockpond.settings

import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.FailureDomain

/**
 * A host and a port.
 *
 * @property host a host name or an IP address; an IPv6 address stands here without brackets
 */
data class SocketAddress(val host: String, val port: Int) {
    /** Whether the host stands for every interface, and so can't be connected to by others. */
    val isWildcard: Boolean get() = host == "0.0.0.0" || host == "::"

    override fun toString(): String = if (':' in host) "[$host]:$port" else "$host:$port"

    companion object {
        private val form = Regex("(?:\\[([0-9A-Fa-f:.%]+)]|([A-Za-z0-9._-]{1,253})):([0-9]{1,5})")

        /** Parses `host:port` or `[ipv6]:port` with a port from 1 to 65535; null if malformed. */
        fun parse(text: String): SocketAddress? {
            val (bracketed, plain, port) = form.matchEntire(text)?.destructured ?: return null
            val number = port.toInt().takeIf { it in 1..65_535 } ?: return null
            return SocketAddress(bracketed.ifEmpty { plain }, number)
        }
    }
}

/**
 * The settings of one router.
 *
 * @property router the host's name; each run of the process derives its own `RouterId` from it
 * @property domain the failure domain of the host
 * @property advertise the peer address under which other routers reach this one
 * @property peers the other routers known at start; the list never names this router
 * @property peerSecretFile a file with the secret that all routers share
 * @property operatorTokenFile a file with the bearer token of the operator port
 * @property tls the certificate of the caller and operator listeners; null serves plain HTTP
 */
data class RouterSettings(
    val router: String,
    val domain: FailureDomain,
    val advertise: SocketAddress,
    val platform: PlatformSettings,
    val peerSecretFile: Path,
    val operatorTokenFile: Path,
    val listen: ListenSettings = ListenSettings(),
    val peers: List<PeerSettings> = emptyList(),
    val tls: TlsSettings? = null,
    val limits: LimitSettings = LimitSettings(),
    val timing: TimingSettings = TimingSettings(),
    val logLevel: LogLevel = LogLevel.INFO
)

/** The addresses that the router binds. */
data class ListenSettings(
    val callers: SocketAddress = SocketAddress("0.0.0.0", 8080),
    val operators: SocketAddress = SocketAddress("127.0.0.1", 8081),
    val peers: SocketAddress = SocketAddress("0.0.0.0", 8082)
)

/** Another router that is known at start. */
data class PeerSettings(val name: String, val domain: FailureDomain, val address: SocketAddress)

/**
 * The platform store.
 *
 * @property stores the addresses of the store; any of them answers any request
 * @property timeout the time after which a request counts as unanswered
 */
data class PlatformSettings(val stores: List<SocketAddress>, val timeout: Duration = 2.seconds)

/** Files in PEM form. */
data class TlsSettings(val certificateFile: Path, val keyFile: Path)

/**
 * Bounds on what callers can make the router hold.
 *
 * @property headerBytes the request line and all headers of one request
 * @property bodyBytes the body of one request
 * @property sendTimeout the time in which a caller must send a whole request
 * @property connections open caller connections
 * @property streamsPerCustomer open answers of one customer at this router
 * @property readerWindowBytes the data held for one slow reader
 * @property totalReaderBytes the data held for all slow readers together
 */
data class LimitSettings(
    val headerBytes: Long = 16L * 1024,
    val bodyBytes: Long = 8L * 1024 * 1024,
    val sendTimeout: Duration = 30.seconds,
    val connections: Int = 8_192,
    val streamsPerCustomer: Int = 512,
    val readerWindowBytes: Long = 16L * 1024,
    val totalReaderBytes: Long = 64L * 1024 * 1024
)

/**
 * Time spans of the router's protocols.
 *
 * @property grantWait how long a request waits for a grant or a loan
 * @property routerLease the term of the router's store lease
 * @property leaseMargin how long before the end of the lease the router stops spending
 * @property retryWindow how long finished requests are remembered for retries
 * @property heartbeat the interval of heartbeats between routers
 * @property drain how long a graceful shutdown waits for open requests; a patient inspector's long
 *   review takes minutes, so the default is far above the usual answer
 * @property stalledReader how long a reader may stall before its stream is cancelled at the engine
 */
data class TimingSettings(
    val grantWait: Duration = 200.milliseconds,
    val routerLease: Duration = 6.hours,
    val leaseMargin: Duration = 1.minutes,
    val retryWindow: Duration = 10.minutes,
    val heartbeat: Duration = 500.milliseconds,
    val drain: Duration = 10.minutes,
    val stalledReader: Duration = 500.milliseconds
)

enum class LogLevel { ERROR, WARN, INFO, DEBUG, TRACE }
