/*
 * The answer to one request on a caller's connection. It is the only way to write to that connection, and
 * ensures that a request gets one answer: a caller takes a second head, or content after the end, for
 * the answer to its next request.
 */
package org.hemlockpond.router.entry

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.hemlockpond.core.RequestId

/** How much of an answer was written. */
internal enum class AnswerState {
    NO_HEAD,
    HEAD_WRITTEN,
    ENDED
}

/** @param writeRefused called with the request and what was not written, if it didn't fit the state */
internal class CallerAnswer(
    private val channel: Channel,
    private val writeRefused: (RequestId?, String) -> Unit
) {
    /** The request that is answered; null if it isn't known or the caller named none. */
    var request: RequestId? = null

    var state = AnswerState.NO_HEAD
        private set

    /** Writes the head of an answer whose content follows. */
    fun begin(head: HttpResponse) {
        if (!mayWrite("head", AnswerState.NO_HEAD)) return
        state = AnswerState.HEAD_WRITTEN
        channel.write(head)
    }

    /** Writes and releases [bytes]. */
    fun add(bytes: ByteBuf) {
        if (mayWrite("content", AnswerState.HEAD_WRITTEN)) {
            channel.writeAndFlush(DefaultHttpContent(bytes))
        } else {
            bytes.release()
        }
    }

    /** Ends an answer that has [begun][begin]. */
    fun end() {
        if (!mayWrite("end", AnswerState.HEAD_WRITTEN)) return
        state = AnswerState.ENDED
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    /** Writes and releases a complete answer; null if it isn't written. */
    fun writeWhole(answer: FullHttpResponse): ChannelFuture? {
        if (!mayWrite("answer", AnswerState.NO_HEAD)) {
            ReferenceCountUtil.release(answer)
            return null
        }
        state = AnswerState.ENDED
        return channel.writeAndFlush(answer)
    }

    /** Ends the answer without writing its rest; the connection has to be closed. */
    fun abandon() {
        state = AnswerState.ENDED
    }

    private fun mayWrite(part: String, required: AnswerState): Boolean {
        if (state == required) return true
        writeRefused(request, "$part, state $state")
        return false
    }
}
