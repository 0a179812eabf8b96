/*
 * One caller's request and its answer: what was sent to the caller so far, the attempt under way,
 * and how the answer of an attempt is passed on.
 *
 * A plain answer is held until it is whole, so that a broken one never reaches the caller and can be
 * tried again. Events of a stream are passed on as they come, whole events only. A stream's head
 * waits for the first event.
 */
package org.hemlockpond.router.entry

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.net.InetSocketAddress
import kotlin.time.Duration
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.entry.AttemptEnd
import org.hemlockpond.core.entry.EntryRequest

/** What an exchange reports; all calls are on the event loop. */
internal interface ExchangeListener {
    fun heard(exchange: EntryExchange)

    /** The first event, or the head of a plain answer, came. */
    fun answering(exchange: EntryExchange)

    fun attemptEnded(exchange: EntryExchange, end: AttemptEnd)
}

/**
 * @param body kept for further attempts; released by [finish]
 * @param received when the request's head was read
 */
internal class EntryExchange(
    val request: EntryRequest,
    val http: HttpRequest,
    val body: ByteBuf,
    val caller: CallerConnection,
    val callerHead: CallerHead,
    private val dialect: EntryDialect,
    private val settings: EntryRouterSettings,
    private val listener: ExchangeListener
) : AnswerSink {
    private class Held(val status: HttpResponseStatus, val headers: HttpHeaders, val body: ByteBuf)

    private val streaming = request.route.streaming
    private var connection: EndpointConnection? = null
    private var splitter = EventSplitter()
    private var status = HttpResponseStatus.OK
    private var headers: HttpHeaders? = null
    private var collected: CompositeByteBuf? = null
    private var held: Held? = null

    /** The answer under way isn't one that may be passed on. */
    private var rejected: AttemptEnd? = null

    /** The head was sent; later attempts only add events. */
    var begun = false
        private set
    var finished = false
        private set

    /** An attempt may be running at an endpoint. */
    val sent: Boolean get() = connection != null

    /** The bytes of the answer are passed on without being held, for a large plain answer. */
    private var passing = false

    /** Its tokens are asked for, or reserved. */
    var reserving = false
    var reserved = false

    /** Some attempt reached an endpoint and wasn't refused there. */
    var mayHaveRun = false
        private set

    /** Where the last attempt went. */
    var address: InetSocketAddress? = null

    // For the log.
    var attempts = 0
    var endpoint: EndpointId? = null
    var firstAfter: Duration? = null
    var answeredStatus = 0
        private set

    /** Whole events that were passed on. */
    val events: Long get() = splitter.events

    /** The last event that the caller has. */
    val resumeAfter: String? get() = splitter.lastId ?: callerHead.resumeAfter

    fun attach(endpointConnection: EndpointConnection) {
        connection = endpointConnection
        rejected = null
        endpointConnection.pause(!caller.isWritable && begun)
    }

    override fun head(response: HttpResponse, answer: AnswerHead) {
        listener.heard(this)
        status = response.status()
        val code = status.code()
        rejected = rejection(response, answer)
        if (rejected !is AttemptEnd.NotRun) mayHaveRun = true
        if (rejected != null) return
        if (begun && code != OK) {
            rejected = AttemptEnd.Broken("status $code instead of the rest of a stream", false)
            return
        }
        if (!begun) headers = dialect.deliver(response)
        if (!streaming) listener.answering(this)
    }

    /** Why the answer isn't the endpoint's own answer to the request; null if it is. */
    private fun rejection(response: HttpResponse, answer: AnswerHead): AttemptEnd? {
        val code = response.status().code()
        return when {
            answer.misdirected || answer.notRun -> AttemptEnd.NotRun(answer.misdirected)

            response.headers().contains(HttpHeaderNames.CONTENT_ENCODING) ->
                AttemptEnd.Broken("encoded answer", crash = false)

            code / HUNDRED == SUCCESS && (!answer.genuine || answer.id == null) ->
                AttemptEnd.Broken("status $code without the endpoint's mark", crash = false)

            // These statuses state that nothing ran, which only the endpoint can know.
            code in NOT_RUN_STATUSES ->
                AttemptEnd.Broken("status $code without a statement that nothing ran", false)

            else -> null
        }
    }

    private val isSuccess: Boolean get() = status.code() / HUNDRED == SUCCESS

    override fun content(bytes: ByteBuf) {
        listener.heard(this)
        when {
            rejected != null || finished -> bytes.release()
            streaming && isSuccess -> event(bytes)
            passing -> caller.channel.writeAndFlush(DefaultHttpContent(bytes))
            else -> collect(bytes)
        }
    }

    private fun event(bytes: ByteBuf) {
        val whole = splitter.add(bytes)
        if (!whole.isReadable) {
            whole.release()
            return
        }
        if (!begun) {
            listener.answering(this)
            beginChunked()
        }
        caller.channel.writeAndFlush(DefaultHttpContent(whole))
    }

    private fun beginChunked() {
        begun = true
        answeredStatus = status.code()
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers)
        HttpUtil.setTransferEncodingChunked(response, true)
        closeHeader(response.headers())
        caller.channel.write(response)
    }

    private fun closeHeader(headers: HttpHeaders) {
        if (caller.endsAfterAnswer) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
    }

    private fun collect(bytes: ByteBuf) {
        val all = collected
            ?: caller.channel.alloc().compositeBuffer(MAX_PARTS).also { collected = it }
        all.addComponent(true, bytes)
        if (all.readableBytes() <= settings.heldAnswerBytes) return
        collected = null
        passing = true
        beginChunked()
        caller.channel.writeAndFlush(DefaultHttpContent(all))
    }

    override fun ended() {
        connection = null
        val end = rejected
        when {
            finished -> return

            end != null -> listener.attemptEnded(this, end)

            streaming && isSuccess -> streamEnded()

            passing -> {
                caller.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                listener.attemptEnded(this, AttemptEnd.Answered(status.code()))
            }

            else -> {
                hold()
                listener.attemptEnded(this, AttemptEnd.Answered(status.code()))
            }
        }
    }

    private fun streamEnded() {
        val rest = splitter.takeRest()
        if (!begun) beginChunked()
        if (rest.isReadable) caller.channel.write(DefaultHttpContent(rest)) else rest.release()
        caller.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        listener.attemptEnded(this, AttemptEnd.Answered(status.code()))
    }

    private fun hold() {
        releaseHeld()
        val body = collected ?: Unpooled.EMPTY_BUFFER
        collected = null
        held = Held(status, headers!!, body)
    }

    override fun broken(cause: String, crash: Boolean) {
        connection = null
        if (finished) return
        splitter.dropRest()
        collected?.release()
        collected = null
        val end = rejected as? AttemptEnd.NotRun ?: AttemptEnd.Broken(cause, crash)
        if (end is AttemptEnd.Broken) mayHaveRun = true
        listener.attemptEnded(this, end)
    }

    /** Gives up the attempt under way. */
    fun cancelAttempt() {
        val current = connection ?: return
        connection = null
        mayHaveRun = true
        current.cancel()
        splitter.dropRest()
        collected?.release()
        collected = null
    }

    /** Writes the answer that is held, if there is one, and ends the exchange. */
    fun deliver() {
        val answer = held
        if (answer != null) {
            held = null
            writeWhole(answer)
        } else {
            finish()
            caller.answered()
        }
    }

    private fun writeWhole(answer: Held) {
        answeredStatus = answer.status.code()
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            answer.status,
            answer.body,
            answer.headers,
            EmptyHttpHeaders.INSTANCE
        )
        val bodiless = http.method() == HttpMethod.HEAD ||
            answer.status == HttpResponseStatus.NO_CONTENT ||
            answer.status == HttpResponseStatus.NOT_MODIFIED
        if (!bodiless) {
            answer.headers.set(HttpHeaderNames.CONTENT_LENGTH, answer.body.readableBytes())
        }
        closeHeader(answer.headers)
        caller.channel.writeAndFlush(response)
        finish()
        caller.answered()
    }

    /** Answers that the request failed or wasn't run. */
    fun refuse(kind: ErrorKind, retryAfter: Duration?) {
        cancelAttempt()
        finish()
        if (begun) {
            caller.abort()
            return
        }
        answeredStatus = kind.status
        caller.refuse(kind, retryAfter)
    }

    /** Ends the exchange without an answer. */
    fun finish() {
        if (finished) return
        finished = true
        releaseHeld()
        body.release()
    }

    private fun releaseHeld() {
        held?.body?.release()
        held = null
    }

    /** A caller that doesn't read stops the endpoint's stream. */
    fun callerWritable(writable: Boolean) {
        connection?.pause(!writable)
    }

    private companion object {
        const val OK = 200
        const val HUNDRED = 100
        const val SUCCESS = 2
        const val MAX_PARTS = 64

        /** Statuses that promise a caller that its request hasn't run and never will. */
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
