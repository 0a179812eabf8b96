package org.hemlockpond.router.entry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class IdleLimitsTest {
    private val limits = IdleLimits(initial = 15.seconds, overlap = 30.seconds)

    @Test
    fun initialLimitHoldsUntilTheFirstConfiguration() {
        assertEquals(15.seconds, limits.longest(now = 0.seconds))
        limits.changed(4.seconds, now = 1.seconds)
        assertEquals(4.seconds, limits.longest(now = 1.seconds))
    }

    /** Guards against a connection that is closed while its caller goes by the limit before. */
    @Test
    fun longerLimitHoldsOnForTheOverlap() {
        limits.changed(8.seconds, now = 0.seconds)
        limits.changed(4.seconds, now = 10.seconds)
        limits.changed(2.seconds, now = 20.seconds)
        assertEquals(8.seconds, limits.longest(now = 39.seconds))
        assertEquals(4.seconds, limits.longest(now = 40.seconds))
        assertEquals(2.seconds, limits.longest(now = 50.seconds))
    }

    @Test
    fun longerLimitHoldsAtOnce() {
        limits.changed(4.seconds, now = 0.seconds)
        limits.changed(9.seconds, now = 1.seconds)
        assertEquals(9.seconds, limits.longest(now = 1.seconds))
    }
}
