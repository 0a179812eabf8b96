/*
 * One caller's request and its answer. Tracks what was sent to the caller and the current attempt,
 * and forwards the answer of an attempt to the caller.
 *
 * A plain answer is buffered until it is complete: an incomplete one isn't sent to the caller, and
 * the request can be retried. A plain answer above the buffer limit is forwarded as it arrives.
 * Events of a stream are forwarded as they arrive, but only complete ones. The head of a stream is
 * sent with the first event.
 */
package org.hemlockpond.router.entry

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
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
import java.net.InetSocketAddress
import kotlin.time.Duration
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.entry.AttemptEnd
import org.hemlockpond.core.entry.EndpointProcess
import org.hemlockpond.core.entry.EntryRequest

/** Receives the events of an [EntryExchange]; all calls are on the event loop. */
internal interface ExchangeListener {
    fun bytesReceived(exchange: EntryExchange)

    /** [EntryExchange.bufferedBytes] may have changed. */
    fun bufferChanged(exchange: EntryExchange)

    /** The first event of a stream, or the head of a plain answer, arrived. */
    fun answerStarted(exchange: EntryExchange)

    /** The endpoint says that it leaves, or for how long it wants no requests. */
    fun endpointStated(exchange: EntryExchange, answer: AnswerHead)

    /** An answer named a limit of requests a second, or none if [perSecond] is null. */
    fun limitNamed(exchange: EntryExchange, perSecond: Double?)

    fun attemptEnded(exchange: EntryExchange, end: AttemptEnd)
}

