/*
 * One connection to an endpoint, which carries one request at a time. Answers to other requests are
 * skipped, and a connection that received unexpected data isn't reused.
 */
package org.hemlockpond.router.entry

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.time.Duration
import org.hemlockpond.core.RequestId

/** Receives what an endpoint sends for one request. Nothing follows [ended] or [broken]. */
internal interface AnswerSink {
    fun head(response: HttpResponse, answer: AnswerHead)

    /** The sink releases [bytes]. */
    fun content(bytes: ByteBuf)

    fun ended()

    /**
     * The answer ended before it was complete.
     *
     * @param crash whether the connection ended before the head of the answer arrived
     */
    fun broken(cause: String, crash: Boolean)
}

internal class EndpointConnection(private val dialect: EntryDialect, private val owner: Owner) :
    ChannelInboundHandlerAdapter() {
    interface Owner {
        /**
         * The connection can be reused. The endpoint keeps it open for [idleTimeout], or for an
         * unknown time if null.
         */
        fun connectionIdle(connection: EndpointConnection, idleTimeout: Duration?)

        fun connectionClosed(connection: EndpointConnection)
    }

    private class Exchange(val id: RequestId, val sink: AnswerSink) {
        var answerStarted = false
        var lengthKnown = false
    }

    lateinit var channel: Channel
        private set
    private var exchange: Exchange? = null
    private var skipping = false
    private var reusable = true
    private var requestWritten = false
    private var idleTimeout: Duration? = null

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    fun send(id: RequestId, request: FullHttpRequest, sink: AnswerSink) {
        exchange = Exchange(id, sink)
        requestWritten = false
        reusable = true
        channel.writeAndFlush(request).addListener {
            requestWritten = it.isSuccess
            // The answer can be complete before a large request has been written.
            if (it.isSuccess && exchange == null &&
                reusable
            ) {
                owner.connectionIdle(this, idleTimeout)
            }
        }
    }

    /** Cancels the current request by closing the connection, which stops work at the endpoint. */
    fun cancel() {
        exchange = null
        reusable = false
        channel.close()
    }

    fun setPaused(paused: Boolean) {
        channel.config().isAutoRead = !paused
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject) {
            ReferenceCountUtil.release(message)
            return
        }
        val current = exchange
        when {
            message.decoderResult().isFailure -> {
                ReferenceCountUtil.release(message)
                fail("unreadable answer", crash = false)
            }

            current == null -> {
                // Data without a current request is unexpected.
                ReferenceCountUtil.release(message)
                reusable = false
                channel.close()
            }

            else -> {
                if (message is HttpResponse) headRead(current, message)
                if (message is HttpContent) contentRead(current, message)
            }
        }
    }

    private fun headRead(current: Exchange, response: HttpResponse) {
        val interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        val answer = dialect.parseAnswerHead(response)
        val foreign = answer.requestId != null && answer.requestId != current.id
        skipping = interim || foreign
        if (interim) return
        if (foreign) {
            reusable = false
            return
        }
        if (!HttpUtil.isKeepAlive(response)) reusable = false
        idleTimeout = answer.idleTimeout
        current.answerStarted = true
        val headers = response.headers()
        current.lengthKnown = HttpUtil.isTransferEncodingChunked(response) ||
            headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        if (!current.lengthKnown) reusable = false
        current.sink.head(response, answer)
    }

    private fun contentRead(current: Exchange, content: HttpContent) {
        val last = content is LastHttpContent
        if (skipping) {
            content.release()
            if (last) skipping = false
            return
        }
        if (content.content().isReadable) {
            current.sink.content(content.content())
        } else {
            content.release()
        }
        if (!last || exchange !== current) return
        exchange = null
        current.sink.ended()
        when {
            !reusable -> channel.close()
            requestWritten -> owner.connectionIdle(this, idleTimeout)
        }
    }

    private fun fail(cause: String, crash: Boolean) {
        reusable = false
        val current = exchange
        exchange = null
        channel.close()
        current?.sink?.broken(cause, crash)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        val answerStarted = exchange?.answerStarted ?: false
        owner.connectionClosed(this)
        fail("connection closed", crash = !answerStarted)
    }

    @Deprecated("Netty's own deprecation of the handler method")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        val answerStarted = exchange?.answerStarted ?: false
        fail(cause.message ?: cause.javaClass.simpleName, crash = !answerStarted)
    }
}
