/*
 * An exponentially decaying average of the tokens that are asked for in a second.
 */
package org.hemlockpond.core.budget

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Measures the demand of one customer at one router.
 *
 * @param start the time over which the first tokens are averaged; a shorter time would turn the
 *   first large request into a huge rate
 */
internal class Demand(span: Duration, start: Duration) {
    private val spanSeconds = span.toDouble(DurationUnit.SECONDS)
    private val minWeight = start.toDouble(DurationUnit.SECONDS)
    private var tokens = 0.0
    private var weight = 0.0
    private var last: Duration? = null

    fun add(amount: Long, at: Duration) {
        decay(at)
        tokens += amount
    }

    /** Tokens a second; [open] ones are asked for and not added yet. */
    fun rate(at: Duration, open: Long = 0): Double {
        decay(at)
        return (tokens + open) / maxOf(weight, minWeight)
    }

    private fun decay(at: Duration) {
        val dt = last?.let { (at - it).toDouble(DurationUnit.SECONDS) } ?: 0.0
        last = at
        if (dt <= 0) return
        val factor = exp(-dt / spanSeconds)
        tokens *= factor
        weight = weight * factor + spanSeconds * (1 - factor)
    }
}
