/*
 * The traffic side of one request: passes the pieces of the current attempt's answer to the caller
 * and holds the last piece back until the bill is safe. All functions run on the traffic thread.
 */
package org.hemlockpond.router

import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.ledger.RecordedAnswer
import org.hemlockpond.core.routing.AttemptId

/** Writes to the caller's connection. */
internal interface AnswerWriter {
    /** Writes one piece of a streamed answer and returns its size in bytes. */
    fun writePiece(index: Long, text: String, written: (bytes: Int) -> Unit): Int

    /** Ends a streamed answer. */
    fun endStream(lastIndex: Long, usage: Usage)

    /** Writes a whole answer. */
    fun writeWhole(answer: RecordedAnswer)

    /** Replays a recorded stream from the piece after [after]. */
    fun replayStream(answer: RecordedAnswer, after: Long)

    /** Writes an error, as the answer or as an error event within a started stream. */
    fun fail(kind: ErrorKind, detail: String?)
}

/** Token counts of one request. */
internal data class Usage(val promptTokens: Long, val answerTokens: Long) {
    val total: Long get() = promptTokens + answerTokens
}

/** Reports of the relay to the control side. */
internal interface RelayListener {
    fun firstToken(attempt: AttemptId)

    fun progress(attempt: AttemptId, answerTokens: Long)

    /** The relay takes no more pieces. */
    fun closed(request: RequestId, relay: AnswerRelay)
}

/** Controls reading from the endpoint of the current attempt. */
internal interface UpstreamReader {
    fun setReading(reading: Boolean)

    fun cancel()
}

/** Delivers the answer of one request to its caller. */
internal class AnswerRelay(
    private val request: CallerRequest,
    private val writer: AnswerWriter,
    private val readers: SlowReaders,
    private val listener: RelayListener
) {
    private val pieces = ArrayList<String>()
    private var recordedChars = 0
    private var recordable = request.resumeFrom == 0L
    private var current: AttemptId? = null
    private var started: AttemptId? = null
    private var upstream: UpstreamReader? = null
    private var service: RecordedAnswer? = null
    private var closed = false

    /** Answer tokens that the caller has, or that are held for it. */
    var delivered: Long = request.resumeFrom
        private set

    /** Starts delivery of an attempt; pieces of earlier attempts are dropped from now on. */
    fun attach(attempt: AttemptId, reader: UpstreamReader) {
        if (closed) {
            reader.cancel()
            return
        }
        upstream?.cancel()
        current = attempt
        upstream = reader
        service = null
        if (request.stream) readers.open(request.request, reader) else reader.setReading(true)
    }

    /** The endpoint has begun to answer; reported once for each attempt. */
    fun answerStarted(attempt: AttemptId) {
        if (attempt != current || closed || attempt == started) return
        started = attempt
        listener.firstToken(attempt)
    }

    /** A piece of the answer; [index] is its token offset. */
    fun piece(attempt: AttemptId, index: Long, text: String) {
        if (attempt != current || closed || index != delivered) return
        answerStarted(attempt)
        delivered++
        record(text)
        if (request.stream) {
            val bytes = writer.writePiece(index, text) { readers.written(request.request, it) }
            readers.received(request.request, bytes)
        }
        if (delivered % PROGRESS_STEP == 0L) listener.progress(attempt, delivered)
    }

    /** The whole answer of a plain service. */
    fun serviceAnswer(attempt: AttemptId, answer: RecordedAnswer) {
        if (attempt == current && !closed) service = answer
    }

    /** The connection of the attempt is over; [complete] if it delivered the whole answer. */
    fun detach(attempt: AttemptId, complete: Boolean) {
        if (attempt != current) return
        current = null
        upstream = null
        if (complete && request.stream) readers.ended(request.request)
    }

    /** Cancels [attempt] at its endpoint if it is the current one. */
    fun cancelAttempt(attempt: AttemptId) {
        if (attempt == current) cancelUpstream()
    }

    /** Cancels the current attempt at its endpoint. */
    fun cancelUpstream() {
        current = null
        upstream?.cancel()
        upstream = null
    }

    /** The answer as a retry gets it; null if it is too long or incomplete. */
    fun recorded(usage: Usage): RecordedAnswer? {
        service?.let { return it }
        if (!recordable) return null
        return if (request.stream) recordStream(pieces, usage) else wholeAnswer(usage)
    }

    /** Sends the last piece. */
    fun release(usage: Usage) {
        if (closed) return
        val answer = service
        when {
            answer != null -> writer.writeWhole(answer)
            request.stream -> writer.endStream(delivered, usage)
            else -> writer.writeWhole(wholeAnswer(usage))
        }
        close()
    }

    fun replay(answer: RecordedAnswer) {
        if (closed) return
        if (answer.contentType == STREAM_TYPE) {
            writer.replayStream(answer, request.resumeFrom)
        } else {
            writer.writeWhole(answer)
        }
        close()
    }

    fun fail(kind: ErrorKind, detail: String? = null) {
        if (closed) return
        cancelUpstream()
        writer.fail(kind, detail)
        close()
    }

    /** The caller's connection is gone. */
    fun callerGone() {
        if (closed) return
        close()
    }

    private fun close() {
        closed = true
        current = null
        listener.closed(request.request, this)
        if (request.stream) readers.close(request.request)
    }

    private fun record(text: String) {
        if (request.stream && !recordable) return
        pieces += text
        recordedChars += text.length
        if (request.stream && recordedChars > MAX_RECORDED_CHARS) {
            recordable = false
            pieces.clear()
        }
    }

    private fun wholeAnswer(usage: Usage): RecordedAnswer = RecordedAnswer(
        HTTP_OK,
        JSON_TYPE,
        chatAnswer(request, pieces.joinToString(""), usage)
    )

    companion object {
        const val STREAM_TYPE = "text/event-stream"
        const val JSON_TYPE = "application/json"
        private const val HTTP_OK = 200

        /** Pieces between two progress reports to the control thread. */
        private const val PROGRESS_STEP = 64L

        /** The ledger keeps bodies up to this length; the JSON around each piece counts too. */
        private const val MAX_RECORDED_CHARS = 4_096
    }
}
