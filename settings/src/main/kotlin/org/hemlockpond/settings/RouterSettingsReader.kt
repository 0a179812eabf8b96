/*
 * Reads one router's settings file. The files that it names are resolved against its directory and
 * aren't opened here; RouterSecrets reads them.
 */
package org.hemlockpond.settings

import java.nio.file.InvalidPathException
import java.nio.file.Path
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.FailureDomain

private const val KIB = 1024L
private const val MIB = 1024L * KIB
private const val GIB = 1024L * MIB

/** The stream window needs room for several pieces of 1 KiB. */
private const val MIN_READER_WINDOW_BYTES = 8 * KIB

/** The project's target for the memory held for one slow reader. */
private const val MAX_READER_WINDOW_BYTES = 64 * KIB

/** Reads the router settings in [file], or every error in it. */
fun loadRouterSettings(file: Path): SettingsResult<RouterSettings> {
    val errors = mutableListOf<SettingsError>()
    val bytes = readBytes(file, file.toString(), errors)
    val node = bytes?.let { parseTree(file.toString(), it, errors) }
    val directory = file.toAbsolutePath().normalize().parent
    val value = node?.let { RouterSettingsReader(Decoder(file.toString(), errors), directory) }
        ?.read(node)
    return resultOf(value, errors)
}

private class RouterSettingsReader(private val decoder: Decoder, private val directory: Path) {
    fun read(node: Node): RouterSettings? = decoder.fields(node) { fields ->
        val router = fields.required("router", decoder::name)
        val domain = fields.required("domain", ::domain)
        val listen = fields.optional("listen", ListenSettings(), ::listen)
        val advertise = fields.nullable("advertise", decoder::address) ?: listen.peers
        val peers = fields.optional("peers", emptyList(), ::peers)
        val platform = fields.required("platform", ::platform)
        val peerSecretFile = fields.required("peerSecretFile", ::path)
        val operatorTokenFile = fields.required("operatorTokenFile", ::path)
        val tls = fields.nullable("tls", ::tls)
        val limits = fields.optional("limits", LimitSettings(), ::limits)
        val timing = fields.optional("timing", TimingSettings(), ::timing)
        val logLevel = fields.optional("logLevel", LogLevel.INFO) {
            decoder.word(it, LogLevel.entries)
        }
        checkAdvertise(fields, advertise)
        if (router == null || domain == null || platform == null) return@fields null
        if (peerSecretFile == null || operatorTokenFile == null) return@fields null
        val self = PeerSettings(router, domain, advertise)
        checkPeers(fields, peers, self)
        RouterSettings(
            router = router,
            domain = domain,
            advertise = advertise,
            platform = platform,
            peerSecretFile = peerSecretFile,
            operatorTokenFile = operatorTokenFile,
            listen = listen,
            peers = peers.map { it.second }.filter { it != self },
            tls = tls,
            limits = limits,
            timing = timing,
            logLevel = logLevel
        )
    }

    private fun domain(node: Node): FailureDomain? = decoder.name(node)?.let(::FailureDomain)

    private fun path(node: Node): Path? {
        val text = (node as? StringNode)?.value
        if (text.isNullOrBlank()) return decoder.fail(node, "the path of a file")
        return try {
            directory.resolve(text).normalize()
        } catch (_: InvalidPathException) {
            decoder.fail(node, "the path of a file")
        }
    }

    private fun listen(node: Node): ListenSettings? = decoder.fields(node) { fields ->
        val defaults = ListenSettings()
        val listen = ListenSettings(
            callers = fields.optional("callers", defaults.callers, decoder::address),
            operators = fields.optional("operators", defaults.operators, decoder::address),
            peers = fields.optional("peers", defaults.peers, decoder::address)
        )
        val addresses = listOf("callers", "operators", "peers")
            .mapNotNull { fields.find(it) }
            .mapNotNull { n -> (n as? StringNode)?.let { n to SocketAddress.parse(it.value) } }
        decoder.unique(addresses.filter { it.second != null }, "an address")
        listen
    }

    private fun checkAdvertise(fields: Fields, advertise: SocketAddress) {
        if (!advertise.isWildcard) return
        val at = fields.find("advertise")?.position ?: fields.node.position
        val expected = "the key \"advertise\" with an address that other routers can reach"
        decoder.fail(at, "the peer address $advertise", expected)
    }

    private fun peers(node: Node): List<Pair<Node, PeerSettings>>? = decoder.list(node) { item ->
        decoder.fields(item) { fields ->
            val name = fields.required("name", decoder::name)
            val domain = fields.required("domain", ::domain)
            val address = fields.required("address", decoder::address)
            if (name == null || domain == null || address == null) {
                null
            } else {
                fields.node to PeerSettings(name, domain, address)
            }
        }
    }