/** @param body the request body, kept for retries; released by [finish] */
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
    private class BufferedAnswer(
        val status: HttpResponseStatus,
        val headers: HttpHeaders,
        val body: ByteBuf
    )

    private val streaming = request.route.streaming
    private val answer = caller.answer.also { it.request = request.id }
    private var connection: EndpointConnection? = null

    /** The connections on which the request was sent. */
    private val usedConnections = ArrayList<EndpointConnection>(1)
    private var splitter = EventSplitter()
    private var status = HttpResponseStatus.OK
    private var headers: HttpHeaders? = null
    private var partialBody: CompositeByteBuf? = null
    private var bufferedAnswer: BufferedAnswer? = null

    /** How much of the answer the caller has; after its head, later attempts can only add events. */
    val answerState: AnswerState get() = answer.state

    private val headSent: Boolean get() = answerState != AnswerState.NO_HEAD
    var finished = false
        private set

    /** The number of sends that were begun or cancelled. */
    private var sends = 0

    /** Whether an attempt may be running at an endpoint. */
    val isAttemptRunning: Boolean get() = connection != null

    /** Whether the head of the current attempt's answer has arrived. */
    private var headReceived = false

    /** Whether the current attempt's answer has begun: with the first event, or with the head. */
    private var answerBegan = false

    /** Whether the answer is forwarded without buffering; set for a large plain answer. */
    private var unbuffered = false

    /** Whether the reservation of the request's tokens is pending, or has been made. */
    var isReserving = false
    var isReserved = false

    /** Whether any attempt may have run at an endpoint. */
    var mayHaveRun = false
        private set

    /** The endpoint of the last attempt. */
    var endpoint: EndpointProcess? = null

    /** The address of the last attempt's endpoint. */
    var endpointAddress: InetSocketAddress? = null

    // Values for the log.
    var attempts = 0
    var firstAnswerDelay: Duration? = null
    var answeredStatus = 0
        private set

    /** The bytes of the current attempt's answer that wait for the end of an event or of the answer. */
    val bufferedBytes: Int
        get() = splitter.pendingBytes + (partialBody?.readableBytes() ?: 0)

    /** The number of complete events forwarded to the caller. */
    val events: Long get() = splitter.events

    /**
     * Whether another endpoint can send what the caller hasn't received. A part of a plain answer can't
     * be continued, nor can events without ids.
     */
    val canResume: Boolean
        get() = !headSent || (!unbuffered && (events == 0L || splitter.lastId != null))

    /** The id of the last event that the caller has received. */
    val resumeAfter: String? get() = splitter.lastId ?: callerHead.resumeAfter

    /**
     * Whether the request may be sent on [endpointConnection]. An endpoint may write an earlier refusal
     * of the same request once more, so a connection carries a request only once.
     */
    fun mayUse(endpointConnection: EndpointConnection): Boolean =
        endpointConnection !in usedConnections

    /** Begins a send, which waits for a connection; returns its number for [isCurrentSend]. */
    fun beginSend(): Int = ++sends

    /** Whether the send wasn't cancelled while it waited for its connection, and no other was begun. */
    fun isCurrentSend(number: Int): Boolean = !finished && number == sends

    fun attach(endpointConnection: EndpointConnection) {
        // Two attempts at once would join their answers.
        cancelAttempt()
        connection = endpointConnection
        usedConnections += endpointConnection
        headReceived = false
        answerBegan = false
        if (headSent) splitter.resume()
        endpointConnection.setPaused(!caller.isWritable && headSent)
    }

    override fun endpointStated(answer: AnswerHead) {
        if (answer.isLeaving || answer.pause != null) listener.endpointStated(this, answer)
    }

    override fun head(response: HttpResponse, answer: AnswerHead) {
        listener.bytesReceived(this)
        headReceived = true
        if (answer.requestLimit != null || answer.genuine) {
            listener.limitNamed(this, answer.requestLimit)
        }
        val rejection = checkAnswer(response, answer)
        if (rejection !is AttemptEnd.NotRun) mayHaveRun = true
        if (rejection != null) {
            rejectAnswer(rejection)
            return
        }
        status = response.status()
        if (!headSent) headers = dialect.callerHeaders(response)
        if (!streaming) beginAnswer()
    }

    private fun beginAnswer() {
        if (answerBegan) return
        answerBegan = true
        listener.answerStarted(this)
    }

    /** Checks that the answer is the endpoint's own result; returns null if so, or the failure. */
    private fun checkAnswer(response: HttpResponse, answer: AnswerHead): AttemptEnd? {
        val code = response.status().code()
        return when {
            answer.misdirected || answer.notRun -> AttemptEnd.NotRun(answer.misdirected)

            response.headers().contains(HttpHeaderNames.CONTENT_ENCODING) ->
                AttemptEnd.Broken("encoded answer", crash = false)

            code / STATUS_CLASS_SIZE == SUCCESS_CLASS &&
                (!answer.genuine || answer.requestId == null) ->
                AttemptEnd.Broken("status $code without the endpoint's mark", crash = false)

            // These statuses promise that the request didn't run; only the endpoint can know that.
            code in NOT_RUN_STATUSES ->
                AttemptEnd.Broken("status $code without a statement that nothing ran", false)

            headSent && code != OK ->
                AttemptEnd.Broken("status $code instead of the rest of a stream", false)

            headSent && contentType(response.headers()) != contentType(headers!!) ->
                AttemptEnd.Broken(
                    "content type ${contentType(
                        response.headers()
                    )} instead of the rest of a stream",
                    false
                )

            else -> null
        }
    }

    private fun contentType(headers: HttpHeaders): String? =
        headers[HttpHeaderNames.CONTENT_TYPE]?.substringBefore(';')?.trim()?.lowercase()

    /** Ends the attempt without waiting for the rest of its answer, which may have no end. */
    private fun rejectAnswer(end: AttemptEnd) {
        val current = connection ?: return
        connection = null
        if (end is AttemptEnd.NotRun) current.discardAnswer() else current.cancel()
        splitter.dropRest()
        listener.attemptEnded(this, end)
    }

    private val isSuccess: Boolean get() = status.code() / STATUS_CLASS_SIZE == SUCCESS_CLASS

    override fun content(bytes: ByteBuf) {
        listener.bytesReceived(this)
        when {
            finished -> bytes.release()
            streaming && isSuccess -> writeEvents(bytes)
            unbuffered -> answer.add(bytes)
            else -> collect(bytes)
        }
        listener.bufferChanged(this)
    }

    /** Ends the current attempt, because the answers of all requests take too much memory. */
    fun endLargestAnswer() {
        releasePartialBody()
        rejectAnswer(
            AttemptEnd.Broken("the largest answer while too many bytes are buffered", false)
        )
    }

    private fun writeEvents(bytes: ByteBuf) {
        val whole = splitter.add(bytes)
        if (whole.isReadable) {
            beginAnswer()
            if (!headSent) writeChunkedHead()
            answer.add(whole)
        } else {
            whole.release()
        }
        when {
            splitter.isInterrupted ->
                rejectAnswer(AttemptEnd.Broken("an event that doesn't resume the stream", false))

            splitter.pendingBytes > settings.maxEventBytes ->
                rejectAnswer(AttemptEnd.Broken("event over ${settings.maxEventBytes} bytes", false))
        }
    }

    private fun writeChunkedHead() {
        // The answer of an earlier attempt gives way to this one.
        releaseBufferedAnswer()
        answeredStatus = status.code()
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers)
        HttpUtil.setTransferEncodingChunked(response, true)
        setCloseHeader(response.headers())
        answer.begin(response)
    }

    private fun setCloseHeader(headers: HttpHeaders) {
        if (caller.endsAfterAnswer) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
    }

    private fun collect(bytes: ByteBuf) {
        val all = partialBody
            ?: caller.channel.alloc().compositeBuffer(MAX_BODY_PARTS).also { partialBody = it }
        all.addComponent(true, bytes)
        if (all.readableBytes() <= settings.maxBufferedAnswerBytes) return
        partialBody = null
        unbuffered = true
        writeChunkedHead()
        answer.add(all)
    }

    override fun ended(isDelimited: Boolean) {
        connection = null
        when {
            finished -> return

            streaming && isSuccess -> streamEnded(isDelimited)

            unbuffered -> {
                answer.end()
                listener.attemptEnded(this, AttemptEnd.Answered(status.code()))
            }

            else -> {
                bufferAnswer()
                listener.attemptEnded(this, AttemptEnd.Answered(status.code()))
            }
        }
    }

    /** A crash of the endpoint looks like the end of a stream that isn't delimited. */
    private fun streamEnded(isDelimited: Boolean) {
        when {
            splitter.pendingBytes > 0 -> streamBroken("stream ended within an event")

            !isDelimited && !answerBegan -> streamBroken("stream ended before the first event")

            else -> {
                if (!headSent) writeChunkedHead()
                answer.end()
                listener.attemptEnded(this, AttemptEnd.Answered(status.code()))
            }
        }
    }

    private fun streamBroken(cause: String) {
        splitter.dropRest()
        mayHaveRun = true
        listener.attemptEnded(
            this,
            AttemptEnd.Broken(cause, crash = !answerBegan, answering = headReceived)
        )
    }

    private fun bufferAnswer() {
        releaseBufferedAnswer()
        val body = partialBody ?: Unpooled.EMPTY_BUFFER
        partialBody = null
        bufferedAnswer = BufferedAnswer(status, headers!!, body)
    }

    override fun broken(cause: String, connectionLost: Boolean) {
        connection = null
        if (finished) return
        splitter.dropRest()
        releasePartialBody()
        mayHaveRun = true
        listener.attemptEnded(
            this,
            AttemptEnd.Broken(
                cause,
                crash = connectionLost && !answerBegan,
                answering = headReceived
            )
        )
    }

    /** Cancels the current attempt, if any, also one that waits for its connection. */
    fun cancelAttempt() {
        sends++
        val current = connection ?: return
        connection = null
        mayHaveRun = true
        current.cancel()
        splitter.dropRest()
        releasePartialBody()
    }

    /** Sends the buffered answer to the caller, if there is one, and ends the exchange. */
    fun deliver() {
        val buffered = bufferedAnswer
        if (buffered != null) {
            bufferedAnswer = null
            writeWhole(buffered)
        }
        finish()
        caller.answerWritten()
    }

    private fun writeWhole(buffered: BufferedAnswer) {
        answeredStatus = buffered.status.code()
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            buffered.status,
            buffered.body,
            buffered.headers,
            EmptyHttpHeaders.INSTANCE
        )
        val bodiless = http.method() == HttpMethod.HEAD ||
            buffered.status == HttpResponseStatus.NO_CONTENT ||
            buffered.status == HttpResponseStatus.NOT_MODIFIED
        if (!bodiless) {
            buffered.headers.set(HttpHeaderNames.CONTENT_LENGTH, buffered.body.readableBytes())
        }
        setCloseHeader(buffered.headers)
        answer.writeWhole(response)
    }

    /**
     * Cancels the current attempt and answers with the error [kind]. If the head was already sent,
     * closes the caller's connection instead.
     */
    fun refuse(kind: ErrorKind, retryAfter: Duration?) {
        cancelAttempt()
        finish()
        when (answerState) {
            AnswerState.NO_HEAD -> {
                answeredStatus = kind.status
                caller.refuse(kind, retryAfter)
            }

            AnswerState.HEAD_WRITTEN -> caller.abort()

            AnswerState.ENDED -> caller.answerWritten()
        }
    }

    /** Ends the exchange without an answer. */
    fun finish() {
        if (finished) return
        finished = true
        releaseBufferedAnswer()
        body.release()
    }

    private fun releasePartialBody() {
        partialBody?.release()
        partialBody = null
    }

    private fun releaseBufferedAnswer() {
        bufferedAnswer?.body?.release()
        bufferedAnswer = null
    }

    /** Pauses reading from the endpoint while the caller's connection isn't writable. */
    fun callerWritabilityChanged(writable: Boolean) {
        connection?.setPaused(!writable)
    }

    private companion object {
        const val OK = 200
        const val STATUS_CLASS_SIZE = 100
        const val SUCCESS_CLASS = 2
        const val MAX_BODY_PARTS = 64

        /** Statuses that guarantee to the caller that its request didn't run and won't run. */
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
