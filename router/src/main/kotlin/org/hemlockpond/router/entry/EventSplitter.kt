/*
 * Splits the bytes of an event stream after the last complete event, so a stream that is
 * interrupted within an event can be resumed after the last complete one. The events of a resumed
 * stream must follow those before: an endpoint may begin again, or send an error in their place.
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

    /** Whether a line of the incomplete event isn't a comment. */
    private var pendingField = false
    private var isResumed = false

    /** Whether an event of a resumed stream didn't follow the one before; nothing after it is split. */
    var isInterrupted = false
        private set

    /** The number of complete events so far; lines that are only comments are none. */
    var events = 0L
        private set

    /** The id of the last complete event that has one; null if there is none yet. */
    var lastId: String? = null
        private set

    /** The size of the incomplete event in bytes. */
    val pendingBytes: Int get() = pending.readableBytes()

    /** The next bytes are those of another endpoint, which resumes the stream after [lastId]. */
    fun resume() {
        isResumed = true
        isInterrupted = false
    }

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
                if (isResumed && pendingField && !followsLast(pendingId)) {
                    isInterrupted = true
                    break
                }
                end = i + 1
                eventEnded()
            } else {
                pendingId = idField(pending, lineStart, length) ?: pendingId
                if (pending.getByte(lineStart) != COLON) pendingField = true
            }
            lineStart = i + 1
        }
        val whole = pending.readBytes(end)
        pending.discardReadBytes()
        lineStart -= end
        return whole
    }

    private fun eventEnded() {
        if (pendingField) events++
        lastId = pendingId ?: lastId
        pendingId = null
        pendingField = false
    }

    /** Ids that are numbers increase within a stream. */
    private fun followsLast(id: String?): Boolean {
        if (id == null) return false
        val number = id.toLongOrNull()
        val lastNumber = lastId?.toLongOrNull()
        return if (number != null && lastNumber != null) number > lastNumber else id != lastId
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
        pendingField = false
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val COLON = ':'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
