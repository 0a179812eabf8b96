/*
 * Computes the Retry-After of requests that are refused for lack of tokens. During an outage of the
 * store, which lasts for seconds, callers that retry immediately would be refused again by the same
 * hosts. While the store answers, tokens move between hosts within a report interval.
 */
package org.hemlockpond.core.entry

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * @property minWithStore the minimum delay while the store answers: the interval of slice reports
 * @property minWithoutStore the minimum delay during an outage. Outages last for several seconds,
 *   and callers wait for at most a third of their time.
 * @property jitter the maximum addition as a fraction of the minimum delay, which spreads
 *   the callers' retries
 */
class TokenRetryAfter(
    random: Random = Random.Default,
    private val minWithStore: Duration = 1.seconds,
    private val minWithoutStore: Duration = 3.seconds,
    private val jitter: Double = 0.5
) {
    private val spread = RetrySpread(random)

    fun delay(isStoreReachable: Boolean): Duration {
        val min = if (isStoreReachable) minWithStore else minWithoutStore
        return min * (1 + jitter * spread.next())
    }
}
