/*
 * Distinguishes a peer that has ended its output from a connection that was lost. Netty's HTTP codec
 * ends an answer without a length whenever the channel closes, but only the end of the peer's output
 * shows that such an answer is complete. A lost connection isn't always seen as a failed read: if a
 * write fails first, Netty closes the channel without an exception.
 */
package org.hemlockpond.store

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.ChannelInputShutdownEvent
import java.io.IOException

/** The connection was closed before the peer ended its output. */
class ConnectionLostException : IOException("connection lost") {
    // Raised at each local close too, where a stack trace says nothing.
    override fun fillInStackTrace(): Throwable = this
}

/**
 * Precedes the HTTP codec of a client. If the channel closes before the peer has ended its output, the
 * handlers that follow receive a [ConnectionLostException] before the codec handles the close.
 */
class ConnectionLossHandler : ChannelInboundHandlerAdapter() {
    private var hasInputEnded = false
    private var hasFailed = false

    override fun handlerAdded(context: ChannelHandlerContext) {
        // Netty reports the end of the input only to channels with this option.
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event !is ChannelInputShutdownEvent) {
            context.fireUserEventTriggered(event)
            return
        }
        // Netty shuts the input down after a failed read too.
        if (!hasFailed) {
            hasInputEnded = true
            context.fireUserEventTriggered(event)
        }
        context.close()
    }

    @Deprecated("Netty's own deprecation of the handler method")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        hasFailed = true
        context.fireExceptionCaught(cause)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (!hasInputEnded) context.fireExceptionCaught(ConnectionLostException())
        context.fireChannelInactive()
    }
}
