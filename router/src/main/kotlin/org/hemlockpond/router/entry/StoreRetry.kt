/*
 * The delays before one part of a router repeats a call that the store didn't answer. They double, since
 * every host of a fleet repeats its calls at the same time when the store is away or refuses them, and
 * a refusal comes back at once.
 */
package org.hemlockpond.router.entry

import kotlin.time.Duration

/** @param first the delay after the first failure */
internal class StoreRetry(private val first: Duration) {
    private var failures = 0

    fun answered() {
        failures = 0
    }

    /** Returns the delay after another failure: at most eight times the first one. */
    fun next(): Duration = first * (1 shl failures++.coerceAtMost(MAX_DOUBLINGS))

    private companion object {
        const val MAX_DOUBLINGS = 3
    }
}
