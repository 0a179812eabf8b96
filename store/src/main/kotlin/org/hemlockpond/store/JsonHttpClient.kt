/*
 * A small HTTP/1.1 client on Netty for JSON calls: one connection for each call or stream. Stores
 * are called a few times a second, so connections are not pooled, and a connection that has gone
 * silent never delays a later call.
 */
package org.hemlockpond.store

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPipeline
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.json.JsonObjectDecoder
import io.netty.handler.timeout.ReadTimeoutHandler
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.channels.awaitClose
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.callbackFlow
import kotlinx.coroutines.suspendCancellableCoroutine

/** The result of one HTTP call. */
sealed interface HttpResult {
    /** [header] is the value of the header that the call asked for; null without one. */
    data class Answer(val status: Int, val body: String, val header: String? = null) : HttpResult

    /** [sent] tells whether the server may have received the request. */
    data class Failed(val cause: String, val sent: Boolean) : HttpResult
}

/**
 * Sends JSON and reads JSON answers or streams of JSON objects.
 *
 * @param timeout how long a call may take unless it says otherwise
 * @param sharedGroup the event loops to run on; null for a loop of its own
 */
class JsonHttpClient(
    private val timeout: Duration,
    private val sharedGroup: EventLoopGroup? = null
) : AutoCloseable {
    private val group =
        sharedGroup ?: MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    suspend fun post(address: InetSocketAddress, path: String, body: String): HttpResult =
        call(address, HttpMethod.POST, path, body)

    /**
     * Makes one call.
     *
     * @param limit bounds connecting and each wait for bytes
     * @param maxBytes the size of the answer's body beyond which the call fails
     * @param header the name of a header of the answer that the result contains
     */
    suspend fun call(
        address: InetSocketAddress,
        method: HttpMethod,
        path: String,
        body: String = "",
        limit: Duration = timeout,
        maxBytes: Int = MAX_ANSWER_BYTES,
        header: String? = null
    ): HttpResult = suspendCancellableCoroutine { continuation ->
        val handler = AnswerHandler(continuation, header)
        val connected = bootstrap {
            addLast(ReadTimeoutHandler(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS))
            addLast(ConnectionLossHandler())
            addLast(HttpClientCodec())
            addLast(HttpObjectAggregator(maxBytes))
            addLast(handler)
        }.connect(address)
        connected.addListener {
            if (!it.isSuccess) {
                handler.finish(HttpResult.Failed(describe(it.cause()), sent = false))
            } else {
                handler.sent = true
                connected.channel().writeAndFlush(request(address, method, path, body))
            }
        }
        continuation.invokeOnCancellation { connected.channel().close() }
    }

    /** Emits each JSON object of the answer as text; ends when the connection does. */
    fun stream(address: InetSocketAddress, path: String, body: String): Flow<String> =
        callbackFlow {
            val connected = bootstrap {
                addLast(ConnectionLossHandler())
                addLast(HttpClientCodec())
                addLast(ContentHandler())
                addLast(JsonObjectDecoder(MAX_ANSWER_BYTES))
                addLast(
                    object : SimpleChannelInboundHandler<ByteBuf>() {
                        override fun channelRead0(context: ChannelHandlerContext, json: ByteBuf) {
                            // A reader that falls behind loses the stream, never a single object.
                            if (trySend(json.toString(Charsets.UTF_8)).isFailure) close()
                        }

                        override fun channelInactive(context: ChannelHandlerContext) {
                            close()
                        }

                        @Deprecated("Netty's own deprecation of the handler method")
                        override fun exceptionCaught(
                            context: ChannelHandlerContext,
                            cause: Throwable
                        ) {
                            close()
                            context.close()
                        }
                    }
                )
            }.connect(address)
            connected.addListener {
                if (it.isSuccess) {
                    val request = request(address, HttpMethod.POST, path, body)
                    connected.channel().writeAndFlush(request)
                } else {
                    close()
                }
            }
            awaitClose { connected.channel().close() }
        }

    override fun close() {
        if (sharedGroup == null) group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun bootstrap(handlers: ChannelPipeline.() -> Unit): Bootstrap = Bootstrap()
        .group(group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout.inWholeMilliseconds.toInt())
        .handler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = channel.pipeline().handlers()
            }
        )

    private fun request(
        address: InetSocketAddress,
        method: HttpMethod,
        path: String,
        body: String
    ): Any {
        val bytes = Unpooled.copiedBuffer(body, Charsets.UTF_8)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, bytes)
        request.headers().set(HttpHeaderNames.HOST, "${address.hostString}:${address.port}")
        if (method != HttpMethod.GET) {
            request.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes())
        }
        return request
    }

    private class AnswerHandler(
        private val continuation: CancellableContinuation<HttpResult>,
        private val header: String?
    ) : SimpleChannelInboundHandler<FullHttpResponse>() {
        @Volatile
        var sent = false
        private var finished = false

        override fun channelRead0(context: ChannelHandlerContext, answer: FullHttpResponse) {
            // The aggregator passes on a head or body that broke off as a short answer.
            val failure = answer.decoderResult().cause()
            val result = if (failure == null) {
                HttpResult.Answer(
                    answer.status().code(),
                    answer.content().toString(Charsets.UTF_8),
                    header?.let { answer.headers()[it] }
                )
            } else {
                HttpResult.Failed("unreadable answer: ${describe(failure)}", sent)
            }
            finish(result)
            context.close()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            finish(HttpResult.Failed("the connection was closed before the answer", sent))
        }

        @Deprecated("Netty's own deprecation of the handler method")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            finish(HttpResult.Failed(describe(cause), sent))
            context.close()
        }

        @Synchronized
        fun finish(result: HttpResult) {
            if (finished) return
            finished = true
            continuation.resume(result)
        }
    }

    /** Passes the body bytes on to the JSON splitter. */
    private class ContentHandler : SimpleChannelInboundHandler<HttpObject>() {
        override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
            if (message is HttpContent) context.fireChannelRead(message.content().retain())
            if (message is LastHttpContent) context.close()
        }
    }

    private companion object {
        const val MAX_ANSWER_BYTES = 64 * 1024 * 1024

        fun describe(cause: Throwable): String = cause.message ?: cause.javaClass.simpleName
    }
}
