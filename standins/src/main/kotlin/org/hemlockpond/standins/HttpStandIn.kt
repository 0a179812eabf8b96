/*
 * The HTTP server that all stand-ins share.
 */
package org.hemlockpond.standins

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** One request to a stand-in, and the means to answer it. */
internal class Exchange(private val context: ChannelHandlerContext, request: FullHttpRequest) {
    val method: String = request.method().name()
    val path: String = request.uri().substringBefore('?')
    val body: String = request.content().toString(Charsets.UTF_8)
    private val headers = request.headers().copy()
    private val keepAlive = HttpUtil.isKeepAlive(request)
    val channel: Channel get() = context.channel()

    fun header(name: String): String? = headers[name]

    fun answer(status: Int, json: String) {
        val bytes = Unpooled.copiedBuffer(json, Charsets.UTF_8)
        val code = HttpResponseStatus.valueOf(status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, code, bytes)
        response.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            .set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes())
        val written = context.writeAndFlush(response)
        if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
    }

    fun startStream(contentType: String) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        HttpUtil.setTransferEncodingChunked(response, true)
        context.writeAndFlush(response)
    }

    fun send(text: String) {
        context.writeAndFlush(DefaultHttpContent(Unpooled.copiedBuffer(text, Charsets.UTF_8)))
    }

    fun endStream() {
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    fun close() {
        context.close()
    }

    fun schedule(delayMillis: Long, task: () -> Unit) {
        context.executor().schedule(task, delayMillis, TimeUnit.MILLISECONDS)
    }
}

/** An HTTP server on loopback whose requests go to [handler]. */
internal class HttpStandIn(port: Int, private val handler: (Exchange) -> Unit) : AutoCloseable {
    private val group: EventLoopGroup =
        MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val channel: Channel = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .childHandler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(
                        HttpServerCodec(),
                        HttpObjectAggregator(MAX_BODY_BYTES),
                        RequestHandler()
                    )
                }
            }
        )
        .bind(InetSocketAddress("127.0.0.1", port))
        .sync()
        .channel()

    val port: Int = (channel.localAddress() as InetSocketAddress).port

    /** Waits until the server is closed. */
    fun join() {
        channel.closeFuture().sync()
    }

    override fun close() {
        channel.close().sync()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private inner class RequestHandler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            handler(Exchange(context, request))
        }

        @Deprecated("Netty's own deprecation of the handler method")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val MAX_BODY_BYTES = 16 * 1024 * 1024
    }
}
