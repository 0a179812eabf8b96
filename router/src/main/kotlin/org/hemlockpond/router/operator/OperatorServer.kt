/*
 * The operators' HTTP port: the state of this router, behind a bearer token.
 */
package org.hemlockpond.router.operator

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.ssl.SslContext
import io.netty.handler.timeout.ReadTimeoutHandler
import java.net.InetSocketAddress
import java.security.MessageDigest
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.listen
import org.hemlockpond.router.log

/**
 * Serves `GET /operator/status`.
 *
 * @param status calls back with the state as JSON, from any thread
 */
internal class OperatorServer(
    private val address: InetSocketAddress,
    private val group: EventLoopGroup,
    private val token: String,
    private val tls: SslContext?,
    private val status: ((String) -> Unit) -> Unit
) {
    private lateinit var channel: Channel

    /** Binds the address and returns the port. */
    fun start(): Int {
        channel = listen(address, group) { accepted ->
            tls?.let { accepted.pipeline().addLast(it.newHandler(accepted.alloc())) }
            accepted.pipeline().addLast(
                ReadTimeoutHandler(READ_TIMEOUT_SECONDS),
                HttpServerCodec(),
                HttpObjectAggregator(MAX_BODY_BYTES),
                Handler()
            )
        }
        return (channel.localAddress() as InetSocketAddress).port
    }

    fun stop() {
        channel.close().sync()
    }

    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val path = request.uri().substringBefore('?')
            when {
                !authorized(request) -> {
                    log(LogEvent.OPERATOR_DENIED, "remote" to context.channel().remoteAddress())
                    answer(context, ErrorKind.UNAUTHENTICATED)
                }

                path == "/operator/status" && request.method().name() == "GET" ->
                    status { json -> write(context, HttpResponseStatus.OK, json) }

                else -> answer(context, ErrorKind.UNKNOWN_ROUTE)
            }
        }

        private fun authorized(request: FullHttpRequest): Boolean {
            val header = request.headers()[HttpHeaderNames.AUTHORIZATION].orEmpty()
            val expected = "Bearer $token"
            // Compared in constant time, so that the time doesn't tell how much was right.
            return MessageDigest.isEqual(header.toByteArray(), expected.toByteArray())
        }

        @Deprecated("Netty's own deprecation of the handler method")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private fun answer(context: ChannelHandlerContext, kind: ErrorKind) {
        val body = buildJsonObject {
            put("code", kind.code)
            put("message", kind.message)
        }
        write(context, HttpResponseStatus.valueOf(kind.status), body.toString())
    }

    private fun write(context: ChannelHandlerContext, status: HttpResponseStatus, json: String) {
        val bytes = Unpooled.copiedBuffer(json, Charsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes)
        response.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            .set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes())
            .set(HttpHeaderNames.CONNECTION, "close")
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    private companion object {
        const val READ_TIMEOUT_SECONDS = 10
        const val MAX_BODY_BYTES = 64 * 1024
    }
}
