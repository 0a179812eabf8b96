package org.hemlockpond.core.entry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StopScheduleTest {
    private val begun = 100.seconds
    private val schedule = StopSchedule(begun, limit = 8.seconds, lastAcceptDelay = 3.seconds)

    /** Guards against refusing callers that the platform still sends. */
    @Test
    fun everyRequestIsTakenWhileThePlatformSendsCallers() {
        val now = begun + 2_999.milliseconds
        assertTrue(schedule.acceptsAll(now))
        assertTrue(schedule.accepts(deadline = now + 15.seconds, now))
    }

    /** Guards against taking what is cut off at the stop limit. */
    @Test
    fun lateRequestIsTakenOnlyIfItEndsInTime() {
        val now = begun + 3.seconds
        assertFalse(schedule.acceptsAll(now))
        assertTrue(schedule.accepts(schedule.answersUntil, now))
        assertFalse(schedule.accepts(schedule.answersUntil + 1.milliseconds, now))
    }

    /** Guards against a stop limit that is shorter than the time in which all requests are taken. */
    @Test
    fun shortStopKeepsHalfOfItsTimeForOpenRequests() {
        val short = StopSchedule(begun, limit = 2.seconds, lastAcceptDelay = 3.seconds)
        assertTrue(short.acceptsAll(begun + 999.milliseconds))
        assertFalse(short.acceptsAll(begun + 1.seconds))
        assertTrue(short.answersUntil > begun + 1.seconds)
        assertTrue(short.answersUntil < begun + 2.seconds)
    }

    @Test
    fun refusedCallersReturnSpread() {
        val delays = List(20) { schedule.retryAfter() }
        assertEquals(delays.size, delays.distinct().size)
        assertTrue(delays.all { it in 100.milliseconds..400.milliseconds })
    }
}