    /** A router may be in its own list, so that one list serves all hosts, but unchanged only. */
    private fun checkPeers(
        fields: Fields,
        peers: List<Pair<Node, PeerSettings>>,
        self: PeerSettings
    ) {
        decoder.uniqueStrings(fields.find("peers"), "name", "a name")
        decoder.uniqueStrings(fields.find("peers"), "address", "an address")
        for ((node, peer) in peers) {
            if (peer == self) continue
            if (peer.name == self.name || peer.address == self.address) {
                val own = "${self.name} in ${self.domain} at ${self.address}"
                decoder.fail(node, "this router as it is set up ($own) or another router", "$peer")
            }
        }
    }

    private fun platform(node: Node): PlatformSettings? = decoder.fields(node) { fields ->
        val stores = fields.required("stores") { list ->
            val addresses = decoder.list(list, decoder::address)
            decoder.uniqueStrings(list, null, "an address")
            if ((list as? ArrayNode)?.items?.isEmpty() == true) {
                decoder.fail(list, "at least one address", "an empty array")
            }
            addresses
        }
        val timeout = fields.optional("timeout", 2.seconds) {
            decoder.span(it, 10.milliseconds..1.minutes)
        }
        stores?.let { PlatformSettings(it, timeout) }
    }

    private fun tls(node: Node): TlsSettings? = decoder.fields(node) { fields ->
        val certificate = fields.required("certificateFile", ::path)
        val key = fields.required("keyFile", ::path)
        if (certificate == null || key == null) null else TlsSettings(certificate, key)
    }

    private fun limits(node: Node): LimitSettings? = decoder.fields(node) { fields ->
        val d = LimitSettings()
        val limits = LimitSettings(
            headerBytes = fields.optional("headerBytes", d.headerBytes) {
                decoder.size(it, KIB..MIB)
            },
            bodyBytes = fields.optional("bodyBytes", d.bodyBytes) {
                decoder.size(it, KIB..256 * MIB)
            },
            sendTimeout = fields.optional("sendTimeout", d.sendTimeout) {
                decoder.span(it, 1.seconds..1.hours)
            },
            connections = fields.optional("connections", d.connections) {
                decoder.int(it, 1..1_000_000)
            },
            streamsPerCustomer = fields.optional("streamsPerCustomer", d.streamsPerCustomer) {
                decoder.int(it, 1..1_000_000)
            },
            readerWindowBytes = fields.optional("readerWindowBytes", d.readerWindowBytes) {
                decoder.size(it, MIN_READER_WINDOW_BYTES..MAX_READER_WINDOW_BYTES)
            },
            totalReaderBytes = fields.optional("totalReaderBytes", d.totalReaderBytes) {
                decoder.size(it, KIB..16 * GIB)
            }
        )
        if (limits.readerWindowBytes > limits.totalReaderBytes) {
            val at = fields.find("totalReaderBytes") ?: fields.find("readerWindowBytes")
            val window = formatSize(limits.readerWindowBytes)
            decoder.fail(
                at ?: fields.node,
                "totalReaderBytes of at least one reader window ($window)",
                "a total of ${formatSize(limits.totalReaderBytes)}"
            )
        }
        limits
    }

    private fun timing(node: Node): TimingSettings? = decoder.fields(node) { fields ->
        val d = TimingSettings()
        val timing = TimingSettings(
            grantWait = fields.optional("grantWait", d.grantWait) {
                decoder.span(it, 0.milliseconds..10.seconds)
            },
            routerLease = fields.optional("routerLease", d.routerLease) {
                decoder.span(it, 10.seconds..7.days)
            },
            leaseMargin = fields.optional("leaseMargin", d.leaseMargin) {
                decoder.span(it, 1.seconds..1.hours)
            },
            retryWindow = fields.optional("retryWindow", d.retryWindow) {
                decoder.span(it, 1.seconds..1.days)
            },
            heartbeat = fields.optional("heartbeat", d.heartbeat) {
                decoder.span(it, 50.milliseconds..10.seconds)
            },
            drain = fields.optional("drain", d.drain) { decoder.span(it, 0.seconds..6.hours) },
            stalledReader = fields.optional("stalledReader", d.stalledReader) {
                decoder.span(it, 100.milliseconds..1.hours)
            }
        )
        if (timing.leaseMargin * 2 > timing.routerLease) {
            val at = fields.find("leaseMargin") ?: fields.find("routerLease")
            val half = formatSpan(timing.routerLease / 2)
            decoder.fail(
                at ?: fields.node,
                "a leaseMargin of at most half of routerLease ($half)",
                "a margin of ${formatSpan(timing.leaseMargin)}"
            )
        }
        timing
    }
}
