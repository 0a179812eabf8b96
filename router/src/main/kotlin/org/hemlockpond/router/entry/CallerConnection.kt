/*
 * One caller's connection: assembles requests, passes them to the listener one at a time, each with the
 * answer that belongs to it, and writes the router's own answers.
 */
package org.hemlockpond.router.entry

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.util.Locale
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.DurationUnit
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestId

/** Receives the requests of a [CallerConnection]; all calls are on the event loop. */
internal interface CallerListener {
    /** Whether connections close after their current request. */
    val isClosing: Boolean

    /** Whether the event loop is so late that callers may have left meanwhile. */
    val isLoopLate: Boolean
    val maxBodyBytes: Int
    val bodies: RequestBodies

    /** How long a connection may stay open without a request. */
    val idleTimeout: Duration

    /** The maximum time from the first byte of a request to the end of its headers. */
    val headerTimeout: Duration

    /**
     * A request was read completely. The listener releases [body].
     *
     * @param arrival when the request's head was read
     */
    fun requestReceived(
        connection: CallerConnection,
        request: HttpRequest,
        body: ByteBuf,
        arrival: Duration
    )

    /** The connection was closed; the current request, if any, is cancelled. */
    fun connectionClosed(connection: CallerConnection)

    /** [CallerConnection.isWritable] has changed. */
    fun writabilityChanged(connection: CallerConnection)

    /** A request was refused before it was read completely. */
    fun requestMalformed(kind: ErrorKind, detail: String?)

    /** A part of an answer to [request] was not written, because its answer was further on. */
    fun answerRefused(request: RequestId?, part: String)

    /** There was no room for the body of [request], which is refused. */
    fun roomLacking(request: HttpRequest)

    fun now(): Duration
}

