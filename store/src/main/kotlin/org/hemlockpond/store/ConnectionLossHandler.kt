/*
 * Distinguishes a peer that has ended its output from a connection that was lost. Netty's HTTP codec
 * ends an answer without a length whenever the channel closes, but only the end of the peer's output
 * shows that such an answer is complete. A lost connection isn't always seen as a failed read: if a
 * write fails first, Netty closes the channel without an exception.
 *
 * A process that ends while its system holds unread bytes may end its output before the connection is
 * reset. While a request is still being written, the end of the output therefore counts only once the
 * rest has been written.
 */
package org.hemlockpond.store

import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPromise
import io.netty.channel.socket.ChannelInputShutdownEvent
import java.io.IOException
import java.util.concurrent.TimeUnit

/** The connection was closed before the peer ended its output, or before it read all of a request. */
class ConnectionLostException(message: String) : IOException(message) {
    // Raised at each local close too, where a stack trace says nothing.
    override fun fillInStackTrace(): Throwable = this
}

/**
 * Precedes the HTTP codec of a client. If the channel closes before the peer has ended its output, the
 * handlers that follow receive a [ConnectionLostException] before the codec handles the close.
 */
class ConnectionLossHandler : ChannelDuplexHandler() {
    private var pendingWrites = 0
    private var isEndPending = false
    private var hasInputEnded = false
    private var hasFailed = false

    override fun handlerAdded(context: ChannelHandlerContext) {
        // Netty reports the end of the input only to channels with this option.
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
    }

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        pendingWrites++
        val written = promise.unvoid().addListener {
            pendingWrites--
            if (isEndPending && it.isSuccess && pendingWrites == 0) endInput(context)
        }
        context.write(message, written)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        when {
            event !is ChannelInputShutdownEvent -> context.fireUserEventTriggered(event)

            // Netty shuts the input down after a failed read too.
            hasFailed -> context.close()

            pendingWrites == 0 -> endInput(context)

            else -> {
                isEndPending = true
                val close = Runnable { context.close() }
                context.executor().schedule(close, MAX_HALF_CLOSED_SECONDS, TimeUnit.SECONDS)
            }
        }
    }

    private fun endInput(context: ChannelHandlerContext) {
        hasInputEnded = true
        context.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE)
        context.close()
    }

    @Deprecated("Netty's own deprecation of the handler method")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        hasFailed = true
        context.fireExceptionCaught(cause)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (!hasInputEnded) {
            val suffix = if (isEndPending) " after the end of the peer's output" else ""
            context.fireExceptionCaught(ConnectionLostException("connection lost$suffix"))
        }
        context.fireChannelInactive()
    }

    companion object {
        /**
         * How long a peer that has ended its output may take to read the rest of a request. Callers
         * give a request up after less than that.
         */
        const val MAX_HALF_CLOSED_SECONDS = 15L
    }
}
