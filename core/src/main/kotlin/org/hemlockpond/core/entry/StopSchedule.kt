/*
 * Decides what an entry router takes while it stops.
 *
 * The platform sends callers to other hosts only some seconds after the signal to stop, so requests are
 * taken for that time. Later ones come on connections from before, with a head or body that arrived
 * slowly. Such a request is taken only if it ends, by its own deadline, before the process does.
 */
package org.hemlockpond.core.entry

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * @param begunAt when the signal to stop came, on the monotonic clock
 * @param limit the time from the signal to the end of the process
 * @param lastAcceptDelay how long after the signal every request is taken; at most half of [limit]
 */
class StopSchedule(
    begunAt: Duration,
    limit: Duration,
    lastAcceptDelay: Duration,
    random: Random = Random.Default
) {
    private val spread = RetrySpread(random)
    private val acceptsUntil = begunAt + minOf(lastAcceptDelay, limit / 2)

    /** When requests that are still open are answered with an error, so that the answer is sent. */
    val answersUntil: Duration = begunAt + limit - minOf(ANSWER_TIME, limit / 2)

    /** Whether new connections, and all requests, are taken. */
    fun acceptsAll(now: Duration): Boolean = now < acceptsUntil

    /** Whether a request is taken that has ended by [deadline]. */
    fun accepts(deadline: Duration, now: Duration): Boolean =
        acceptsAll(now) || deadline <= answersUntil

    /** The Retry-After of a refused request: callers return to other hosts. */
    fun retryAfter(): Duration = MIN_RETRY_AFTER + RETRY_AFTER_JITTER * spread.next()

    private companion object {
        /** Time to send the last answers. */
        val ANSWER_TIME = 200.milliseconds
        val MIN_RETRY_AFTER = 100.milliseconds
        val RETRY_AFTER_JITTER = 300.milliseconds
    }
}