internal class CallerConnection(
    private val listener: CallerListener,
    private val headers: HeaderStartTracker
) : ChannelInboundHandlerAdapter() {
    /** @property body null if there was no room for it; the request is refused */
    private class Incoming(
        val request: HttpRequest,
        val body: RequestBody?,
        val headReadAt: Duration
    )

    lateinit var channel: Channel
        private set
    private var incoming: Incoming? = null
    private val pipelined = ArrayDeque<Incoming>()
    private var keepAlive = true
    private var currentAnswer: CallerAnswer? = null
    private var closing = false
    private var lastUsedAt = Duration.ZERO

    /** Whether the caller of [incoming] waits for leave to send the body. */
    private var isContinueDue = false

    private val isAnswering: Boolean get() = currentAnswer != null

    /** The answer to the current request. */
    val answer: CallerAnswer get() = checkNotNull(currentAnswer) { "no request is being answered" }

    /** The exchange of the current request; set by the listener. */
    var exchange: EntryExchange? = null

    val isWritable: Boolean get() = channel.isWritable

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
        lastUsedAt = listener.now()
    }

    override fun channelActive(context: ChannelHandlerContext) {
        scheduleIdleCheck()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (closing || message !is HttpObject) {
            ReferenceCountUtil.release(message)
            return
        }
        val failure = message.decoderResult().cause()
        if (failure != null) {
            ReferenceCountUtil.release(message)
            refuseMalformed(failure)
            return
        }
        if (message is HttpRequest) beginRequest(message)
        if (message is HttpContent) addContent(message)
    }

    private fun refuseMalformed(failure: Throwable) {
        val kind = when (failure) {
            is TooLongFrameException -> ErrorKind.REQUEST_TOO_LARGE
            else -> ErrorKind.MALFORMED_REQUEST
        }
        refuseAndClose(kind, failure.message)
    }

    private fun beginRequest(request: HttpRequest) {
        val length = HttpUtil.getContentLength(request, 0L)
        if (length > listener.maxBodyBytes) {
            refuseAndClose(ErrorKind.REQUEST_TOO_LARGE, "body of $length bytes")
            return
        }
        val body = listener.bodies.begin(length.toInt(), channel.alloc())
        if (body == null) {
            refuseForRoom(request)
            return
        }
        isContinueDue = HttpUtil.is100ContinueExpected(request)
        if (!isAnswering) writeContinue()
        incoming = Incoming(request, body, listener.now())
    }

    /**
     * Refuses a request whose body hasn't been read completely, and discards the rest of it. A connection
     * isn't closed meanwhile, since the close would reset it and the caller might lose the answer.
     */
    private fun refuseForRoom(request: HttpRequest) {
        listener.roomLacking(request)
        incoming = null
        isContinueDue = false
        if (!isAnswering) keepAlive = HttpUtil.isKeepAlive(request)
        when {
            // The refusal follows the answer before it, once the caller has sent the body.
            isAnswering -> incoming = Incoming(request, body = null, listener.now())

            // The caller may wait with the body, or send the next request in its place.
            HttpUtil.is100ContinueExpected(request) ->
                refuse(ErrorKind.NO_ROOM, listener.bodies.retryAfter, close = true)

            endsAfterAnswer -> incoming = Incoming(request, body = null, listener.now())

            else -> refuse(ErrorKind.NO_ROOM, listener.bodies.retryAfter)
        }
    }

    /** Writes the interim answer to [incoming], which must not stand within the answer to another. */
    private fun writeContinue() {
        if (!isContinueDue) return
        isContinueDue = false
        val interim = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.CONTINUE,
            Unpooled.EMPTY_BUFFER
        )
        channel.writeAndFlush(interim)
    }

    private fun addContent(content: HttpContent) {
        val current = incoming
        val body = current?.body
        try {
            when {
                body == null -> Unit

                body.readableBytes() + content.content().readableBytes() >
                    listener.maxBodyBytes -> {
                    val detail = "body over ${listener.maxBodyBytes} bytes"
                    refuseAndClose(ErrorKind.REQUEST_TOO_LARGE, detail)
                    return
                }

                !body.append(content.content()) -> {
                    body.release()
                    refuseForRoom(current.request)
                }
            }
        } finally {
            content.release()
        }
        if (content is LastHttpContent) incoming?.let { requestRead(it) }
    }

    private fun requestRead(current: Incoming) {
        incoming = null
        isContinueDue = false
        if (isAnswering) pipelined.addLast(current) else handle(current)
        // Stops reading from a caller that pipelines too many requests until one is answered.
        if (pipelined.size >= MAX_PIPELINED) channel.config().isAutoRead = false
    }

    private fun handle(next: Incoming) {
        currentAnswer = newAnswer()
        keepAlive = HttpUtil.isKeepAlive(next.request)
        val body = next.body
        if (body == null) {
            refuse(ErrorKind.NO_ROOM, listener.bodies.retryAfter)
            return
        }
        if (!listener.isLoopLate) {
            listener.requestReceived(this, next.request, body, next.headReadAt)
            return
        }
        channel.eventLoop().runAfterNextRead {
            if (channel.isActive) {
                listener.requestReceived(this, next.request, body, next.headReadAt)
            } else {
                body.release()
            }
        }
    }

    private fun newAnswer() = CallerAnswer(channel, listener::answerRefused)

    /** Whether the connection closes after the current answer. */
    val endsAfterAnswer: Boolean get() = !keepAlive || listener.isClosing

    /** Writes an error answer of the router; [close] closes the connection after it. */
    fun refuse(kind: ErrorKind, retryAfter: Duration?, close: Boolean = false) {
        val text = Unpooled.copiedBuffer("${kind.code}: ${kind.message}\n", Charsets.UTF_8)
        val status = HttpResponseStatus.valueOf(kind.status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text)
        response.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, "text/plain")
            .set(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes())
        if (retryAfter != null) {
            val seconds = retryAfter.toDouble(DurationUnit.SECONDS)
            response.headers()
                .set(HttpHeaderNames.RETRY_AFTER, "%.2f".format(Locale.ROOT, seconds))
        }
        val last = close || endsAfterAnswer
        if (last) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        // A request that is refused while it is being read has no answer yet.
        val current = currentAnswer ?: newAnswer().also { currentAnswer = it }
        val written = current.writeWhole(response)
        if (last) closing = true
        when {
            written == null -> abort()
            close -> written.addListener { closeAfterInput() }
            last -> written.addListener(ChannelFutureListener.CLOSE)
            else -> answerWritten()
        }
    }

    /**
     * Ends the output and discards what the caller still sends, for a limited time: a close with unread
     * bytes resets the connection, so that the caller may lose the answer.
     */
    private fun closeAfterInput() {
        val duplex = channel as? DuplexChannel
        if (duplex == null) {
            channel.close()
            return
        }
        duplex.shutdownOutput()
        val close = Runnable { channel.close() }
        channel.eventLoop().schedule(close, MAX_LINGER_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun refuseAndClose(kind: ErrorKind, detail: String?) {
        listener.requestMalformed(kind, detail)
        incoming?.body?.release()
        incoming = null
        // While another request is being answered, an error answer would be taken for its answer.
        if (isAnswering) close() else refuse(kind, retryAfter = null, close = true)
    }

    /**
     * Handles the end of the current answer: closes the connection or starts the next request. Without
     * an end, the connection is closed, so that the answer doesn't look complete.
     */
    fun answerWritten() {
        if (currentAnswer?.state != AnswerState.ENDED) {
            abort()
            return
        }
        exchange = null
        currentAnswer = null
        lastUsedAt = listener.now()
        if (closing || !channel.isActive) return
        if (endsAfterAnswer) {
            close()
            return
        }
        val next = pipelined.removeFirstOrNull()
        if (next == null) {
            writeContinue()
            return
        }
        channel.config().isAutoRead = true
        handle(next)
    }

    /** Closes the connection after all pending writes. */
    fun close() {
        closing = true
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
    }

    /** Closes the connection at once, so the current answer doesn't look complete to the caller. */
    fun abort() {
        closing = true
        currentAnswer?.abandon()
        channel.close()
    }

    /** Closes the connection if it has been without a request, or part of one, for [minIdle]. */
    fun closeIfIdle(minIdle: Duration) {
        val isIdle = !closing && !isAnswering && incoming == null &&
            headers.headersStartedAt == null
        if (isIdle && listener.now() - lastUsedAt >= minIdle) close()
    }

    private fun scheduleIdleCheck() {
        val shortest = minOf(listener.idleTimeout / 2, listener.headerTimeout)
        val wait = shortest.inWholeMilliseconds / CHECKS_PER_TIMEOUT
        channel.eventLoop().schedule({ checkIdle() }, wait, TimeUnit.MILLISECONDS)
    }

    private fun checkIdle() {
        if (!channel.isActive) return
        val now = listener.now()
        val since = incoming?.headReadAt
        when {
            isAnswering -> lastUsedAt = now

            headers.headersStartedAt?.let { now - it > listener.headerTimeout } == true ->
                refuseAndClose(ErrorKind.REQUEST_TIMEOUT, "the headers didn't arrive in time")

            since != null && now - since > listener.idleTimeout ->
                refuseAndClose(ErrorKind.REQUEST_TIMEOUT, "the body didn't arrive in time")

            since == null && now - lastUsedAt > listener.idleTimeout -> close()
        }
        scheduleIdleCheck()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        listener.writabilityChanged(this)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        closing = true
        incoming?.body?.release()
        incoming = null
        pipelined.forEach { it.body?.release() }
        pipelined.clear()
        listener.connectionClosed(this)
    }

    @Deprecated("Netty's own deprecation of the handler method")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        // Usually a connection reset by the caller; channelInactive does the cleanup.
        context.close()
    }

    private companion object {
        /** The number of pipelined requests at which reading from a connection is paused. */
        const val MAX_PIPELINED = 4

        /** How long a caller that was refused may go on sending its request. */
        const val MAX_LINGER_MILLIS = 1_000L

        /** Idle checks within the shortest timeout. */
        const val CHECKS_PER_TIMEOUT = 2
    }
}
