package org.hemlockpond.router.endpoint

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.hemlockpond.core.CallConfig
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.VersionId
import org.hemlockpond.core.ledger.RecordedAnswer
import org.hemlockpond.core.routing.AttemptId
import org.hemlockpond.core.routing.AttemptOutcome
import org.hemlockpond.core.routing.StreamWindow
import org.hemlockpond.router.AnswerRelay
import org.hemlockpond.router.AnswerWriter
import org.hemlockpond.router.CallerRequest
import org.hemlockpond.router.RelayListener
import org.hemlockpond.router.RouterClock
import org.hemlockpond.router.SlowReaders
import org.hemlockpond.router.UpstreamCall
import org.hemlockpond.router.Usage

/** Tests how the end of a real connection ends the answer of a plain service. */
class EndpointClientTest {
    private object Writer : AnswerWriter {
        override fun writePiece(index: Long, text: String, written: (bytes: Int) -> Unit): Int = 0

        override fun endStream(lastIndex: Long, usage: Usage) = Unit

        override fun writeWhole(answer: RecordedAnswer) = Unit

        override fun replayStream(answer: RecordedAnswer, after: Long) = Unit

        override fun fail(kind: ErrorKind, detail: String?) = Unit
    }

    private class Control :
        SlowReaders.StreamControl,
        RelayListener {
        val answerStarted = CountDownLatch(1)

        override fun cancelAtEngine(request: RequestId) = Unit

        override fun resume(request: RequestId) = Unit

        override fun firstToken(attempt: AttemptId) = answerStarted.countDown()

        override fun progress(attempt: AttemptId, answerTokens: Long) = Unit

        override fun closed(request: RequestId, relay: AnswerRelay) = Unit
    }

    private class Attempts : AttemptListener {
        val outcome = CompletableFuture<AttemptOutcome>()

        override fun sending(attempt: AttemptId) = Unit

        override fun ended(
            attempt: AttemptId,
            request: RequestId,
            outcome: AttemptOutcome,
            usage: Usage?
        ) {
            this.outcome.complete(outcome)
        }
    }

    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val server = ServerSocket().apply {
        receiveBufferSize = SMALL_BUFFER
        bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0))
    }
    private val control = Control()
    private val attempts = Attempts()

    @AfterTest
    fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
        server.close()
    }

    /** Sends a service call of [bytes] to [script], which answers; returns the attempt's outcome. */
    private fun outcomeOf(bytes: Int, script: (Socket) -> Unit): AttemptOutcome {
        thread(isDaemon = true) { script(server.accept()) }
        val call = CallConfig(method = "POST", path = "/a", idempotent = false)
        val request = CallerRequest(
            request = RequestId("r"),
            customer = CustomerId("c"),
            route = RouteId("m"),
            requestClass = "quick",
            promptTokens = 0,
            maxAnswerTokens = 0,
            prefixDigest = null,
            contentDigest = "d",
            idempotent = false,
            resumeFrom = 0,
            stream = false,
            upstream = UpstreamCall.Service(call, "/a", null, ByteArray(bytes))
        )
        val clock = RouterClock { Now(1.seconds, Instant.fromEpochSeconds(1)) }
        val readers = SlowReaders(StreamWindow(), clock, control)
        val relay = AnswerRelay(request, Writer, readers, control)
        val endpoint = EndpointConfig(
            id = EndpointId("e"),
            route = RouteId("m"),
            version = VersionId("1"),
            domain = FailureDomain("a"),
            host = "127.0.0.1",
            port = server.localPort
        )
        group.next().execute {
            EndpointClient(group, attempts).start(request, relay, AttemptId(1), endpoint, 0)
        }
        return attempts.outcome.get(5, TimeUnit.SECONDS)
    }

    private fun Socket.write(text: String) = getOutputStream().write(text.toByteArray())

    /** Guards against taking a part of an answer for all of it if the write notices the reset. */
    @Test
    fun serviceAnswerWithoutLengthThatIsResetIsNoAnswer() {
        val outcome = outcomeOf(LARGE_REQUEST) {
            it.write("${OPEN_HEAD}half")
            control.answerStarted.await()
            it.setSoLinger(true, 0)
            it.close()
        }
        assertEquals(AttemptOutcome.Crashed, outcome)
    }

    @Test
    fun serviceAnswerWithoutLengthEndsWithTheOutputOfTheService() {
        val outcome = outcomeOf(bytes = 10) {
            it.write("${OPEN_HEAD}whole")
            it.shutdownOutput()
        }
        assertIs<AttemptOutcome.Answered>(outcome)
    }

    /** Guards against an empty answer in place of one whose head is cut off. */
    @Test
    fun serviceAnswerThatEndsWithinItsHeadIsNoAnswer() {
        val outcome = outcomeOf(bytes = 10) {
            it.write("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n")
            it.shutdownOutput()
        }
        assertEquals(AttemptOutcome.Crashed, outcome)
    }

    /** Guards against taking an interim answer for the answer of the service. */
    @Test
    fun interimAnswerIsNotTheAnswerOfTheService() {
        val outcome = outcomeOf(bytes = 10) {
            it.write("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
            it.write("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
        }
        assertEquals(AttemptOutcome.Failed, outcome)
    }

    private companion object {
        const val OPEN_HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
        const val SMALL_BUFFER = 8 * 1024

        /** More than the buffers of both sides hold. */
        const val LARGE_REQUEST = 16 * 1024 * 1024
    }
}
