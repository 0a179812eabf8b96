/*
 * Spreads the times at which refused callers return. Steps of the golden ratio keep any run of
 * successive fractions evenly apart; independent random ones can coincide, and two callers then
 * return at the same time.
 */
package org.hemlockpond.core.entry

import kotlin.random.Random

/** @param random draws the first fraction, so that hosts differ */
class RetrySpread(random: Random) {
    private var fraction = random.nextDouble()

    /** Returns the next fraction, from 0 to 1, of the span over which callers return. */
    fun next(): Double {
        fraction = (fraction + GOLDEN_RATIO_CONJUGATE) % 1.0
        return fraction
    }

    private companion object {
        const val GOLDEN_RATIO_CONJUGATE = 0.6180339887498949
    }
}
