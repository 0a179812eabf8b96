/*
 * One connection to an endpoint, which carries one request at a time. Answers to other requests are
 * skipped, and a connection that received unexpected data isn't reused. Such data may end within a
 * message: HTTP has no mark that would show where the next one begins, so a part of an earlier answer and
 * the answer after it can form a third one, with the status of the first and the id of the second. The number of bytes that are
 * read without being part of an answer is limited, because a faulty endpoint may send without end.
 */
package org.hemlockpond.router.entry

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import org.hemlockpond.core.RequestId

/** Receives what an endpoint sends for one request. Nothing follows [ended] or [broken]. */
internal interface AnswerSink {
    /** The endpoint said something of itself, with this answer or one to another request. */
    fun endpointStated(answer: AnswerHead)

    fun head(response: HttpResponse, answer: AnswerHead)

    /** The sink releases [bytes]. */
    fun content(bytes: ByteBuf)

    /** @param isDelimited whether a length or the last chunk showed the end of the answer */
    fun ended(isDelimited: Boolean)

    /**
     * The answer ended before it was complete.
     *
     * @param connectionLost whether the endpoint ended the connection
     */
    fun broken(cause: String, connectionLost: Boolean)
}

/** Where an endpoint sent bytes that belong to no answer to the current request. */
internal enum class SurplusPlace(val label: String) {
    BETWEEN_REQUESTS("between requests"),
    AFTER_ANSWER("after an answer"),
    OTHER_ANSWER("an answer to another request"),
    UNREADABLE("unreadable")
}

/**
 * Bytes from an endpoint that belong to no answer to the current request.
 *
 * @property current the request that waits for its answer, or whose answer has just ended; null
 *   between requests
 * @property named the request that the bytes name, if they are an answer to another one
 * @property bytes their number as far as it is known
 */
internal data class Surplus(
    val place: SurplusPlace,
    val current: RequestId?,
    val named: RequestId? = null,
    val bytes: Int? = null
)

