/*
 * Bounds the spend of a router that ends without returning its slices. The next run on its host can
 * then recover the unspent part of them.
 *
 * A router stores a mark with a number of tokens that it may have used by then, a rate in tokens per
 * second and a ceiling. From then on it uses no more than the mark allows at that rate. The mark is
 * renewed often while the store answers. During a longer store outage the rate expires, and only the
 * ceiling limits the router. The latest time at which a router can have ended gives an upper bound on
 * its spend; after a power loss no clock shows that time, and the ceiling is the bound.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlinx.serialization.Serializable
import org.hemlockpond.core.CustomerId

/**
 * Limit on the use of one slice.
 *
 * @property used tokens that the router may have used since the slice was created, by the time of
 *   the mark
 * @property pace tokens that each second after the mark adds
 * @property ceiling tokens that the router uses at most until it stores another mark; null if only
 *   the slice limits it
 */
@Serializable
data class MarkedUse(val used: Long, val pace: Long, val ceiling: Long? = null)

/**
 * Limits on the use of all slices of one router run.
 *
 * @property use limit by customer; customers that are missing have no known limit
 * @property lapseMillis how long the paces are valid, in milliseconds; 0 means that they never expire
 */
@Serializable
data class SpendMark(val use: Map<CustomerId, MarkedUse>, val lapseMillis: Long = 0) {
    /** Most tokens that [customer] can have used [elapsed] after the mark; null if unknown. */
    fun usedAtMost(customer: CustomerId, elapsed: Duration): Long? {
        val marked = use[customer] ?: return null
        if (lapseMillis > 0 && elapsed >= lapseMillis.milliseconds) return marked.ceiling
        val seconds = elapsed.coerceAtLeast(Duration.ZERO).toDouble(DurationUnit.SECONDS)
        val used = marked.used + (marked.pace * seconds).toLong()
        return minOf(used, marked.ceiling ?: used)
    }

    /**
     * The final mark of a run that ended [elapsed] after this mark, which is infinite if unknown; the
     * final mark never expires.
     */
    fun ended(elapsed: Duration): SpendMark = SpendMark(
        use.keys.mapNotNull { customer ->
            usedAtMost(customer, elapsed)?.let { customer to MarkedUse(used = it, pace = 0) }
        }.toMap()
    )
}
