package org.hemlockpond.router.entry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class CallerIdleTimeoutTest {
    private val idleTimeout = CallerIdleTimeout(initial = 15.seconds, overlap = 30.seconds)

    @Test
    fun initialTimeoutAppliesUntilTheFirstConfiguration() {
        assertEquals(15.seconds, idleTimeout.longest(now = 0.seconds))
        idleTimeout.update(4.seconds, now = 1.seconds)
        assertEquals(4.seconds, idleTimeout.longest(now = 1.seconds))
    }

    /**
     * Guards against closing a connection while its caller still relies on the previous timeout.
     */
    @Test
    fun longerTimeoutAppliesDuringTheOverlap() {
        idleTimeout.update(8.seconds, now = 0.seconds)
        idleTimeout.update(4.seconds, now = 10.seconds)
        idleTimeout.update(2.seconds, now = 20.seconds)
        assertEquals(8.seconds, idleTimeout.longest(now = 39.seconds))
        assertEquals(4.seconds, idleTimeout.longest(now = 40.seconds))
        assertEquals(2.seconds, idleTimeout.longest(now = 50.seconds))
    }

    @Test
    fun longerTimeoutAppliesImmediately() {
        idleTimeout.update(4.seconds, now = 0.seconds)
        idleTimeout.update(9.seconds, now = 1.seconds)
        assertEquals(9.seconds, idleTimeout.longest(now = 1.seconds))
    }
}
