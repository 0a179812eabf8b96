package org.hemlockpond.router.entry

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EventSplitterTest {
    private fun EventSplitter.addText(text: String): String =
        add(Unpooled.copiedBuffer(text, Charsets.UTF_8)).text()

    private fun ByteBuf.text(): String = toString(Charsets.UTF_8).also { release() }

    /** Guards against losing the id or the end of an event that arrives in single bytes. */
    @Test
    fun eventsArePassedOnWholeHoweverTheyAreDivided() {
        val stream = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\ndata: c\n\nid: 3\nda"
        for (size in 1..stream.length) {
            val splitter = EventSplitter()
            val whole = stream.chunked(size).joinToString("") { splitter.addText(it) }
            assertEquals(stream.removeSuffix("id: 3\nda"), whole, "parts of $size")
            assertEquals(3, splitter.events, "parts of $size")
            assertEquals("2", splitter.lastId, "parts of $size")
            assertEquals("id: 3\nda".length, splitter.pendingBytes, "parts of $size")
        }
    }

    /** Guards against passing on what another endpoint sends in place of the rest of a stream. */
    @Test
    fun eventsOfAResumedStreamFollowThoseBefore() {
        val notTheRest = listOf(
            "id: 7\ndata: a\n\n",
            "id: 3\ndata: a\n\n",
            "data: a\n\n",
            "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
        )
        for (text in notTheRest) {
            for (size in 1..text.length) {
                val splitter = EventSplitter()
                splitter.addText("id: 7\ndata: a\n\nid: 8\nda")
                splitter.dropRest()
                splitter.resume()
                val parts = (": comment\n\nid: 9\ndata: b\n\n" + text).chunked(size)
                val whole = parts.joinToString("") {
                    if (splitter.isInterrupted) "" else splitter.addText(it)
                }
                assertEquals(": comment\n\nid: 9\ndata: b\n\n", whole, "parts of $size")
                assertTrue(splitter.isInterrupted, text)
                assertEquals("9", splitter.lastId)
            }
        }
    }

    /** Guards against breaking off streams whose ids aren't numbers. */
    @Test
    fun idsThatAreNoNumbersOnlyMustDiffer() {
        val splitter = EventSplitter()
        splitter.addText("id: b\ndata: a\n\n")
        splitter.resume()
        assertEquals("id: a\ndata: b\n\n", splitter.addText("id: a\ndata: b\n\n"))
        assertFalse(splitter.isInterrupted)
    }

    /** Guards against joining the rest of a broken attempt with the events of the next one. */
    @Test
    fun droppedRestIsNotPartOfTheNextEvent() {
        val splitter = EventSplitter()
        splitter.addText("id: 7\nda")
        splitter.dropRest()
        assertEquals("data: b\n\n", splitter.addText("data: b\n\n"))
        assertEquals(null, splitter.lastId)
        assertEquals("", splitter.addText("rest"))
        assertEquals("rest".length, splitter.pendingBytes)
        splitter.dropRest()
        assertEquals(0, splitter.pendingBytes)
    }
}
