/*
 * The HTTP listener for callers. Every input is bounded: connections, header and body size, and the
 * time in which a request must arrive.
 */
package org.hemlockpond.router.caller

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.ssl.SslContext
import java.net.InetSocketAddress
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.router.callerOptions
import org.hemlockpond.router.listen
import org.hemlockpond.settings.LimitSettings

/** Accepts callers on one address. */
internal class CallerServer(
    private val address: InetSocketAddress,
    private val group: EventLoopGroup,
    private val limits: LimitSettings,
    private val tls: SslContext?,
    private val service: CallerService
) {
    private var connections = 0
    private lateinit var channel: Channel

    /** Binds the address and returns the port. */
    fun start(): Int {
        channel = listen(
            address,
            group,
            options = {
                callerOptions(SEND_BUFFER_BYTES)
                // Data for a slow reader waits in the stream window, not in the kernel.
                childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            },
            accept = ::configure
        )
        return (channel.localAddress() as InetSocketAddress).port
    }

    /** Stops accepting; open connections go on. */
    fun stopAccepting() {
        channel.close().sync()
    }

    private fun configure(channel: SocketChannel) {
        if (connections >= limits.connections) {
            channel.close()
            return
        }
        connections++
        channel.closeFuture().addListener { connections-- }
        val pipeline = channel.pipeline()
        tls?.let { pipeline.addLast(it.newHandler(channel.alloc())) }
        val decoder = HttpDecoderConfig()
            .setMaxInitialLineLength(limits.headerBytes.toInt())
            .setMaxHeaderSize(limits.headerBytes.toInt())
        pipeline.addLast(
            HttpServerCodec(decoder),
            BodyAggregator(limits.bodyBytes.toInt()),
            CallerHandler(service, limits.sendTimeout),
            LastHandler()
        )
    }

    /** Collects a request's body; a larger one gets the error of the closed list. */
    private class BodyAggregator(maxBytes: Int) : HttpObjectAggregator(maxBytes, true) {
        override fun handleOversizedMessage(context: ChannelHandlerContext, message: HttpMessage) {
            writeError(context.channel(), ErrorKind.REQUEST_TOO_LARGE, null, null)
            context.close()
        }
    }

    /** Connection resets are the caller's own matter. */
    private class LastHandler : ChannelInboundHandlerAdapter() {
        @Deprecated("Netty's own deprecation of the handler method")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val SEND_BUFFER_BYTES = 32 * 1024
    }
}
