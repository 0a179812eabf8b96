package org.hemlockpond.core.entry

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TokenRetryAfterTest {
    private val retryAfter = TokenRetryAfter(Random(1))

    /** Guards against callers that retry while the host still can't reach the store. */
    @Test
    fun delayIsLongerDuringAnOutage() {
        repeat(100) {
            assertTrue(retryAfter.delay(isStoreReachable = false) >= 3.seconds)
            assertTrue(retryAfter.delay(isStoreReachable = true) in 1.seconds..1_500.milliseconds)
        }
    }

    /** Guards against refused callers that all retry at the same time. */
    @Test
    fun delaysAreSpread() {
        val times = List(100) { retryAfter.delay(isStoreReachable = false) }
        assertTrue(times.max() - times.min() >= 1.seconds)
    }

    /** Guards against two callers that are refused in a row and return at the same time. */
    @Test
    fun successiveDelaysDiffer() {
        for (seed in 1..200) {
            val delays = TokenRetryAfter(Random(seed))
            val hundredths = List(5) {
                delays.delay(isStoreReachable = true).inWholeMilliseconds / 10
            }
            assertEquals(hundredths.toSet().size, hundredths.size, "seed $seed: $hundredths")
        }
    }
}
