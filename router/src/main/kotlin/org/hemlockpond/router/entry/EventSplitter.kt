/*
 * Splits the bytes of an event stream after the last complete event, so a stream that is
 * interrupted within an event can be resumed after the last complete one.
 */
package org.hemlockpond.router.entry

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

internal class EventSplitter {
    private val pending = Unpooled.buffer(0)

    /** Where the incomplete line begins in [pending]; the bytes before it have been scanned. */
    private var lineStart = 0

    /** The id in the incomplete event; null if it has none yet. */
    private var pendingId: String? = null

    /** The number of complete events so far. */
    var events = 0L
        private set

    /** The id of the last complete event that has one; null if there is none yet. */
    var lastId: String? = null
        private set

    /** The size of the incomplete event in bytes. */
    val pendingBytes: Int get() = pending.readableBytes()

    /**
     * Adds and releases [bytes]; returns the complete events, which the caller must release. Each
     * byte is scanned once, however small the parts are in which an event arrives.
     */
    fun add(bytes: ByteBuf): ByteBuf {
        val from = pending.writerIndex()
        pending.writeBytes(bytes)
        bytes.release()
        var end = 0
        for (i in from until pending.writerIndex()) {
            if (pending.getByte(i) != LINE_FEED) continue
            var length = i - lineStart
            if (length > 0 && pending.getByte(i - 1) == CARRIAGE_RETURN) length--
            if (length == 0) {
                end = i + 1
                events++
                lastId = pendingId ?: lastId
                pendingId = null
            } else {
                pendingId = idField(pending, lineStart, length) ?: pendingId
            }
            lineStart = i + 1
        }
        val whole = pending.readBytes(end)
        pending.discardReadBytes()
        lineStart -= end
        return whole
    }

    private fun idField(bytes: ByteBuf, start: Int, length: Int): String? {
        if (length < ID_FIELD.length) return null
        for (i in ID_FIELD.indices) {
            if (bytes.getByte(start + i) !=
                ID_FIELD[i].code.toByte()
            ) {
                return null
            }
        }
        val value = bytes.toString(
            start + ID_FIELD.length,
            length - ID_FIELD.length,
            Charsets.UTF_8
        )
        return value.removePrefix(" ")
    }

    fun dropRest() {
        pending.clear()
        lineStart = 0
        pendingId = null
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
