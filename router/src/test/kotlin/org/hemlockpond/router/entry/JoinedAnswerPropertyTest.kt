package org.hemlockpond.router.entry

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import org.hemlockpond.core.RequestId

/**
 * Connections that are kept receive random answers, and copies of earlier ones that may be cut off: before
 * the answer, in one read with its end, or later. An answer that is delivered is that to the request;
 * one that nothing precedes is always delivered. For one seed or for more of them:
 *
 * mvn -o -q -pl router -am test -Dtest=JoinedAnswerPropertyTest -Dhemlockpond.schedules=2000
 */
class JoinedAnswerPropertyTest {
    private data class Delivered(val status: Int, val id: RequestId?, val body: String)

    private class Answer(val method: HttpMethod, val delivered: Delivered, isChunked: Boolean) {
        private val body = delivered.body
        private val framing = when {
            delivered.status == NO_CONTENT -> ""
            isChunked -> "Transfer-Encoding: chunked\r\n"
            else -> "Content-Length: ${body.length}\r\n"
        }
        private val sentBody = when {
            body.isEmpty() && (!isChunked || isBodiless(method, delivered.status)) -> ""
            isChunked -> chunk(body.take(CHUNK)) + chunk(body.drop(CHUNK)) + "0\r\n\r\n"
            else -> body
        }
        val text = "HTTP/1.1 ${delivered.status} Status\r\nDate: today\r\n" +
            "Attempt-Id: ${delivered.id}\r\nResponse-Seal: seal\r\n$framing\r\n$sentBody"

        private fun chunk(part: String) =
            if (part.isEmpty()) "" else "${part.length.toString(radix = 16)}\r\n$part\r\n"
    }

    private class Sink : AnswerSink {
        private var status = 0
        private var id: RequestId? = null
        private val body = StringBuilder()
        var delivered: Delivered? = null
            private set
        var isBroken = false
            private set

        override fun endpointStated(answer: AnswerHead) = Unit

        override fun head(response: HttpResponse, answer: AnswerHead) {
            status = response.status().code()
            id = answer.requestId
        }

        override fun content(bytes: ByteBuf) {
            body.append(bytes.toString(Charsets.UTF_8))
            bytes.release()
        }

        override fun ended(isDelimited: Boolean) {
            delivered = Delivered(status, id, body.toString())
        }

        override fun broken(cause: String, connectionLost: Boolean) {
            isBroken = true
        }
    }

    private object Dialect : EntryDialect {
        override val readinessPath = "/ready"

        override fun parseCallerHead(request: HttpRequest): CallerHead = error("no caller")

        override fun endpointHeaders(request: HttpRequest, head: EndpointRequestHead): HttpHeaders =
            error("no caller")

        override fun parseAnswerHead(response: HttpResponse) = AnswerHead(
            requestId = response.headers()["Attempt-Id"]?.let { RequestId(it) },
            genuine = response.headers().contains("Response-Seal"),
            notRun = false,
            misdirected = false,
            idleTimeout = null
        )

        override fun callerHeaders(response: HttpResponse): HttpHeaders = error("no caller")
    }

    /** A connection, kept like those in the pool. */
    private class Kept : EndpointConnection.Owner {
        private val decoder = AnswerDecoder()
        private val connection = EndpointConnection(Dialect, decoder, this)
        private val channel =
            EmbeddedChannel(connection.ByteCounter(), HttpRequestEncoder(), decoder, connection)
        private var isIdle = false
        val isOpen: Boolean get() = channel.isOpen
        val isReusable: Boolean get() = isIdle && isOpen

        override fun connectionIdle(connection: EndpointConnection, idleTimeout: Duration?) {
            assertFalse(isIdle)
            assertEquals(0, decoder.undecodedBytes)
            isIdle = true
        }

        override fun connectionClosed(connection: EndpointConnection) = Unit

        override fun surplusReceived(surplus: Surplus) = Unit

