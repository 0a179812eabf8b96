/*
 * One caller's connection: reads requests one at a time and starts their answers.
 */
package org.hemlockpond.router.caller

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.router.AnswerRelay
import org.hemlockpond.router.CallerRequest
import org.hemlockpond.router.Directory
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.RouterMetrics
import org.hemlockpond.router.log

/** What the caller side needs from the router. */
internal interface CallerService {
    /** The configuration in force; null before the first one. */
    val directory: Directory?

    /** Whether new work is accepted; shown by the ready page. */
    val ready: Boolean

    val metrics: RouterMetrics

    /** The most open answers of one customer. */
    val streamsPerCustomer: Int

    /** Open answers by customer; used on the traffic thread only. */
    val openAnswers: MutableMap<String, Int>

    fun relayFor(request: CallerRequest, writer: HttpAnswerWriter): AnswerRelay

    fun begin(request: CallerRequest, relay: AnswerRelay)

    fun callerGone(request: CallerRequest, relay: AnswerRelay)
}

internal class CallerHandler(
    private val service: CallerService,
    private val sendTimeout: Duration
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    private class Open(val request: CallerRequest, val relay: AnswerRelay)

    private val waiting = ArrayDeque<FullHttpRequest>()
    private var open: Open? = null
    private var closeAfter = false
    private var deadline: Future<*>? = null

    override fun channelActive(context: ChannelHandlerContext) {
        awaitRequest(context)
        context.fireChannelActive()
    }

    override fun channelRead0(context: ChannelHandlerContext, http: FullHttpRequest) {
        deadline?.cancel(false)
        if (open != null) {
            // Pipelined requests are answered in order; more than a few at once are refused.
            if (waiting.size >= MAX_PIPELINED) context.close() else waiting.addLast(http.retain())
            return
        }
        handle(context, http)
    }

    private fun handle(context: ChannelHandlerContext, http: FullHttpRequest) {
        closeAfter = !HttpUtil.isKeepAlive(http)
        val failure = http.decoderResult().cause()
        if (failure != null) {
            closeAfter = true
            refuse(context, ErrorKind.MALFORMED_REQUEST, failure.message)
            return
        }
        when (http.uri().substringBefore('?')) {
            "/healthz" -> page(context, HttpResponseStatus.OK, "text/plain", "ok\n")

            "/readyz" -> readyPage(context)

            "/metrics" ->
                page(context, HttpResponseStatus.OK, METRICS_TYPE, service.metrics.scrape())

            else -> serve(context, http)
        }
    }

    private fun readyPage(context: ChannelHandlerContext) {
        if (service.ready) {
            page(context, HttpResponseStatus.OK, "text/plain", "ready\n")
        } else {
            page(context, HttpResponseStatus.SERVICE_UNAVAILABLE, "text/plain", "not ready\n")
        }
    }

    private fun serve(context: ChannelHandlerContext, http: FullHttpRequest) {
        val directory = service.directory
        if (directory == null) {
            refuse(context, ErrorKind.NOT_CONFIGURED, null)
            return
        }
        when (val read = RequestReader(directory).read(http)) {
            is ReadRequest.Refused -> refuse(context, read.kind, read.detail)
            is ReadRequest.Valid -> start(context, read.request)
        }
    }

    private fun start(context: ChannelHandlerContext, request: CallerRequest) {
        val customer = request.customer.value
        if ((service.openAnswers[customer] ?: 0) >= service.streamsPerCustomer) {
            refuse(context, ErrorKind.TOO_MANY_REQUESTS, null)
            return
        }
        service.openAnswers.merge(customer, 1, Int::plus)
        val writer = HttpAnswerWriter(context.channel(), request) { answered(context) }
        val relay = service.relayFor(request, writer)
        open = Open(request, relay)
        service.begin(request, relay)
    }

    private fun answered(context: ChannelHandlerContext) {
        forgetOpen()
        if (closeAfter) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
            return
        }
        next(context)
    }

    private fun forgetOpen() {
        val customer = open?.request?.customer?.value ?: return
        open = null
        service.openAnswers.computeIfPresent(customer) { _, n -> (n - 1).takeIf { it > 0 } }
    }

    private fun next(context: ChannelHandlerContext) {
        val http = waiting.removeFirstOrNull()
        if (http == null) {
            awaitRequest(context)
            return
        }
        try {
            handle(context, http)
        } finally {
            ReferenceCountUtil.release(http)
        }
    }

    /** A caller that doesn't send a whole request in time is told so and disconnected. */
    private fun awaitRequest(context: ChannelHandlerContext) {
        deadline?.cancel(false)
        deadline = context.executor().schedule(
            {
                if (open == null) {
                    writeError(context.channel(), ErrorKind.REQUEST_TIMEOUT, null, null)
                    context.close()
                }
            },
            sendTimeout.inWholeMilliseconds,
            TimeUnit.MILLISECONDS
        )
    }

    private fun refuse(context: ChannelHandlerContext, kind: ErrorKind, detail: String?) {
        service.metrics.refused(null, kind)
        log(LogEvent.REQUEST_MALFORMED, "kind" to kind.code, "detail" to detail)
        writeError(context.channel(), kind, detail, null)
        answered(context)
    }

    private fun page(
        context: ChannelHandlerContext,
        status: HttpResponseStatus,
        type: String,
        text: String
    ) {
        val bytes = Unpooled.copiedBuffer(text, Charsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes)
        response.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, type)
            .set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes())
        context.writeAndFlush(response)
        answered(context)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        deadline?.cancel(false)
        waiting.forEach { ReferenceCountUtil.release(it) }
        waiting.clear()
        open?.let { service.callerGone(it.request, it.relay) }
        forgetOpen()
        context.fireChannelInactive()
    }

    private companion object {
        const val MAX_PIPELINED = 8
        const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
    }
}
