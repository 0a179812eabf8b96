/*
 * Time as an input of the decision code, which never reads a clock itself.
 */
package org.hemlockpond.core

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * The time of one event.
 *
 * @property elapsed monotonic time since the process started; used by leases and timeouts
 * @property wall wall-clock time; used by the schedules that operators declare
 */
data class Now(val elapsed: Duration, val wall: Instant) {
    operator fun plus(duration: Duration): Now = Now(elapsed + duration, wall + duration)
}
