/*
 * Distinguishes a peer that has ended its output from a connection that was lost. Netty's HTTP codec
 * ends an answer without a length whenever the channel closes, but only the end of the peer's output
 * shows that such an answer is complete. A lost connection isn't always seen as a failed read: if a
 * write fails first, Netty closes the channel without an exception.
 *
 * A process that ends while its system holds unread bytes may end its output before the connection is
 * reset. While a request is still being written, the end of the output therefore counts only once the
 * rest has been written. Megabytes of it may then still be in the system's send buffer, where a reset
 * discards them unnoticed. If a large request was written recently, the end of an answer without a length
 * counts after a short time and a further write, which fails if the connection has been reset by then.
 */
package org.hemlockpond.store

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
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
 *
 * @param endsAnswer whether the end of the peer's output would be the end of an answer
 */
class ConnectionLossHandler(private val endsAnswer: () -> Boolean = { true }) :
    ChannelDuplexHandler() {
    private var pendingWrites = 0

    /** The bytes of the last writes that were less than [RECENT_MILLIS] apart. */
    private var recentBytes = 0L
    private var lastWriteAt = 0L
    private var isEndPending = false
    private var hasInputEnded = false
    private var hasFailed = false

    override fun handlerAdded(context: ChannelHandlerContext) {
        // Netty reports the end of the input only to channels with this option.
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
    }

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        pendingWrites++
        val size = (message as? ByteBuf)?.readableBytes() ?: 0
        val written = promise.unvoid().addListener {
            pendingWrites--
            noteWritten(context, size)
            if (isEndPending && it.isSuccess && pendingWrites == 0) outputEnded(context)
        }
        context.write(message, written)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        when {
            event !is ChannelInputShutdownEvent -> context.fireUserEventTriggered(event)

            // Netty shuts the input down after a failed read too.
            hasFailed -> context.close()

            pendingWrites == 0 -> outputEnded(context)

            else -> {
                isEndPending = true
                val close = Runnable { context.close() }
                context.executor().schedule(close, MAX_HALF_CLOSED_SECONDS, TimeUnit.SECONDS)
            }
        }
    }

    private fun now(context: ChannelHandlerContext) =
        TimeUnit.NANOSECONDS.toMillis(context.executor().ticker().nanoTime())

    private fun noteWritten(context: ChannelHandlerContext, bytes: Int) {
        val now = now(context)
        if (now - lastWriteAt > RECENT_MILLIS) recentBytes = 0
        recentBytes += bytes
        lastWriteAt = now
    }

    /** The peer has ended its output, and the system has taken all of the request. */
    private fun outputEnded(context: ChannelHandlerContext) {
        val isRecent = now(context) - lastWriteAt <= RECENT_MILLIS
        if (!isRecent || recentBytes < LARGE_REQUEST_BYTES || !endsAnswer()) {
            endInput(context)
            return
        }
        isEndPending = true
        val check = Runnable { if (context.channel().isActive) checkReset(context) }
        context.executor().schedule(check, RESET_GRACE_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** HTTP servers skip an empty line after a request. */
    private fun checkReset(context: ChannelHandlerContext) {
        val written = context.writeAndFlush(Unpooled.copiedBuffer("\r\n", Charsets.US_ASCII))
        // A full send buffer shows that the connection hasn't been reset.
        if (!written.isDone || written.isSuccess) endInput(context) else context.close()
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

        /** How long the end of an answer is held back; several round trips between failure domains. */
        const val RESET_GRACE_MILLIS = 100L

        /** A smaller request reaches the peer's system before its answer. */
        const val LARGE_REQUEST_BYTES = 64 * 1024

        /** Within this time the system has sent what its send buffer holds, also on a slow link. */
        private const val RECENT_MILLIS = 15_000L
    }
}