internal class EndpointConnection(
    private val dialect: EntryDialect,
    private val decoder: AnswerDecoder,
    private val owner: Owner
) : ChannelInboundHandlerAdapter() {
    interface Owner {
        /**
         * The connection can be reused. The endpoint keeps it open for [idleTimeout], or for an
         * unknown time if null.
         */
        fun connectionIdle(connection: EndpointConnection, idleTimeout: Duration?)

        fun connectionClosed(connection: EndpointConnection)

        fun surplusReceived(surplus: Surplus)
    }

    private class Exchange(val id: RequestId, val sink: AnswerSink) {
        var answerStarted = false
        var lengthKnown = false

        /** Bytes received before the head of the answer, or discarded after it. */
        var surplusBytes = 0
    }

    /**
     * Reads the rest of a refused answer, so that the connection can be reused. The attempt has
     * already ended.
     */
    private object DiscardedAnswer : AnswerSink {
        override fun endpointStated(answer: AnswerHead) = Unit

        override fun head(response: HttpResponse, answer: AnswerHead) = Unit

        override fun content(bytes: ByteBuf) {
            bytes.release()
        }

        override fun ended(isDelimited: Boolean) = Unit

        override fun broken(cause: String, connectionLost: Boolean) = Unit
    }

    /**
     * Passes bytes to the HTTP codec and counts them. It stands before the codec, which skips line
     * breaks before a status line without a message.
     */
    inner class ByteCounter : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            val count = (message as? ByteBuf)?.readableBytes() ?: 0
            if (exchange == null) {
                // Bytes between two requests belong to no answer.
                ReferenceCountUtil.release(message)
                owner.surplusReceived(
                    Surplus(SurplusPlace.BETWEEN_REQUESTS, current = null, bytes = count)
                )
                reusable = false
                channel.close()
                return
            }
            val current = exchange
            context.fireChannelRead(message)
            if (current != null && current === exchange && !current.answerStarted) {
                addSurplus(current, count)
            }
        }
    }

    lateinit var channel: Channel
        private set
    private var exchange: Exchange? = null
    private var skipping = false

    /** Whether the current answer ends with the endpoint's output. */
    val awaitsEndOfOutput: Boolean
        get() = exchange?.let { it.answerStarted && !it.lengthKnown } ?: false

    /** The number of answers to other requests so far. */
    private var skippedAnswers = 0
    private var reusable = true
    private var requestWritten = false

    /** Why the current request couldn't be written. */
    private var writeFailure: Throwable? = null

    /** Whether an earlier request was sent on this connection. */
    private var isUsed = false
    private var idleTimeout: Duration? = null

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    fun send(id: RequestId, request: FullHttpRequest, sink: AnswerSink) {
        exchange = Exchange(id, sink)
        requestWritten = false
        writeFailure = null
        reusable = true
        decoder.method = request.method()
        channel.writeAndFlush(request).addListener {
            requestWritten = it.isSuccess
            writeFailure = it.cause()
            // The answer can be complete before a large request has been written.
            if (it.isSuccess && exchange == null &&
                reusable
            ) {
                owner.connectionIdle(this, idleTimeout)
            }
        }
    }

    /**
     * Ends the sink's interest in the current answer. The rest is discarded; if it is short, the
     * connection can be reused.
     */
    fun discardAnswer() {
        val current = exchange ?: return
        val rest = Exchange(current.id, DiscardedAnswer)
        rest.answerStarted = current.answerStarted
        rest.lengthKnown = current.lengthKnown
        exchange = rest
        channel.eventLoop().schedule(
            { if (exchange === rest) cancel() },
            MAX_DISCARD_MILLIS,
            TimeUnit.MILLISECONDS
        )
    }

    private fun addSurplus(current: Exchange, count: Int) {
        current.surplusBytes += count
        if (current.surplusBytes > MAX_SURPLUS_BYTES) {
            fail("over $MAX_SURPLUS_BYTES bytes that belong to no answer", connectionLost = false)
        }
    }

    /** Cancels the current request by closing the connection, which stops work at the endpoint. */
    fun cancel() {
        exchange = null
        reusable = false
        channel.close()
    }

    fun setPaused(paused: Boolean) {
        channel.config().isAutoRead = !paused
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject) {
            ReferenceCountUtil.release(message)
            return
        }
        val current = exchange
        when {
            message.decoderResult().isFailure -> {
                ReferenceCountUtil.release(message)
                // The codec reports a connection that ends within a head as an unreadable head.
                val cause = message.decoderResult().cause()
                val connectionLost = cause is PrematureChannelClosureException
                if (!connectionLost) {
                    owner.surplusReceived(Surplus(SurplusPlace.UNREADABLE, current?.id))
                }
                fail("unreadable answer", connectionLost)
            }

            current == null -> {
                // Data without a current request is unexpected.
                ReferenceCountUtil.release(message)
                if (channel.isActive) {
                    owner.surplusReceived(Surplus(SurplusPlace.BETWEEN_REQUESTS, current = null))
                }
                reusable = false
                channel.close()
            }

            else -> {
                if (message is HttpResponse) headRead(current, message)
                if (message is HttpContent) contentRead(current, message)
            }
        }
    }

    private fun headRead(current: Exchange, response: HttpResponse) {
        if (response.holdsStatusLine) {
            owner.surplusReceived(Surplus(SurplusPlace.UNREADABLE, current.id))
            fail("parts of two answers in one head", connectionLost = false)
            return
        }
        val interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        val answer = dialect.parseAnswerHead(response)
        val foreign = answer.requestId != null && answer.requestId != current.id
        skipping = interim || foreign
        if (response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) {
            fail("another protocol", connectionLost = false)
            return
        }
        if (interim) return
        current.sink.endpointStated(answer)
        if (foreign) {
            owner.surplusReceived(
                Surplus(SurplusPlace.OTHER_ANSWER, current.id, named = answer.requestId)
            )
            reusable = false
            limitSkipping()
            return
        }
        if (answer.requestId == null && isUsed) {
            fail("answer without a request id, perhaps to an earlier request", false)
            return
        }
        if (!HttpUtil.isKeepAlive(response)) reusable = false
        idleTimeout = answer.idleTimeout
        current.answerStarted = true
        val headers = response.headers()
        current.lengthKnown = HttpUtil.isTransferEncodingChunked(response) ||
            headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        if (!current.lengthKnown) reusable = false
        current.sink.head(response, answer)
    }

    /** An answer to another request that is cut off holds the one to the current request in its body. */
    private fun limitSkipping() {
        val number = ++skippedAnswers
        channel.eventLoop().schedule(
            {
                // If the event loop is late, the end may have arrived without having been read.
                channel.eventLoop().runAfterNextRead {
                    if (skipping && number == skippedAnswers) {
                        fail("an answer to another request without an end", connectionLost = false)
                    }
                }
            },
            MAX_DISCARD_MILLIS,
            TimeUnit.MILLISECONDS
        )
    }

    private fun contentRead(current: Exchange, content: HttpContent) {
        val last = content is LastHttpContent
        if (skipping) {
            content.release()
            if (last) skipping = false
            return
        }
        val count = content.content().readableBytes()
        if (count > 0) current.sink.content(content.content()) else content.release()
        if (current.sink === DiscardedAnswer) addSurplus(current, count)
        if (!last || exchange !== current) return
        exchange = null
        isUsed = true
        // A connection that isn't read notices neither its end nor further bytes.
        setPaused(false)
        val surplus = decoder.undecodedBytes
        if (surplus > 0) {
            owner.surplusReceived(Surplus(SurplusPlace.AFTER_ANSWER, current.id, bytes = surplus))
            // The decoder would join them to the next answer.
            reusable = false
        }
        current.sink.ended(current.lengthKnown)
        when {
            !reusable -> channel.close()
            requestWritten -> owner.connectionIdle(this, idleTimeout)
        }
    }

    /**
     * Whether a second status line stands within the head. An endpoint that breaks off within a head
     * and then answers writes one: in the reason, or in the value of the field that it broke off.
     */
    private val HttpResponse.holdsStatusLine: Boolean
        get() = STATUS_LINE.containsMatchIn(status().reasonPhrase()) ||
            headers().iteratorCharSequence().asSequence().any {
                STATUS_LINE.containsMatchIn(it.value)
            }

    private fun fail(cause: String, connectionLost: Boolean) {
        reusable = false
        val current = exchange
        exchange = null
        channel.close()
        current?.sink?.broken(cause, connectionLost)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        owner.connectionClosed(this)
        fail("connection closed", connectionLost = true)
    }

    @Deprecated("Netty's own deprecation of the handler method")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        val write = writeFailure?.let { "; writing the request failed: ${describe(it)}" }
        fail(describe(cause) + write.orEmpty(), connectionLost = true)
    }

    private fun describe(cause: Throwable): String = cause.message ?: cause.javaClass.simpleName

    private companion object {
        /** Several times the size of an answer to another request that arrives late. */
        const val MAX_SURPLUS_BYTES = 64 * 1024

        /** The protocol and the status; as a pattern it is rare in what a field holds otherwise. */
        val STATUS_LINE = Regex("HTTP/1\\.[01] \\d{3}")

        /** How long the rest of an answer that isn't used may take. */
        const val MAX_DISCARD_MILLIS = 500L
    }
}
