/*
 * The event loop of an entry router, whose channels allocate direct memory below the JVM's own limit. At
 * that limit the JVM makes an allocation wait for about half a second before it fails, and the event loop
 * with it.
 */
package org.hemlockpond.router.entry

import io.netty.buffer.AbstractByteBufAllocator
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.ByteBufAllocatorMetricProvider
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelPromise
import io.netty.channel.EventLoopGroup
import io.netty.channel.IoEventLoop
import io.netty.channel.IoHandlerFactory
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.SingleThreadIoEventLoop
import io.netty.channel.nio.NioIoHandler
import io.netty.util.internal.PlatformDependent
import java.util.concurrent.Executor

/** Direct memory, in bytes, that buffers of Netty's pool and outside of it have taken. */
internal val usedDirectMemory: Long
    get() = pool.metric().usedDirectMemory() +
        UnpooledByteBufAllocator.DEFAULT.metric().usedDirectMemory()

private val pool = ByteBufAllocator.DEFAULT as ByteBufAllocatorMetricProvider

/** One part is left for the JVM's own buffers and for the size by which the pool grows at once. */
private const val LIMIT_PARTS = 8

private val directMemoryLimit =
    PlatformDependent.maxDirectMemory() / LIMIT_PARTS * (LIMIT_PARTS - 1)

/** An event loop group with one thread for the entry router of this process. */
fun entryEventLoops(): EventLoopGroup = EntryEventLoops(BoundedAllocator(ByteBufAllocator.DEFAULT))

/** An allocation would exceed the limit. Netty closes the connection whose read gets this error. */
internal class DirectMemoryUsedUp(message: String) : OutOfMemoryError(message)

/**
 * Throws [DirectMemoryUsedUp] when [used] bytes and the direct memory that is asked for exceed [limit];
 * otherwise allocates with [delegate].
 */
internal class BoundedAllocator(
    private val delegate: ByteBufAllocator,
    private val limit: Long = directMemoryLimit,
    private val used: () -> Long = { usedDirectMemory }
) : AbstractByteBufAllocator(true) {
    override fun newHeapBuffer(initialCapacity: Int, maxCapacity: Int): ByteBuf =
        delegate.heapBuffer(initialCapacity, maxCapacity)

    override fun newDirectBuffer(initialCapacity: Int, maxCapacity: Int): ByteBuf {
        val now = used()
        if (now + initialCapacity > limit) {
            throw DirectMemoryUsedUp("$now of $limit bytes used, $initialCapacity needed")
        }
        return delegate.directBuffer(initialCapacity, maxCapacity)
    }

    override fun isDirectBufferPooled(): Boolean = delegate.isDirectBufferPooled
}

/** Gives each channel that is registered the [allocator]. */
internal class EntryEventLoops(private val allocator: ByteBufAllocator) :
    MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()) {
    override fun newChild(
        executor: Executor,
        factory: IoHandlerFactory,
        vararg args: Any?
    ): IoEventLoop = object : SingleThreadIoEventLoop(this, executor, factory) {
        override fun register(promise: ChannelPromise): ChannelFuture {
            promise.channel().config().setAllocator(allocator)
            return super.register(promise)
        }
    }
}
