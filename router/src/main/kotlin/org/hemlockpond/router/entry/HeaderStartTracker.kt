/*
 * Records when the first byte of incomplete request headers arrived. It stands before the HTTP
 * codec in the pipeline, and [DecodedHandler] after it.
 */
package org.hemlockpond.router.entry

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import kotlin.time.Duration

internal class HeaderStartTracker(private val now: () -> Duration) :
    ChannelInboundHandlerAdapter() {
    /**
     * When the first byte of the incomplete headers arrived; null between requests and in a body.
     */
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
