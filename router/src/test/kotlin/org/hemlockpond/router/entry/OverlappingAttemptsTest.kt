package org.hemlockpond.router.entry

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.entry.AttemptEnd
import org.hemlockpond.core.entry.EntryRequest
import org.hemlockpond.core.entry.EntryRoute
import org.hemlockpond.core.entry.RetrySafety
import org.hemlockpond.core.entry.RouteTarget
import org.hemlockpond.core.entry.ServiceId

/**
 * Tests an attempt that is cancelled while its connection is being opened, and that is sent all the same
 * once the connection stands, while the next attempt runs.
 */
class OverlappingAttemptsTest {
    private object Dialect : EntryDialect {
        override val readinessPath = "/ready"

        override fun parseCallerHead(request: HttpRequest): CallerHead = error("not called")

        override fun endpointHeaders(request: HttpRequest, head: EndpointRequestHead): HttpHeaders =
            error("not called")

        override fun parseAnswerHead(response: HttpResponse) = AnswerHead(
            requestId = ID,
            genuine = true,
            notRun = false,
            misdirected = false,
            idleTimeout = null
        )

        override fun callerHeaders(response: HttpResponse): HttpHeaders = response.headers()
    }

    private object Callers : CallerListener {
        override val isClosing = false
        override val isLoopLate = false
        override val maxBodyBytes = 1_000
        override val bodies = RequestBodies(limit = 1_000)
        override val idleTimeout = 10.seconds
        override val headerTimeout = 10.seconds

        override fun requestReceived(
            connection: CallerConnection,
            request: HttpRequest,
            body: ByteBuf,
            arrival: Duration
        ) = Unit

        override fun connectionClosed(connection: CallerConnection) = Unit

        override fun writabilityChanged(connection: CallerConnection) = Unit

        override fun requestMalformed(kind: ErrorKind, detail: String?) = Unit

        override fun answerRefused(request: RequestId?, part: String) = Unit

        override fun roomLacking(request: HttpRequest) = Unit

        override fun now(): Duration = Duration.ZERO
    }

    private object Listener : ExchangeListener {
        override fun bytesReceived(exchange: EntryExchange) = Unit

        override fun bufferChanged(exchange: EntryExchange) = Unit

        override fun answerStarted(exchange: EntryExchange) = Unit

        override fun endpointStated(exchange: EntryExchange, answer: AnswerHead) = Unit

        override fun limitNamed(exchange: EntryExchange, perSecond: Double?) = Unit

        override fun attemptEnded(exchange: EntryExchange, end: AttemptEnd) {
            if (end is AttemptEnd.Answered) exchange.deliver()
        }
    }

    private object Owner : EndpointConnection.Owner {
        override fun connectionIdle(connection: EndpointConnection, idleTimeout: Duration?) = Unit

        override fun connectionClosed(connection: EndpointConnection) = Unit

        override fun surplusReceived(surplus: Surplus) = Unit
    }

    private class Endpoint(exchange: EntryExchange) {
        private val decoder = AnswerDecoder()
        private val connection = EndpointConnection(Dialect, decoder, Owner)
        private val channel =
            EmbeddedChannel(connection.ByteCounter(), HttpRequestEncoder(), decoder, connection)

        init {
            exchange.attach(connection)
            val http = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a")
            connection.send(ID, http, exchange)
        }

        fun answer(text: String) {
            if (channel.isOpen) channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.UTF_8))
        }
    }

    private val callerConnection = CallerConnection(Callers, HeaderStartTracker { Duration.ZERO })
    private val callerChannel = EmbeddedChannel(callerConnection)

    private fun exchange(): EntryExchange {
        callerChannel.writeInbound(
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a")
        )
        val service = ServiceId("registry")
        val route = EntryRoute(
            id = RouteId("read"),
            host = "host",
            pathPrefix = "/",
            streaming = false,
            retrySafety = RetrySafety.SAFE,
            timeout = 3.seconds,
            goal = 300.milliseconds,
            rank = 2,
            targets = listOf(RouteTarget(service, 1)),
            maxAttempts = 2,
            allowsAnonymous = true
        )
        val request =
            EntryRequest(ID, route, service, null, 2, null, Duration.ZERO, 3.seconds, 1)
        val address = InetSocketAddress("127.0.0.1", 1)
        return EntryExchange(
            request,
            DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a"),
            Unpooled.EMPTY_BUFFER,
            callerConnection,
            CallerHead(ID, null, null, null, null),
            Dialect,
            EntryRouterSettings(
                host = "edge-1",
                domain = FailureDomain("a"),
                callerAddress = address,
                readinessAddress = address,
                metricsAddress = address,
                storeAddress = address
            ),
            Listener
        )
    }

    /** Guards against an answer that joins those of two attempts. */
    @Test
    fun cancelledAttemptAddsNothingToTheAnswerOfTheNext() {
        val exchange = exchange()
        exchange.cancelAttempt()
        val first = Endpoint(exchange)
        val second = Endpoint(exchange)
        first.answer("HTTP/1.1 500 Failed\r\nContent-Length: 9\r\n\r\nfail")
        second.answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
        val answer = callerChannel.readOutbound<FullHttpResponse>()
        assertEquals("good", answer.content().toString(Charsets.UTF_8))
    }

    /** Guards against a send that goes on when its connection stands after the cancellation. */
    @Test
    fun sendThatWaitsForItsConnectionIsCancelled() {
        val exchange = exchange()
        val first = exchange.beginSend()
        assertTrue(exchange.isCurrentSend(first))
        exchange.cancelAttempt()
        assertFalse(exchange.isCurrentSend(first))
        assertTrue(exchange.isCurrentSend(exchange.beginSend()))
    }

    private companion object {
        val ID = RequestId("r-1")
    }
}
