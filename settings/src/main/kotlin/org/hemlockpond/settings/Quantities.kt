/*
 * Time spans and sizes with their units, such as "200ms", "6h" and "64KiB". A bare number is
 * refused: its unit can't be seen from the settings.
 */
package org.hemlockpond.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Longest first, so that formatting picks the largest unit that divides the value. */
private val spanUnits = linkedMapOf(
    "d" to 86_400_000L,
    "h" to 3_600_000L,
    "m" to 60_000L,
    "s" to 1_000L,
    "ms" to 1L
)

private val sizeUnits = linkedMapOf(
    "GiB" to (1L shl 30),
    "MiB" to (1L shl 20),
    "KiB" to (1L shl 10),
    "B" to 1L
)

internal const val SPAN_EXPECTED = "a time span such as \"200ms\" or \"6h\" (ms, s, m, h, d)"
internal const val SIZE_EXPECTED = "a size such as \"64KiB\" (B, KiB, MiB, GiB)"

private val quantity = Regex("([0-9]{1,18})([A-Za-z]+)")

/** Parses a time span; null if the text is no number with a unit or doesn't fit. */
fun parseSpan(text: String): Duration? = parseQuantity(text, spanUnits)?.milliseconds

/** Formats a time span in the largest unit that divides it. Parts of a millisecond are dropped. */
fun formatSpan(span: Duration): String = formatQuantity(span.inWholeMilliseconds, spanUnits)

/** Parses a size in bytes; null if the text is no number with a unit or doesn't fit. */
fun parseSize(text: String): Long? = parseQuantity(text, sizeUnits)

/** Formats a size in bytes in the largest unit that divides it. */
fun formatSize(bytes: Long): String = formatQuantity(bytes, sizeUnits)

private fun parseQuantity(text: String, units: Map<String, Long>): Long? {
    val match = quantity.matchEntire(text) ?: return null
    val (digits, unit) = match.destructured
    val factor = units[unit] ?: return null
    return try {
        // Spans stay below half of the range, so that a Duration keeps its milliseconds.
        Math.multiplyExact(digits.toLong(), factor).takeIf { it <= Long.MAX_VALUE / 2 }
    } catch (_: ArithmeticException) {
        null
    }
}

private fun formatQuantity(value: Long, units: Map<String, Long>): String {
    val smallest = units.entries.last()
    val unit = units.entries.firstOrNull { value != 0L && value % it.value == 0L } ?: smallest
    return "${value / unit.value}${unit.key}"
}
