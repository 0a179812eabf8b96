/*
 * Reads the answer of one attempt and passes its pieces to the relay.
 */
package org.hemlockpond.router.endpoint

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent
import java.io.ByteArrayOutputStream
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.ledger.RecordedAnswer
import org.hemlockpond.core.routing.AttemptId
import org.hemlockpond.core.routing.AttemptOutcome
import org.hemlockpond.router.AnswerRelay
import org.hemlockpond.router.CallerRequest
import org.hemlockpond.router.JsonInput
import org.hemlockpond.router.UpstreamCall
import org.hemlockpond.router.UpstreamReader
import org.hemlockpond.router.Usage
import org.hemlockpond.router.parseJson

/** One attempt's connection. All functions run on the traffic thread. */
internal class AttemptHandler(
    val request: CallerRequest,
    private val relay: AnswerRelay,
    val attempt: AttemptId,
    val resumeFrom: Long,
    private val listener: AttemptListener
) : SimpleChannelInboundHandler<HttpObject>(),
    UpstreamReader {
    lateinit var channel: Channel
    private val events = SseDecoder()
    private val body = ByteArrayOutputStream()
    private var sent = false
    private var finished = false
    private var cancelled = false
    private var status = 0

    /** Whether the current message is an interim answer, which the answer follows. */
    private var isInterim = false
    private var contentType = ""
    private var index = resumeFrom
    private var usage: Usage? = null
    private var done = false
    private var answerId = request.request

    fun markSent() {
        sent = true
        listener.sending(attempt)
    }

    override fun setReading(reading: Boolean) {
        channel.config().isAutoRead = reading
    }

    override fun cancel() {
        cancelled = true
        channel.close()
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (finished || cancelled) return
        if (message.decoderResult().isFailure) {
            finish(AttemptOutcome.Crashed, null)
            return
        }
        if (message is HttpResponse) {
            isInterim = message.status().codeClass() == HttpStatusClass.INFORMATIONAL
        }
        if (isInterim) return
        if (message is HttpResponse) {
            status = message.status().code()
            contentType = message.headers()[HttpHeaderNames.CONTENT_TYPE].orEmpty()
            if (request.upstream is UpstreamCall.Service) relay.answerStarted(attempt)
        }
        if (message is HttpContent) {
            val bytes = ByteArray(message.content().readableBytes())
            message.content().readBytes(bytes)
            if (isStream()) readEvents(bytes) else readBody(bytes)
        }
        if (message is LastHttpContent) endOfAnswer()
    }

    private fun isStream() = status == HTTP_OK && request.upstream is UpstreamCall.Chat

    private fun readBody(bytes: ByteArray) {
        body.write(bytes)
        if (body.size() > MAX_BODY_BYTES) finish(AttemptOutcome.Failed, null)
    }

    private fun readEvents(bytes: ByteArray) {
        for (data in events.add(bytes)) {
            if (data == "[DONE]") done = true else readChunk(data)
            if (finished) return
        }
        if (events.failed) finish(AttemptOutcome.Failed, null)
    }

    private fun readChunk(data: String) {
        val chunk = parse(data) ?: return finish(AttemptOutcome.Failed, null)
        (chunk["id"] as? JsonPrimitive)?.let { answerId = RequestId(it.content) }
        // An answer that names another request is dropped before its first piece.
        if (answerId != request.request) return finish(AttemptOutcome.Failed, null)
        (chunk["usage"] as? JsonObject)?.let { usage = usageOf(it) }
        val choice = (chunk["choices"] as? JsonArray)?.firstOrNull() as? JsonObject
        val delta = choice?.get("delta") as? JsonObject
        val text = (delta?.get("content") as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (!text.isNullOrEmpty()) relay.piece(attempt, index++, text)
    }

    private fun parse(data: String): JsonObject? =
        (parseJson(data) as? JsonInput.Valid)?.element as? JsonObject

    private fun usageOf(json: JsonObject): Usage {
        val prompt = (json["prompt_tokens"] as? JsonPrimitive)?.longOrNull ?: request.promptTokens
        val answer = (json["completion_tokens"] as? JsonPrimitive)?.longOrNull ?: index
        return Usage(prompt.coerceAtLeast(0), answer.coerceAtLeast(0))
    }

    private fun endOfAnswer() {
        when {
            // A plain service may answer 503 after it ran the call; an engine refuses at the door.
            status == HTTP_UNAVAILABLE && request.upstream is UpstreamCall.Chat ->
                finish(AttemptOutcome.Declined(leaving = "leaving" in body.toString()), null)

            status >= HTTP_SERVER_ERROR -> finish(AttemptOutcome.Failed, null)

            status >= HTTP_CALLER_ERROR -> {
                passBody()
                finish(AttemptOutcome.CallerFault, Usage(0, 0))
            }

            request.upstream is UpstreamCall.Service -> {
                passBody()
                finish(AttemptOutcome.Answered(), Usage(request.upstream.call.tokens, 0))
            }

            // Without its end mark a stream is not the whole answer, whatever HTTP says.
            !done -> finish(AttemptOutcome.Crashed, null)

            else -> {
                val total = usage ?: Usage(request.promptTokens, index)
                finish(AttemptOutcome.Answered(index), total)
            }
        }
    }

    private fun passBody() {
        val type = contentType.ifEmpty { AnswerRelay.JSON_TYPE }
        val text = body.toString(Charsets.UTF_8)
        relay.serviceAnswer(attempt, RecordedAnswer(status, type, text))
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        finish(if (sent) AttemptOutcome.Crashed else AttemptOutcome.NotSent, null)
    }

    @Deprecated("Netty's own deprecation of the handler method")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        finish(if (sent) AttemptOutcome.Crashed else AttemptOutcome.NotSent, null)
    }

    /** Reports the end of the attempt once. */
    fun finish(outcome: AttemptOutcome, usage: Usage?) {
        if (finished) return
        finished = true
        channel.close()
        if (cancelled) return
        relay.detach(attempt, complete = outcome is AttemptOutcome.Answered)
        listener.ended(attempt, answerId, outcome, usage)
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_CALLER_ERROR = 400
        const val HTTP_SERVER_ERROR = 500
        const val HTTP_UNAVAILABLE = 503
        const val MAX_BODY_BYTES = 8 * 1024 * 1024
    }
}