        fun send(id: RequestId, method: HttpMethod, sink: Sink) {
            isIdle = false
            connection.send(id, DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/a"), sink)
            channel.releaseOutbound()
        }

        fun receive(text: String) {
            if (isOpen) channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.UTF_8))
        }

        fun pass(millis: Long) {
            channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS)
            channel.runScheduledPendingTasks()
        }

        fun close() {
            channel.finishAndReleaseAll()
        }
    }

    private class Schedule(seed: Int) {
        private val random = Random(seed)
        private val name = "seed $seed"
        private var kept = Kept()
        private val earlier = ArrayList<Answer>()

        fun run() {
            repeat(REQUESTS) { request(RequestId("r-$it")) }
            kept.close()
        }

        private fun request(id: RequestId) {
            val answer = randomAnswer(id)
            val sink = Sink()
            kept.send(id, answer.method, sink)
            val before = if (random.nextInt(COPY_RARITY) == 0) copy() else ""
            earlier += answer
            val after = if (random.nextInt(COPY_RARITY) == 0) copy() else ""
            val interim = if (random.nextBoolean()) "" else "HTTP/1.1 103 Early Hints\r\n\r\n"
            inReads(before + interim + answer.text + after)
            kept.pass(MAX_WAIT_MILLIS)
            if (before.isEmpty()) assertEquals(answer.delivered, sink.delivered, "$name, $id")
            sink.delivered?.let { assertEquals(answer.delivered, it, "$name, $id") }
            if (kept.isReusable && random.nextInt(COPY_RARITY) == 0) {
                kept.receive(copy())
                assertFalse(kept.isOpen, "$name, $id")
            }
            if (kept.isReusable) return
            kept.close()
            assertTrue(sink.delivered != null || sink.isBroken, "$name, $id")
            kept = Kept()
            earlier.clear()
        }

        private fun randomAnswer(id: RequestId): Answer {
            val method = METHODS.random(random)
            val status = STATUSES.random(random)
            val body = "body of $id ".repeat(random.nextInt(MAX_REPEATS))
            val received = if (isBodiless(method, status)) "" else body
            return Answer(method, Delivered(status, id, received), isChunked = random.nextBoolean())
        }

        /** A copy of an earlier answer, or the beginning of one; empty on a new connection. */
        private fun copy(): String {
            val text = earlier.randomOrNull(random)?.text ?: return ""
            return when (random.nextInt(3)) {
                0 -> text
                1 -> text.take(random.nextInt(1, STATUS_LINE_CHARS))
                else -> text.take(random.nextInt(1, text.length))
            }
        }

        private fun inReads(text: String) {
            val cuts = List(random.nextInt(3)) { random.nextInt(text.length) }.sorted()
            (listOf(0) + cuts + text.length).zipWithNext()
                .filter { (from, to) -> from < to }
                .forEach { (from, to) -> kept.receive(text.substring(from, to)) }
        }
    }

    @Test
    fun deliveredAnswerIsThatToTheRequest() {
        repeat(Integer.getInteger("hemlockpond.schedules", DEFAULT_SCHEDULES)) {
            Schedule(seed = it).run()
        }
    }

    private companion object {
        const val DEFAULT_SCHEDULES = 200
        const val REQUESTS = 12
        const val COPY_RARITY = 3
        const val CHUNK = 12
        const val MAX_REPEATS = 4
        const val STATUS_LINE_CHARS = 22
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304

        /** Longer than an answer to another request may take. */
        const val MAX_WAIT_MILLIS = 1_000L
        val METHODS = listOf(HttpMethod.GET, HttpMethod.POST, HttpMethod.HEAD)
        val STATUSES = listOf(200, 200, 500, 500, NO_CONTENT, NOT_MODIFIED)

        fun isBodiless(method: HttpMethod, status: Int) =
            method == HttpMethod.HEAD || status == NO_CONTENT || status == NOT_MODIFIED
    }
}
