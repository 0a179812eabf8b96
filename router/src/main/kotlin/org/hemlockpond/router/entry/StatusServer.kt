/*
 * A small HTTP server for a single page: the readiness probe or the metrics.
 */
package org.hemlockpond.router.entry

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress
import org.hemlockpond.router.listen

/** A page of a [StatusServer]. */
internal class StatusPage(val status: Int, val text: String)

internal class StatusServer(
    private val address: InetSocketAddress,
    private val group: EventLoopGroup,
    private val path: String,
    private val page: () -> StatusPage
) {
    fun start(): Channel = listen(address, group) { channel ->
        channel.pipeline().addLast(HttpServerCodec(), PageHandler())
    }

    private inner class PageHandler : SimpleChannelInboundHandler<HttpObject>() {
        override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
            if (message !is HttpRequest) return
            val found = message.uri().substringBefore('?') == path
            val answer = if (found) page() else StatusPage(HttpResponseStatus.NOT_FOUND.code(), "")
            val bytes = Unpooled.copiedBuffer(answer.text, Charsets.UTF_8)
            val status = HttpResponseStatus.valueOf(answer.status)
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes)
            response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                .set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes())
            val written = context.writeAndFlush(response)
            if (!HttpUtil.isKeepAlive(message)) written.addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("Netty's own deprecation of the handler method")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }
}
