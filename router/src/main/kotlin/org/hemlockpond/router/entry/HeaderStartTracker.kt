/*
 * Notes when the first byte of a request came whose headers aren't whole yet. It stands before the
 * codec, and [DecodedHandler] behind it.
 */
package org.hemlockpond.router.entry

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import kotlin.time.Duration

internal class HeaderStartTracker(private val now: () -> Duration) :
    ChannelInboundHandlerAdapter() {
    /** When the unfinished headers began; null between requests and within a body. */
    var headersStartedAt: Duration? = null
        private set
    private var inBody = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (!inBody && headersStartedAt == null) headersStartedAt = now()
        context.fireChannelRead(message)
    }

    inner class DecodedHandler : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is HttpRequest) {
                headersStartedAt = null
                inBody = true
            }
            if (message is LastHttpContent) inBody = false
            context.fireChannelRead(message)
        }
    }
}
