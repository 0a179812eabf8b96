/*
 * Connections between routers over Ktor sockets. Each router dials every other one and sends on the
 * connections that it dialed; it receives on those that it accepted. Messages may be lost: the
 * components repeat what matters.
 */
package org.hemlockpond.router.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import java.net.ConnectException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.ExperimentalSerializationApi
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.membership.Member
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.log
import org.hemlockpond.settings.SocketAddress

/** What the network reports; called on its own threads. */
internal interface PeerListener {
    fun received(from: RouterId, message: PeerMessage)

    /** The process at [address] proved to be [router]. */
    fun answered(address: String, router: RouterId)

    /** The host at [address] refused a connection: no process listens there. */
    fun refused(address: String)
}

@OptIn(ExperimentalSerializationApi::class)
internal class PeerNetwork(
    self: Member,
    secret: ByteArray,
    private val listen: SocketAddress,
    private val listener: PeerListener
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selector = SelectorManager(Dispatchers.IO)
    private val handshake = Handshake(self, secret)
    private val links = ConcurrentHashMap<String, Link>()
    private val sent = AtomicLong()
    private lateinit var server: ServerSocket

    /** Bytes sent to peers since the start. */
    val sentBytes: Long get() = sent.get()

    /** One dialed address. */
    private class Link(val outbox: Channel<PeerMessage>) {
        @Volatile
        var peer: RouterId? = null
        var job: Job? = null
    }

    /** Binds the peer port, which this process holds until it exits. */
    suspend fun start() {
        server = aSocket(selector).tcp().bind(listen.host, listen.port)
        scope.launch {
            while (isActive) {
                val socket = server.accept()
                launch { serve(socket) }
            }
        }
    }

    /** Keeps a connection to [address] from now on. */
    fun connect(address: String) {
        links.computeIfAbsent(address) {
            val link = Link(Channel(OUTBOX_MESSAGES, BufferOverflow.DROP_OLDEST))
            link.job = scope.launch { dial(address, link) }
            link
        }
    }

    fun send(to: RouterId, message: PeerMessage) {
        links.values.firstOrNull { it.peer == to }?.outbox?.trySend(message)
    }

    fun broadcast(message: PeerMessage) {
        links.values.filter { it.peer != null }.forEach { it.outbox.trySend(message) }
    }

    override fun close() {
        scope.cancel()
        if (::server.isInitialized) server.close()
        selector.close()
    }

    private suspend fun serve(socket: Socket) {
        try {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel()
            val session = withTimeout(HANDSHAKE_TIMEOUT) { handshake.accept(input, output) }
            val frames = FrameReader(session.key, input)
            while (true) {
                val message =
                    PeerCbor.decodeFromByteArray(PeerMessage.serializer(), frames.read())
                listener.received(session.peer.router, message)
            }
        } catch (e: PeerProtocolException) {
            log(LogEvent.PEER_REFUSED, "peer" to socket.remoteAddress, "reason" to e.message)
        } catch (e: IllegalArgumentException) {
            log(LogEvent.PEER_FRAME_REFUSED, "peer" to socket.remoteAddress, "reason" to e.message)
        } catch (e: CancellationException) {
            if (!scope.isActive) throw e
        } catch (_: Exception) {
            // The connection ended; the peer dials again.
        } finally {
            socket.close()
        }
    }

    private suspend fun dial(address: String, link: Link) {
        var lastFailure: String? = null
        while (scope.isActive) {
            try {
                converse(address, link)
                lastFailure = null
            } catch (e: CancellationException) {
                if (!scope.isActive) throw e
            } catch (e: ConnectException) {
                if (e.message?.contains("refused", ignoreCase = true) == true) {
                    listener.refused(address)
                }
                lastFailure = reportOnce(address, e, lastFailure)
            } catch (e: Exception) {
                lastFailure = reportOnce(address, e, lastFailure)
            } finally {
                link.peer = null
            }
            delay(REDIAL)
        }
    }

    private fun reportOnce(address: String, cause: Exception, last: String?): String {
        val reason = cause.message ?: cause.javaClass.simpleName
        if (reason != last) {
            log(LogEvent.PEER_UNREACHABLE, "address" to address, "reason" to reason)
        }
        return reason
    }

    private suspend fun converse(address: String, link: Link) {
        val target = requireNotNull(SocketAddress.parse(address)) { "bad peer address $address" }
        val socket = withTimeout(HANDSHAKE_TIMEOUT) {
            aSocket(selector).tcp().connect(target.host, target.port)
        }
        socket.use {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel()
            val session = withTimeout(HANDSHAKE_TIMEOUT) { handshake.dial(input, output) }
            // Messages that waited for another incarnation are dropped with its queue.
            while (link.outbox.tryReceive().isSuccess) Unit
            link.peer = session.peer.router
            listener.answered(address, session.peer.router)
            log(LogEvent.PEER_CONNECTED, "address" to address, "router" to session.peer.router)
            val frames = FrameWriter(session.key, output)
            for (message in link.outbox) {
                val content = PeerCbor.encodeToByteArray(PeerMessage.serializer(), message)
                sent.addAndGet(frames.write(content).toLong())
            }
        }
    }

    private companion object {
        val HANDSHAKE_TIMEOUT = 2.seconds
        val REDIAL = 250.milliseconds
        const val OUTBOX_MESSAGES = 4_096
    }
}
