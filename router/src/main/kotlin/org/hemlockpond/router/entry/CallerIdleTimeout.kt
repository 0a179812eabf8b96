package org.hemlockpond.router.entry

import kotlin.time.Duration

/**
 * The idle timeout of callers' connections. After a change, callers may still rely on the previous
 * timeout, so the longer one applies for [overlap].
 *
 * @param initial the timeout before the first configuration
 */
internal class CallerIdleTimeout(private val initial: Duration, private val overlap: Duration) {
    private class Replaced(val timeout: Duration, val until: Duration)

    private var current: Duration? = null
    private val replaced = ArrayList<Replaced>(1)

    /** Sets [timeout] from a new configuration. */
    fun update(timeout: Duration, now: Duration) {
        replaced.removeAll { it.until <= now }
        current?.let { replaced += Replaced(it, now + overlap) }
        current = timeout
    }

    /** The longest timeout that a caller may rely on. */
    fun longest(now: Duration): Duration = maxOf(
        current ?: initial,
        replaced.filter { it.until > now }.maxOfOrNull { it.timeout } ?: Duration.ZERO
    )
}
