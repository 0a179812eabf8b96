/*
 * Datagrams between entry hosts. Announcements and revisions of the store concern the hosts of one failure
 * domain; messages about tokens also go to other domains. Each carries one message in CBOR, after a
 * code that proves knowledge of the fleet's secret; a datagram without it changes nothing. Datagrams
 * may be lost, repeated and reordered; what they carry is made for that.
 */
package org.hemlockpond.router.entry

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import java.net.InetSocketAddress
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.entry.HostName
import org.hemlockpond.core.entry.StoreRevisions
import org.hemlockpond.core.entry.TokenMessage

/**
 * The content of one datagram.
 *
 * @property version the version of the protocol; a host ignores versions that it doesn't know
 * @property to the intended receiver, as an address may have been another host's before
 * @property message null announces the sender
 * @property revisions what the sender has seen in the store, if it watches the store for others
 * @property engines reports of engines, if the sender reads them for others
 */
@Serializable
internal data class PeerFrame(
    val host: HostName,
    val run: RouterId,
    val domain: FailureDomain,
    val to: HostName,
    val message: TokenMessage? = null,
    val revisions: StoreRevisions? = null,
    val version: Int = VERSION,
    val engines: EngineReportMessage? = null
) {
    companion object {
        const val VERSION = 1
    }
}

/** Seals frames with a code that only holders of [secret] can make, and opens sealed ones. */
@OptIn(ExperimentalSerializationApi::class)
internal class PeerSeal(secret: ByteArray) {
    private val mac = Mac.getInstance(ALGORITHM).apply { init(SecretKeySpec(secret, ALGORITHM)) }

    fun seal(frame: PeerFrame): ByteArray {
        val content = cbor.encodeToByteArray(PeerFrame.serializer(), frame)
        return code(content) + content
    }

    /** Returns the frame in [bytes]; null if they aren't sealed or can't be decoded. */
    fun open(bytes: ByteArray): PeerFrame? {
        if (bytes.size <= CODE_BYTES) return null
        val content = bytes.copyOfRange(CODE_BYTES, bytes.size)
        if (!MessageDigest.isEqual(code(content), bytes.copyOf(CODE_BYTES))) return null
        return try {
            cbor.decodeFromByteArray(PeerFrame.serializer(), content)
                .takeIf { it.version == PeerFrame.VERSION }
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }

    private fun code(content: ByteArray): ByteArray = mac.doFinal(content).copyOf(CODE_BYTES)

    private companion object {
        const val ALGORITHM = "HmacSHA256"
        const val CODE_BYTES = 16
        val cbor = Cbor { ignoreUnknownKeys = true }
    }
}

/** Receives the frames of other hosts; all calls are on the event loop. */
internal fun interface PeerListener {
    fun frameReceived(frame: PeerFrame)
}

/**
 * @param domain the failure domain of this host
 * @param address the address on which this host receives datagrams
 * @param group an event loop group with one thread
 */
internal class HostPeers(
    private val self: HostName,
    private val run: RouterId,
    private val domain: FailureDomain,
    private val address: InetSocketAddress,
    private val group: EventLoopGroup,
    private val listener: PeerListener
) {
    private val addresses = HashMap<HostName, InetSocketAddress>()

    /** The addresses of hosts of other failure domains. */
    private val remoteAddresses = HashMap<HostName, InetSocketAddress>()
    private lateinit var channel: Channel
    private var seal: PeerSeal? = null

    /** Datagrams received since the start that weren't sealed for this host. */
    var refused = 0L
        private set

    /** Datagrams sent since the start. */
    var sent = 0L
        private set

    /** Binds the address; blocks until it is bound. */
    fun start() {
        channel = Bootstrap()
            .group(group)
            .channel(NioDatagramChannel::class.java)
            .handler(
                object : SimpleChannelInboundHandler<DatagramPacket>() {
                    override fun channelRead0(
                        context: ChannelHandlerContext,
                        packet: DatagramPacket
                    ) = receive(packet)
                }
            )
            .bind(address).sync().channel()
    }

    /** Starts to exchange datagrams; before, nothing is sent and everything is refused. */
    fun secretKnown(secret: ByteArray) {
        seal = PeerSeal(secret)
    }

    /** Adds a host and announces this one to it. */
    fun hostFound(host: HostName, at: InetSocketAddress) {
        if (host == self) return
        addresses[host] = at
        send(host, message = null)
    }

    /** Adds a host of another failure domain and announces this one to it. */
    fun remoteHostFound(host: HostName, at: InetSocketAddress) {
        remoteAddresses[host] = at
        send(host, message = null)
    }

    /** Announces this host to all of other failure domains that are known. */
    fun announceToOthers() = remoteAddresses.keys.forEach { send(it, message = null) }

    /** Announces this host to all of its domain that are known. */
    fun announce() = addresses.keys.forEach { send(it, message = null) }

    /** Tells all hosts of the domain that are known what this one has seen in the store. */
    fun tell(revisions: StoreRevisions) =
        addresses.keys.forEach { send(it, message = null, revisions) }

    /** Tells all hosts that are known what engines have reported. */
    fun tell(engines: EngineReportMessage) =
        addresses.keys.forEach { send(it, message = null, engines = engines) }

    /** Sends [message] to [host] if its address is known. */
    fun send(
        host: HostName,
        message: TokenMessage?,
        revisions: StoreRevisions? = null,
        engines: EngineReportMessage? = null
    ) {
        val to = addresses[host] ?: remoteAddresses[host] ?: return
        val frame = PeerFrame(self, run, domain, host, message, revisions, engines = engines)
        val sealed = seal?.seal(frame) ?: return
        sent++
        channel.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(sealed), to))
    }

    private fun isForThisHost(frame: PeerFrame) = frame.to == self && frame.host != self

    private fun receive(packet: DatagramPacket) {
        val bytes = ByteArray(packet.content().readableBytes())
        packet.content().readBytes(bytes)
        val frame = seal?.open(bytes)?.takeIf(::isForThisHost)
        if (frame == null) {
            refused++
            return
        }
        if (frame.domain == domain) {
            addresses[frame.host] = packet.sender()
            listener.frameReceived(frame)
        } else {
            remoteAddresses[frame.host] = packet.sender()
            // Store watches and readers stay within a domain.
            listener.frameReceived(frame.copy(revisions = null, engines = null))
        }
    }
}
