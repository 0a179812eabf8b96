/*
 * Bounds retries to a fraction of first attempts, so that retries can't multiply the load on
 * endpoints that are failing because of load.
 */
package org.hemlockpond.core.routing

import kotlin.math.min

internal class RetryBudget(private val ratio: Double, private val burst: Double) {
    private var available = burst

    fun deposit() {
        available = min(burst, available + ratio)
    }

    fun tryWithdraw(): Boolean {
        if (available < 1.0) return false
        available -= 1.0
        return true
    }
}
