package org.hemlockpond.router.endpoint

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import net.jqwik.api.ForAll
import net.jqwik.api.Property

class SseDecoderTest {
    /** Guards against pieces lost or merged where the network splits an event. */
    @Property(tries = 200, seed = "4711")
    fun splittingTheBytesDoesNotMatter(@ForAll seed: Int) {
        val random = Random(seed)
        val expected =
            List(random.nextInt(1, 8)) { i -> "{\"n\":$i,\"t\":\"énd ${random.nextInt()}\"}" }
        val ends = listOf("\n", "\r\n", "\r")
        val end = ends[random.nextInt(ends.size)]
        val bytes = expected.joinToString("") { ": note${end}id: 1${end}data: $it$end$end" }
            .toByteArray()
        val decoder = SseDecoder()
        val events = mutableListOf<String>()
        var at = 0
        while (at < bytes.size) {
            val next = minOf(bytes.size, at + random.nextInt(1, 9))
            events += decoder.add(bytes.copyOfRange(at, next))
            at = next
        }
        assertEquals(expected, events)
    }

    /** Guards against an endpoint that fills the router's memory with one event. */
    @Test
    fun eventOverTheLimitFails() {
        val decoder = SseDecoder(maxEventBytes = 16)
        decoder.add("data: 0123456789012345".toByteArray())
        assertTrue(decoder.failed)
    }
}
