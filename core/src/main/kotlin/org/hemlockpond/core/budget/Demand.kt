/*
 * An exponentially decaying average of the tokens that are asked for in a second.
 */
package org.hemlockpond.core.budget

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Measures the demand of one customer at one router. */
internal class Demand(span: Duration) {
    private val spanSeconds = span.toDouble(DurationUnit.SECONDS)
    private var tokens = 0.0
    private var weight = 0.0
    private var last: Duration? = null

    fun add(amount: Long, at: Duration) {
        decay(at)
        tokens += amount
    }

    /** Tokens a second. */
    fun rate(at: Duration): Double {
        decay(at)
        return tokens / maxOf(weight, MIN_WEIGHT_SECONDS)
    }

    private fun decay(at: Duration) {
        val dt = last?.let { (at - it).toDouble(DurationUnit.SECONDS) } ?: 0.0
        last = at
        if (dt <= 0) return
        val factor = exp(-dt / spanSeconds)
        tokens *= factor
        weight = weight * factor + spanSeconds * (1 - factor)
    }

    private companion object {
        // A shorter time would turn the first large request into a huge rate.
        const val MIN_WEIGHT_SECONDS = 10.0
    }
}
