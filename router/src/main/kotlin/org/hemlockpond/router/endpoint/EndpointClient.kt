/*
 * Runs attempts at endpoints: one HTTP/1.1 connection for each attempt, on the traffic thread. The
 * connection's end tells how the attempt ended; nothing that an endpoint says about its own health
 * is used here.
 */
package org.hemlockpond.router.endpoint

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.routing.AttemptId
import org.hemlockpond.core.routing.AttemptOutcome
import org.hemlockpond.router.AnswerRelay
import org.hemlockpond.router.CallerRequest
import org.hemlockpond.router.UpstreamCall
import org.hemlockpond.router.Usage
import org.hemlockpond.store.ConnectionLossHandler

/** Reports of attempts, called on the traffic thread. */
internal interface AttemptListener {
    /** The connection stands and the request is about to be written. */
    fun sending(attempt: AttemptId)

    /** The attempt ended. [request] is the id that the answer named, if it named one. */
    fun ended(attempt: AttemptId, request: RequestId, outcome: AttemptOutcome, usage: Usage?)
}

/** Opens connections to endpoints. */
internal class EndpointClient(
    private val group: EventLoopGroup,
    private val listener: AttemptListener
) {
    /** Starts an attempt; called on the traffic thread. */
    fun start(
        request: CallerRequest,
        relay: AnswerRelay,
        attempt: AttemptId,
        endpoint: EndpointConfig,
        priority: Int
    ) {
        val resumeFrom = relay.delivered
        val handler = AttemptHandler(request, relay, attempt, resumeFrom, listener)
        val connected = Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.AUTO_READ, false)
            // One piece for each read, so that a paused stream receives at most one more.
            .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(READ_BYTES))
            .option(ChannelOption.MAX_MESSAGES_PER_READ, 1)
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.pipeline()
                            .addLast(ConnectionLossHandler(), HttpClientCodec(), handler)
                    }
                }
            )
            .connect(InetSocketAddress(endpoint.host, endpoint.port))
        handler.channel = connected.channel()
        relay.attach(attempt, handler)
        connected.addListener {
            if (it.isSuccess) {
                send(handler, connected.channel(), endpoint, priority)
            } else {
                handler.finish(AttemptOutcome.NotSent, null)
            }
        }
    }

    private fun send(
        handler: AttemptHandler,
        channel: Channel,
        endpoint: EndpointConfig,
        priority: Int
    ) {
        // Marked before the first byte leaves, so that "not run" is never said of a sent request.
        handler.markSent()
        channel.writeAndFlush(message(handler, endpoint, priority)).addListener {
            if (!it.isSuccess) channel.close()
        }
    }

    private fun message(
        handler: AttemptHandler,
        endpoint: EndpointConfig,
        priority: Int
    ): FullHttpRequest {
        val request = handler.request
        val message = when (val call = request.upstream) {
            is UpstreamCall.Chat -> {
                val body = chatBody(call, handler.resumeFrom, priority)
                val bytes = Unpooled.copiedBuffer(body, Charsets.UTF_8)
                post("/v1/chat/completions", "application/json", bytes)
            }

            is UpstreamCall.Service -> {
                val bytes = Unpooled.wrappedBuffer(call.body)
                val method = HttpMethod.valueOf(call.call.method)
                DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, call.path, bytes).also {
                    call.contentType?.let { type ->
                        it.headers().set(HttpHeaderNames.CONTENT_TYPE, type)
                    }
                }
            }
        }
        message.headers()
            .set(HttpHeaderNames.HOST, "${endpoint.host}:${endpoint.port}")
            .set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes())
            .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            .set(REQUEST_ID, request.request.value)
            .set(ATTEMPT_ID, handler.attempt.value)
        return message
    }

    private fun post(path: String, type: String, bytes: ByteBuf) =
        DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path, bytes).also {
            it.headers().set(HttpHeaderNames.CONTENT_TYPE, type)
        }

    private fun chatBody(call: UpstreamCall.Chat, resumeFrom: Long, priority: Int): String {
        val fields = LinkedHashMap(call.body)
        // The engine must stop where the reservation ends.
        fields["max_tokens"] = JsonPrimitive(call.maxAnswerTokens)
        fields -= "max_completion_tokens"
        fields["stream"] = JsonPrimitive(true)
        if (resumeFrom > 0) fields["resume_from"] = JsonPrimitive(resumeFrom)
        if (priority != 0) fields["priority"] = JsonPrimitive(priority)
        return JsonObject(fields).toString()
    }

    companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val ATTEMPT_ID = "X-Attempt-Id"

        /** Matches the piece size that the stream window counts with. */
        const val READ_BYTES = 1024
        private const val CONNECT_TIMEOUT_MILLIS = 1_000
    }
}
