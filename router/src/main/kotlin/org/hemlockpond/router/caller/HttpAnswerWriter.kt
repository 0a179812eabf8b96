/*
 * Writes answers to one caller's connection. Runs on the traffic thread.
 */
package org.hemlockpond.router.caller

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.serialization.json.Json
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.decodeText
import org.hemlockpond.core.ledger.RecordedAnswer
import org.hemlockpond.router.AnswerRelay
import org.hemlockpond.router.AnswerWriter
import org.hemlockpond.router.CallerRequest
import org.hemlockpond.router.RecordedStream
import org.hemlockpond.router.Usage
import org.hemlockpond.router.chatChunk
import org.hemlockpond.router.chatLastChunk

/** @param ended called once, after the last byte of the answer was handed to the connection */
internal class HttpAnswerWriter(
    private val channel: Channel,
    private val request: CallerRequest,
    private val ended: () -> Unit
) : AnswerWriter {
    private var started = false

    override fun writePiece(index: Long, text: String, written: (bytes: Int) -> Unit): Int {
        start()
        val event = "id: ${index + 1}\ndata: ${chatChunk(request, text)}\n\n"
        val bytes = Unpooled.copiedBuffer(event, Charsets.UTF_8)
        val size = bytes.readableBytes()
        channel.writeAndFlush(DefaultHttpContent(bytes)).addListener { written(size) }
        return size
    }

    override fun endStream(lastIndex: Long, usage: Usage) {
        start()
        val last = "id: $lastIndex\ndata: ${chatLastChunk(request, usage)}\n\ndata: [DONE]\n\n"
        channel.write(DefaultHttpContent(Unpooled.copiedBuffer(last, Charsets.UTF_8)))
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        ended()
    }

    override fun writeWhole(answer: RecordedAnswer) {
        val status = HttpResponseStatus.valueOf(answer.status)
        val bytes = Unpooled.copiedBuffer(answer.body, Charsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes)
        response.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, answer.contentType)
            .set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes())
            .set(REQUEST_ID, request.request.value)
        channel.writeAndFlush(response)
        ended()
    }

    override fun replayStream(answer: RecordedAnswer, after: Long) {
        val recorded = Json.decodeText(RecordedStream.serializer(), answer.body)
        recorded.pieces.forEachIndexed { index, text ->
            if (index >= after) writePiece(index.toLong(), text) {}
        }
        endStream(recorded.pieces.size.toLong(), Usage(recorded.prompt, recorded.answer))
    }

    override fun fail(kind: ErrorKind, detail: String?) {
        if (!started) {
            writeError(channel, kind, detail, request.request.value)
            ended()
            return
        }
        // The stream has no end mark and its connection is closed, so a client that knows neither
        // the error event nor its code still can't take the answer for a whole one.
        val event = "event: error\ndata: ${errorBody(kind, detail)}\n\n"
        channel.write(DefaultHttpContent(Unpooled.copiedBuffer(event, Charsets.UTF_8)))
        channel.flush()
        channel.close()
        ended()
    }

    private fun start() {
        if (started) return
        started = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        response.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, AnswerRelay.STREAM_TYPE)
            .set(HttpHeaderNames.CACHE_CONTROL, "no-cache")
            .set(REQUEST_ID, request.request.value)
        HttpUtil.setTransferEncodingChunked(response, true)
        channel.write(response)
    }

    companion object {
        const val REQUEST_ID = "X-Request-Id"
    }
}

/** Writes an error as a whole answer. */
internal fun writeError(channel: Channel, kind: ErrorKind, detail: String?, requestId: String?) {
    val bytes = Unpooled.copiedBuffer(errorBody(kind, detail), Charsets.UTF_8)
    val response = DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1,
        HttpResponseStatus.valueOf(kind.status),
        bytes
    )
    response.headers()
        .set(HttpHeaderNames.CONTENT_TYPE, AnswerRelay.JSON_TYPE)
        .set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes())
    if (kind.retryable) response.headers().set(HttpHeaderNames.RETRY_AFTER, 1)
    requestId?.let { response.headers().set(HttpAnswerWriter.REQUEST_ID, it) }
    channel.writeAndFlush(response)
}
