package org.hemlockpond.router

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.serialization.json.JsonObject
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.ledger.RecordedAnswer
import org.hemlockpond.core.routing.AttemptId
import org.hemlockpond.core.routing.StreamWindow

class AnswerRelayTest {
    private class Writer : AnswerWriter {
        val written = mutableListOf<String>()

        override fun writePiece(index: Long, text: String, written: (bytes: Int) -> Unit): Int {
            this.written += text
            written(text.length)
            return text.length
        }

        override fun endStream(lastIndex: Long, usage: Usage) {
            written += "end"
        }

        override fun writeWhole(answer: RecordedAnswer) {
            written += answer.body
        }

        override fun replayStream(answer: RecordedAnswer, after: Long) {
            written += "replay"
        }

        override fun fail(kind: ErrorKind, detail: String?) {
            written += kind.code
        }
    }

    private object Reader : UpstreamReader {
        override fun setReading(reading: Boolean) = Unit

        override fun cancel() = Unit
    }

    private class Control :
        SlowReaders.StreamControl,
        RelayListener {
        val firstTokens = mutableListOf<AttemptId>()

        override fun cancelAtEngine(request: RequestId) = Unit

        override fun resume(request: RequestId) = Unit

        override fun firstToken(attempt: AttemptId) {
            firstTokens += attempt
        }

        override fun progress(attempt: AttemptId, answerTokens: Long) = Unit

        override fun closed(request: RequestId, relay: AnswerRelay) = Unit
    }

    private val control = Control()
    private val writer = Writer()
    private val clock = RouterClock { Now(1.seconds, Instant.fromEpochSeconds(1)) }
    private val relay = AnswerRelay(
        CallerRequest(
            request = RequestId("r"),
            customer = CustomerId("c"),
            route = RouteId("m"),
            requestClass = "quick",
            promptTokens = 1,
            maxAnswerTokens = 8,
            prefixDigest = null,
            contentDigest = "d",
            idempotent = true,
            resumeFrom = 0,
            stream = true,
            upstream = UpstreamCall.Chat(JsonObject(emptyMap()), 8)
        ),
        writer,
        SlowReaders(StreamWindow(), clock, control),
        control
    )
    private val first = AttemptId(1)
    private val second = AttemptId(2)

    /** Guards against a resumed stream that counts as stalled, as if its endpoint were silent. */
    @Test
    fun eachAttemptReportsItsFirstToken() {
        relay.attach(first, Reader)
        relay.piece(first, 0, "a")
        relay.piece(first, 1, "b")
        relay.attach(second, Reader)
        relay.piece(second, 2, "c")
        assertEquals(listOf(first, second), control.firstTokens)
    }

    /** Guards against pieces of an earlier attempt, or twice the same piece, in an answer. */
    @Test
    fun lateAndRepeatedPiecesAreDropped() {
        relay.attach(first, Reader)
        relay.piece(first, 0, "a")
        relay.attach(second, Reader)
        relay.piece(first, 1, "late")
        relay.piece(second, 0, "again")
        relay.piece(second, 1, "b")
        relay.release(Usage(1, 2))
        relay.piece(second, 2, "after the end")
        assertEquals(listOf("a", "b", "end"), writer.written)
    }

    /** Guards against an error after the end of an answer, and a second end. */
    @Test
    fun answerEndsOnce() {
        relay.attach(first, Reader)
        relay.fail(ErrorKind.ENDPOINT_FAILED)
        relay.release(Usage(1, 0))
        assertEquals(listOf("endpoint-failed"), writer.written)
        assertTrue(control.firstTokens.isEmpty())
    }
}
