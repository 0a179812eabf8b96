/*
 * Splits the bytes of an event stream after the last complete event, so a stream that is
 * interrupted within an event can be resumed after the last complete one.
 */
package org.hemlockpond.router.entry

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

internal class EventSplitter {
    private var rest: ByteBuf = Unpooled.EMPTY_BUFFER

    /** The number of complete events so far. */
    var events = 0L
        private set

    /** The id of the last complete event that has one; null if there is none yet. */
    var lastId: String? = null
        private set

    /** The size of the incomplete event in bytes. */
    val pendingBytes: Int get() = rest.readableBytes()

    /** Adds and releases [bytes]; returns the complete events, which the caller must release. */
    fun add(bytes: ByteBuf): ByteBuf {
        val all = if (rest.isReadable) Unpooled.wrappedBuffer(rest, bytes) else bytes
        rest = Unpooled.EMPTY_BUFFER
        var end = all.readerIndex()
        var line = all.readerIndex()
        var id: String? = null
        for (i in all.readerIndex() until all.writerIndex()) {
            if (all.getByte(i) != LINE_FEED) continue
            var length = i - line
            if (length > 0 && all.getByte(i - 1) == CARRIAGE_RETURN) length--
            if (length == 0) {
                end = i + 1
                events++
                lastId = id ?: lastId
            } else {
                id = idField(all, line, length) ?: id
            }
            line = i + 1
        }
        val whole = all.readRetainedSlice(end - all.readerIndex())
        if (all.isReadable) rest = all.copy()
        all.release()
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

    /** Returns the bytes of the incomplete event; the caller must release them. */
    fun takeRest(): ByteBuf = rest.also { rest = Unpooled.EMPTY_BUFFER }

    fun dropRest() {
        takeRest().release()
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
