package org.hemlockpond.settings

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange

class QuantitiesTest {
    /** Guards against a unit that is read as another one, such as "m" as milliseconds. */
    @Test
    fun spansHaveTheirUnits() {
        val spans = listOf("200ms", "0s", "90s", "5m", "6h", "7d").map(::parseSpan)
        val expected =
            listOf(200.milliseconds, 0.seconds, 90.seconds, 5.minutes, 6.hours, 7.days)
        assertEquals(expected, spans)
    }

    /** Guards against a decimal unit that passes for a binary one. */
    @Test
    fun sizesHaveTheirUnits() {
        val sizes = listOf("512B", "64KiB", "8MiB", "2GiB").map(::parseSize)
        assertEquals(listOf(512L, 65_536L, 8_388_608L, 2_147_483_648L), sizes)
    }

    /** Guards against text that is accepted with a guessed unit, a sign, a space or an overflow. */
    @Test
    fun otherTextIsRefused() {
        val texts = listOf(
            "", "5", "-5s", "+5s", "5 s", "5S", "5min", "1.5h", "s", "5s5", "٥s",
            "999999999999999999d", "9999999999999999999s", "64kB", "64KB", "64kib", "64 KiB",
            "999999999999999999GiB"
        )
        for (text in texts) {
            assertNull(parseSpan(text), text)
            assertNull(parseSize(text), text)
        }
    }

    /** Guards against a formatter whose text the parser reads as another value. */
    @Property(tries = 500, seed = "2026120403")
    fun formattedValuesReadBack(@ForAll @LongRange(min = 0, max = 1L shl 50) value: Long) {
        assertEquals(value, parseSize(formatSize(value)))
        assertEquals(value.milliseconds, parseSpan(formatSpan(value.milliseconds)))
    }
}
