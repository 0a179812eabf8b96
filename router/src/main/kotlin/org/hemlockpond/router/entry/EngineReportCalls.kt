/*
 * Calls engines for their reports, on one connection of its own for each engine, so that no call takes a
 * connection from a request. A connection whose answer is late, unreadable or too long is closed; the
 * next call opens another one.
 */
package org.hemlockpond.router.entry

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import org.hemlockpond.core.entry.EndpointProcess
import org.hemlockpond.core.entry.EngineReport
import org.hemlockpond.core.entry.ListedEndpoint

/** Calls engines; all functions are called on the event loop. */
internal interface EngineCaller {
    /** Calls [engine] and passes [done] its report; null if there is none within the time limit. */
    fun call(engine: ListedEndpoint, done: (EngineReport?) -> Unit)

    /** Closes the connections to engines that aren't in [engines]. */
    fun retain(engines: Set<EndpointProcess>)
}

/** @param timeout the limit for a call, with the connection */
internal class EngineReportCalls(
    private val loop: EventLoop,
    private val format: EngineReportFormat,
    private val timeout: Duration
) : EngineCaller {
    private val connections = HashMap<EndpointProcess, Connection>()

    override fun call(engine: ListedEndpoint, done: (EngineReport?) -> Unit) {
        val known = connections[engine.process]
        if (known != null && known.channel.isActive) {
            known.call(done)
            return
        }
        val connection = Connection(engine)
        connections[engine.process] = connection
        val connected = bootstrap(connection).connect(engine.host, engine.port)
        connection.channel = connected.channel()
        connected.addListener { if (it.isSuccess) connection.call(done) else done(null) }
    }

    override fun retain(engines: Set<EndpointProcess>) {
        val gone = connections.keys - engines
        gone.forEach { connections.remove(it)?.channel?.close() }
    }

    private fun bootstrap(connection: Connection) = Bootstrap()
        .group(loop)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout.inWholeMilliseconds.toInt())
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline()
                        .addLast(HttpClientCodec(), HttpObjectAggregator(MAX_REPORT_BYTES))
                        .addLast(connection)
                }
            }
        )

    private inner class Connection(private val engine: ListedEndpoint) :
        SimpleChannelInboundHandler<FullHttpResponse>() {
        lateinit var channel: Channel
        private var waiting: ((EngineReport?) -> Unit)? = null
        private var callCount = 0

        fun call(done: (EngineReport?) -> Unit) {
            waiting = done
            val number = ++callCount
            val request = DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.GET,
                format.path,
                Unpooled.EMPTY_BUFFER
            )
            val address = InetSocketAddress.createUnresolved(engine.host, engine.port)
            request.headers()
                .set(HttpHeaderNames.HOST, "${address.hostString}:${address.port}")
            format.addHeaders(request.headers(), engine.id)
            channel.writeAndFlush(request)
            loop.schedule(
                { if (waiting != null && number == callCount) fail() },
                timeout.inWholeMilliseconds,
                TimeUnit.MILLISECONDS
            )
        }

        override fun channelRead0(context: ChannelHandlerContext, answer: FullHttpResponse) {
            val isWhole = answer.decoderResult().isSuccess
            val decoded = if (isWhole && answer.status() == HttpResponseStatus.OK) {
                format.parse(answer.content().toString(Charsets.UTF_8))
            } else {
                null
            }
            // Bytes without a call would be taken for the answer to the next one.
            val isReusable = isWhole && HttpUtil.isKeepAlive(answer) && waiting != null
            if (!isReusable) context.close()
            finish((decoded as? Decoded.Value)?.value)
        }

        private fun finish(report: EngineReport?) {
            val done = waiting ?: return
            waiting = null
            done(report)
        }

        private fun fail() {
            channel.close()
            finish(null)
        }

        override fun channelInactive(context: ChannelHandlerContext) = finish(null)

        @Deprecated("Netty's own deprecation of the handler method")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = fail()
    }

    private companion object {
        /** A report names each request with a slot; several times the size for a hundred of them. */
        const val MAX_REPORT_BYTES = 64 * 1024
    }
}
