/*
 * A pool of connections to endpoints. Idle connections are kept, because a new one may occupy a
 * slot at the endpoint. The most recently used one is reused first, so the others can expire.
 */
package org.hemlockpond.router.entry

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import java.net.ConnectException
import java.net.InetSocketAddress
import kotlin.time.Duration
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.RouterClock
import org.hemlockpond.router.log
import org.hemlockpond.store.ConnectionLossHandler

internal class EndpointConnectionPool(
    private val loop: EventLoop,
    private val dialect: EntryDialect,
    private val clock: RouterClock,
    private val settings: EntryRouterSettings
) {
    private class Idle(
        val connection: EndpointConnection,
        val idleSince: Duration,
        val expiresAt: Duration
    )

    private val idle = HashMap<InetSocketAddress, ArrayDeque<Idle>>()

    /** The number of connections opened since the start, including failed ones. */
    var openedConnections = 0L
        private set

    /** How often an endpoint sent bytes that belong to no answer to the current request. */
    var surplusCount = 0L
        private set

    /**
     * Passes [done] a connection to [address]: an idle one that was used within [maxIdle] and that
     * [mayUse] accepts, or a new one. If the endpoint can't be reached, [done] gets null and the cause.
     */
    fun acquire(
        address: InetSocketAddress,
        maxIdle: Duration,
        mayUse: (EndpointConnection) -> Boolean,
        done: (EndpointConnection?, Throwable?) -> Unit
    ) {
        val now = clock.now().elapsed
        val kept = idle[address]
        while (kept != null && kept.isNotEmpty()) {
            val last = kept.last()
            // All others have been idle for longer.
            if (last.connection.channel.isActive && now - last.idleSince > maxIdle) break
            kept.removeLast()
            val isUsable = last.connection.channel.isActive && now < last.expiresAt
            if (isUsable && mayUse(last.connection)) {
                done(last.connection, null)
                return
            }
            last.connection.channel.close()
        }
        open(address, done)
    }

    /**
     * Passes [done] whether an endpoint listens on [address]. A connection that shows it is kept for
     * later requests. No answer within the connect timeout counts as listening: only a refused
     * connection shows that the process has ended.
     */
    fun probe(address: InetSocketAddress, done: (Boolean) -> Unit) {
        open(address) { connection, cause ->
            if (connection != null) Owner(address).connectionIdle(connection, null)
            val isRefused = cause is ConnectException && cause !is ConnectTimeoutException
            done(!isRefused)
        }
    }

    private fun open(address: InetSocketAddress, done: (EndpointConnection?, Throwable?) -> Unit) {
        openedConnections++
        val decoder = AnswerDecoder()
        val connection = EndpointConnection(dialect, decoder, Owner(address))
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                settings.connectTimeout.inWholeMilliseconds.toInt()
            )
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                WriteBufferWaterMark(WRITE_BUFFER_BYTES / 2, WRITE_BUFFER_BYTES)
            )
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.pipeline().addLast(
                            ConnectionLossHandler { connection.awaitsEndOfOutput },
                            connection.ByteCounter(),
                            HttpRequestEncoder(),
                            decoder,
                            connection
                        )
                    }
                }
            )
            .connect(address)
            .addListener {
                if (it.isSuccess) {
                    done(connection, null)
                } else {
                    done(null, it.cause())
                }
            }
    }

    /** Closes expired idle connections. */
    fun tick() {
        val now = clock.now().elapsed
        for (list in idle.values) {
            while (list.isNotEmpty() && list.first().expiresAt <= now) {
                list.removeFirst().connection.channel.close()
            }
        }
    }

    /** Closes all idle connections to [address]. */
    fun closeIdle(address: InetSocketAddress) {
        idle.remove(address)?.forEach { it.connection.channel.close() }
    }

    private inner class Owner(private val address: InetSocketAddress) : EndpointConnection.Owner {
        override fun connectionIdle(connection: EndpointConnection, idleTimeout: Duration?) {
            val limit =
                idleTimeout?.let { it - settings.idleTimeoutMargin }
                    ?: settings.idleConnectionTimeout
            val now = clock.now().elapsed
            if (limit <= Duration.ZERO || !connection.channel.isActive) {
                connection.channel.close()
                return
            }
            val list = this@EndpointConnectionPool.idle.getOrPut(address) { ArrayDeque() }
            list.addLast(Idle(connection, now, now + limit))
        }

        override fun connectionClosed(connection: EndpointConnection) {
            this@EndpointConnectionPool.idle[address]?.removeIf { it.connection === connection }
        }

        override fun surplusReceived(surplus: Surplus) {
            surplusCount++
            log(
                LogEvent.ENDPOINT_SURPLUS,
                "address" to address,
                "place" to surplus.place.label,
                "request" to surplus.current,
                "named" to surplus.named,
                "bytes" to surplus.bytes
            )
        }
    }

    private companion object {
        /** High-water mark of the write buffer; requests are written in one piece regardless. */
        const val WRITE_BUFFER_BYTES = 64 * 1024
    }
}
