/*
 * An exponentially decaying average, per second, of the tokens that served requests used and that
 * refused requests asked for.
 */
package org.hemlockpond.core.budget

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Measures the demand of one customer at one router.
 *
 * @param span time constant of the average
 * @param start shortest time over which tokens are averaged; a shorter time would turn the first
 *   large request into a very high rate
 */
internal class Demand(span: Duration, start: Duration) {
    private val spanSeconds = span.toDouble(DurationUnit.SECONDS)
    private val minWeightSeconds = start.toDouble(DurationUnit.SECONDS)
    private var tokens = 0.0
    private var weightSeconds = 0.0
    private var lastDecayAt: Duration? = null

    fun add(amount: Long, at: Duration) {
        decay(at)
        tokens += amount
    }

    /** Tokens per second at time [at], including [open] tokens that haven't been added yet. */
    fun rate(at: Duration, open: Long = 0): Double {
        decay(at)
        return (tokens + open) / maxOf(weightSeconds, minWeightSeconds)
    }

    private fun decay(at: Duration) {
        val elapsedSeconds = lastDecayAt?.let { (at - it).toDouble(DurationUnit.SECONDS) } ?: 0.0
        lastDecayAt = at
        if (elapsedSeconds <= 0) return
        val factor = exp(-elapsedSeconds / spanSeconds)
        tokens *= factor
        weightSeconds = weightSeconds * factor + spanSeconds * (1 - factor)
    }
}
