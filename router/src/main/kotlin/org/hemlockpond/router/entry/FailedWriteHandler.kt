/*
 * Closes a connection when a message can't be written, as without memory for it: the caller would wait
 * for an answer of which a part is missing.
 */
package org.hemlockpond.router.entry

import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise

internal class FailedWriteHandler : ChannelOutboundHandlerAdapter() {
    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        val written = promise.unvoid().addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
        context.write(message, written)
    }
}
