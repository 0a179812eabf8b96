/*
 * The bodies of requests that are being read or are held for further attempts. Each has a limit of its
 * own, but many long ones at once could together use up the direct memory of the process. A request
 * that states its length therefore reserves the room for it before any of it is read.
 */
package org.hemlockpond.router.entry

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.UnpooledByteBufAllocator
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hemlockpond.core.entry.RetrySpread

/**
 * Counts the memory of all bodies; used on the event loop alone.
 *
 * @param limit the maximum number of bytes of all bodies together
 */
internal class RequestBodies(private val limit: Int) {
    private val spread = RetrySpread(Random.Default)

    /** Allocates what is too large for the pool, which keeps a larger piece while a part of it is used. */
    val unpooled: ByteBufAllocator = BoundedAllocator(UnpooledByteBufAllocator.DEFAULT)

    /** Long bodies leave the rest of the limit to short ones. */
    private val longLimit = (limit * LONG_SHARE).toInt()

    /** The bytes that are reserved for bodies. */
    var reservedBytes = 0
        private set

    /** The length of the longest body for which there can be room. */
    val maxLength: Int get() = longLimit

    /** When a caller may try again that found no room. */
    val retryAfter: Duration get() = MIN_RETRY * (1 + spread.next())

    /**
     * Begins a body of [length] bytes, or 0 if the request doesn't state it; null if there is no room.
     *
     * @param pool allocates the memory of short bodies
     */
    fun begin(length: Int, pool: ByteBufAllocator): RequestBody? =
        if (reserve(length, total = length)) RequestBody(this, pool, length) else null

    /** Reserves [bytes] more for a body that then takes [total] bytes; false if there is no room. */
    fun reserve(bytes: Int, total: Int): Boolean {
        val max = if (total > MAX_SHORT_BYTES) longLimit else limit
        if (bytes > max - reservedBytes) return false
        reservedBytes += bytes
        return true
    }

    fun release(bytes: Int) {
        reservedBytes -= bytes
    }

    private companion object {
        const val LONG_SHARE = 0.75

        /** Bodies up to this length, in bytes, count as short. */
        const val MAX_SHORT_BYTES = 128 * 1024

        /** A long body is read and answered within about a second. */
        val MIN_RETRY = 300.milliseconds
    }
}

/**
 * One body. It copies what it holds, because a part that refers to a buffer of the connection would keep
 * the whole buffer, and returns its room when its memory is released.
 */
internal class RequestBody(
    private val bodies: RequestBodies,
    private val pool: ByteBufAllocator,
    private var reserved: Int
) : CompositeByteBuf(pool, true, Int.MAX_VALUE) {
    /**
     * Adds the readable bytes of [bytes]; false if there is no room for them.
     *
     * @throws DirectMemoryUsedUp if other holders have used up the direct memory
     */
    fun append(bytes: ByteBuf): Boolean {
        while (bytes.isReadable) {
            if (writerIndex() == capacity() && !addSegment(bytes.readableBytes())) return false
            writeBytes(bytes, minOf(bytes.readableBytes(), capacity() - writerIndex()))
        }
        return true
    }

    private fun addSegment(needed: Int): Boolean {
        val used = capacity()
        if (reserved == used) {
            val more = needed.coerceAtLeast(used).coerceIn(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES)
            if (!bodies.reserve(more, total = used + more)) return false
            reserved += more
        }
        val size = minOf(reserved - used, MAX_SEGMENT_BYTES)
        val allocator = if (size < MIN_UNPOOLED_BYTES) pool else bodies.unpooled
        addComponent(false, allocator.directBuffer(size, size).writerIndex(size))
        return true
    }

    override fun deallocate() {
        super.deallocate()
        bodies.release(reserved)
    }

    private companion object {
        /** The memory, in bytes, by which a body of unknown length grows. */
        const val MIN_SEGMENT_BYTES = 1024
        const val MAX_SEGMENT_BYTES = 64 * 1024

        const val MIN_UNPOOLED_BYTES = 16 * 1024
    }
}
