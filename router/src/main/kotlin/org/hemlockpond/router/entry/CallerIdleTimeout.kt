package org.hemlockpond.router.entry

import kotlin.time.Duration

/**
 * How long callers' connections may be idle. After a change, callers may still go by the limit
 * before, so the longer one holds for [overlap].
 *
 * @param initial the limit before the first configuration
 */
internal class CallerIdleTimeout(private val initial: Duration, private val overlap: Duration) {
    private class Replaced(val timeout: Duration, val until: Duration)

    private var current: Duration? = null
    private val replaced = ArrayList<Replaced>(1)

    /** A configuration sets [timeout]. */
    fun update(timeout: Duration, now: Duration) {
        replaced.removeAll { it.until <= now }
        current?.let { replaced += Replaced(it, now + overlap) }
        current = timeout
    }

    /** The longest limit that a caller may go by. */
    fun longest(now: Duration): Duration = maxOf(
        current ?: initial,
        replaced.filter { it.until > now }.maxOfOrNull { it.timeout } ?: Duration.ZERO
    )
}
