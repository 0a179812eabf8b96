/*
 * Splits a stream of server-sent events into its data fields
 * (https://html.spec.whatwg.org/multipage/server-sent-events.html).
 */
package org.hemlockpond.router.endpoint

import java.io.ByteArrayOutputStream

/**
 * Decodes events that arrive in arbitrary parts.
 *
 * @param maxEventBytes the longest event accepted; a longer one fails the decoder
 */
internal class SseDecoder(private val maxEventBytes: Int = 1024 * 1024) {
    private val line = ByteArrayOutputStream()
    private val data = StringBuilder()
    private var hasData = false
    private var afterCarriageReturn = false

    /** Whether an event was longer than the limit. */
    var failed = false
        private set

    /** Adds bytes and returns the data of the events that they complete. */
    fun add(bytes: ByteArray): List<String> {
        val events = mutableListOf<String>()
        for (byte in bytes) {
            val char = byte.toInt()
            if (char == LINE_FEED && afterCarriageReturn) {
                afterCarriageReturn = false
                continue
            }
            afterCarriageReturn = char == CARRIAGE_RETURN
            if (char == LINE_FEED || char == CARRIAGE_RETURN) {
                endLine()?.let { events += it }
            } else {
                line.write(char)
            }
            if (line.size() + data.length > maxEventBytes) {
                failed = true
                return events
            }
        }
        return events
    }

    private fun endLine(): String? {
        val text = line.toString(Charsets.UTF_8)
        line.reset()
        if (text.isEmpty()) {
            val event = if (hasData) data.toString() else null
            data.clear()
            hasData = false
            return event
        }
        if (text.substringBefore(':') == "data") {
            if (hasData) data.append('\n')
            data.append(text.substringAfter(':', "").removePrefix(" "))
            hasData = true
        }
        return null
    }

    private companion object {
        const val LINE_FEED = '\n'.code
        const val CARRIAGE_RETURN = '\r'.code
    }
}
