/*
 * Bounds what a router can have spent when it ends without a word, so that the next run on its host
 * gets the rest of its slices back.
 *
 * A router stores a mark with what it has spent and a pace. From then on it spends no more than the
 * mark allows: what it says, and the pace for each second since. While the store answers, the mark
 * is renewed often. Once the store has been away for a while the mark lapses, and the router spends
 * whatever its slices hold. Whoever knows that the router has ended, and when at the latest, knows
 * its greatest spend.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlinx.serialization.Serializable
import org.hemlockpond.core.CustomerId

/**
 * What one slice may have used.
 *
 * @property used tokens since the slice was created
 * @property pace tokens that each further second adds
 */
@Serializable
data class MarkedUse(val used: Long, val pace: Long)

/**
 * What one run of a router may have used.
 *
 * @property use by customer; nothing is known of those that are missing
 * @property lapseMillis how long the mark holds; 0: for good
 */
@Serializable
data class SpendMark(val use: Map<CustomerId, MarkedUse>, val lapseMillis: Long = 0) {
    /** The most that [customer] can have used [elapsed] after the mark; null if that is unknown. */
    fun usedAtMost(customer: CustomerId, elapsed: Duration): Long? {
        val marked = use[customer] ?: return null
        if (lapseMillis > 0 && elapsed >= lapseMillis.milliseconds) return null
        val seconds = elapsed.coerceAtLeast(Duration.ZERO).toDouble(DurationUnit.SECONDS)
        return marked.used + (marked.pace * seconds).toLong()
    }

    /** The mark of a run that ended [elapsed] after it. */
    fun ended(elapsed: Duration): SpendMark = SpendMark(
        use.keys.mapNotNull { customer ->
            usedAtMost(customer, elapsed)?.let { customer to MarkedUse(used = it, pace = 0) }
        }.toMap()
    )
}
