/*
 * When a caller may come back whose request was refused for lack of tokens. Answers the load pattern
 * of an outage of the store: it lasts for seconds, and callers that come back at once are refused
 * again by the same hosts. While the store answers, tokens move between hosts within a report
 * interval.
 */
package org.hemlockpond.core.entry

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * @property minWithStore the shortest time while the store answers; the period of slice reports
 * @property minWithoutStore the shortest time while it doesn't; outages last for several seconds, and
 *   callers wait for a third of their time at most
 * @property jitter the part of the shortest time that is added at random, so that callers come back
 *   apart
 */
class TokenRetryAfter(
    private val random: Random = Random.Default,
    private val minWithStore: Duration = 1.seconds,
    private val minWithoutStore: Duration = 3.seconds,
    private val jitter: Double = 0.5
) {
    fun delay(isStoreReachable: Boolean): Duration {
        val min = if (isStoreReachable) minWithStore else minWithoutStore
        return min * (1 + jitter * random.nextDouble())
    }
}
