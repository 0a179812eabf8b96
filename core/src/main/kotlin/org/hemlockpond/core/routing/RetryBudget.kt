/*
 * Limits retries to a fraction of first attempts, so that retries can't multiply the load on
 * endpoints that fail because of overload.
 */
package org.hemlockpond.core.routing

import kotlin.math.min

internal class RetryBudget(private val ratio: Double, private val burst: Double) {
    private var available = burst

    /** Adds the retry credit of one first attempt. */
    fun deposit() {
        available = min(burst, available + ratio)
    }

    /** Takes the credit for one retry; returns false if there is none. */
    fun tryWithdraw(): Boolean {
        if (available < 1.0) return false
        available -= 1.0
        return true
    }
}
