package org.hemlockpond.core.entry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.ErrorKind

class EntryDispatcherTest {
    private val bed = DispatcherTestBed()

    /** Guards against running an unsafe request twice. */
    @Test
    fun unsafeRequestIsNeverSentAgainOnceItMayHaveRun() {
        bed.addEndpoints("e1", "e2")
        val request = bed.submit(bed.request(RetrySafety.UNSAFE))
        bed.attemptEnded(request, AttemptEnd.Broken("reset", crash = true))
        assertEquals(1, bed.sentTo(request).size)
        assertIs<EntryAction.Fail>(bed.lastAction(request))
    }

    /** Guards against refusing a request as not run although it may have run. */
    @Test
    fun requestThatMayHaveRunIsFailedNotRefused() {
        bed.addEndpoints("e1")
        val request = bed.submit(bed.request(maxAttempts = 3))
        bed.removeEndpoint("e1")
        bed.attemptEnded(request, AttemptEnd.Broken("reset", crash = true))
        bed.advance(4.seconds)
        assertIs<EntryAction.Fail>(bed.lastAction(request))
        assertTrue(bed.actions.none { it is EntryAction.Refuse })
    }

    /** Guards against failing an unsafe request that the endpoint refused without running it. */
    @Test
    fun unsafeRequestGoesElsewhereIfTheEndpointSaysThatItDidNotRun() {
        bed.addEndpoints("e1", "e2")
        val request = bed.submit(bed.request(RetrySafety.UNSAFE))
        bed.attemptEnded(request, AttemptEnd.NotRun(misdirected = false))
        assertEquals(2, bed.sentTo(request).toSet().size)
    }

    /** Guards against running a request more often than its route allows. */
    @Test
    fun safeRequestRunsAtMostAsOftenAsItsRouteAllows() {
        bed.addEndpoints("e1", "e2", "e3", "e4")
        val request = bed.submit(bed.request(maxAttempts = 2))
        bed.answered(request, 500)
        bed.answered(request, 500)
        assertEquals(2, bed.sentTo(request).size)
        assertIs<EntryAction.Deliver>(bed.lastAction(request))
    }

    /**
     * Guards against retries that multiply the load; they are bounded to a fraction of the
     * requests.
     */
    @Test
    fun retriesStayWithinTheBudget() {
        bed.addEndpoints("e1", "e2", "e3", "e4")
        repeat(200) {
            val request = bed.submit(bed.request())
            bed.answered(request, 500)
            if (bed.lastAction(request) is EntryAction.Send) bed.answered(request, 500)
            bed.now += 10.milliseconds
        }
        val retries = bed.actions.filterIsInstance<EntryAction.Send>().count { it.attempt > 1 }
        assertTrue(retries in 20..33, "$retries retries of 200 requests")
    }

    /** Guards against restarting an answer that was partly forwarded to the caller. */
    @Test
    fun partlyForwardedAnswerIsNotRetried() {
        bed.addEndpoints("e1", "e2")
        val request = bed.submit(bed.request())
        bed.attemptEnded(request, AttemptEnd.Broken("reset", crash = false), isRetryable = false)
        assertEquals(1, bed.sentTo(request).size)
        assertIs<EntryAction.Fail>(bed.lastAction(request))
    }

    /** Guards against requests that wait until their deadline when no endpoint appears. */
    @Test
    fun requestWithoutEndpointIsRefusedSoonAndSentIfOneComes() {
        val refused = bed.submit(bed.request())
        bed.advance(EntrySettings().noEndpointWait + 50.milliseconds)
        val refusal = assertIs<EntryAction.Refuse>(bed.lastAction(refused))
        assertEquals(ErrorKind.NO_ENDPOINT, refusal.kind)
        val sent = bed.submit(bed.request())
        bed.advance(200.milliseconds)
        bed.addEndpoints("e1")
        assertEquals(listOf("e1"), bed.sentTo(sent))
    }

    /** Guards against sending requests to an endpoint that was removed from the list. */
    @Test
    fun endpointThatLeftGetsNothingNewAndKeepsWhatItHas() {
        bed.addEndpoints("e1", "e2")
        val running = List(4) { bed.submit(bed.request()) }
        bed.removeEndpoint("e1")
        val later = List(4) { bed.submit(bed.request()) }
        assertTrue(later.all { bed.sentTo(it) == listOf("e2") })
        running.forEach { bed.answered(it) }
        assertTrue(running.all { bed.lastAction(it) is EntryAction.Deliver })
    }

    /** Guards against retryable requests that wait for an endpoint that has become silent. */
    @Test
    fun repeatableRequestLeavesASilentEndpointAndAnUnsafeOneStays() {
        bed.addEndpoints("e1")
        val safe = bed.submit(bed.request())
        val unsafe = bed.submit(bed.request(RetrySafety.UNSAFE))
        bed.addEndpoints("e2")
        bed.advance(1_500.milliseconds)
        assertTrue(bed.actions.any { it is EntryAction.CancelAttempt && it.request === safe })
        assertFalse(bed.actions.any { it is EntryAction.CancelAttempt && it.request === unsafe })
        val next = bed.submit(bed.request())
        assertEquals(listOf("e2"), bed.sentTo(next))
    }

    /**
     * Guards against sending request after request into a failure domain that is cut off. Callers
     * disconnect after some seconds; then no answer of the silent endpoint is outstanding any more.
     */
    @Test
    fun silentEndpointThatCallersLeftGetsOneRequestAtATime() {
        bed.addEndpoints("e1")
        val lost = List(4) { bed.submit(bed.request(RetrySafety.UNSAFE)) }
        bed.addEndpoints("e2")
        bed.advance(2.seconds)
        lost.forEach { bed.dispatcher.requestCancelled(it.id, bed.now) }
        val next = List(4) { bed.submit(bed.request(RetrySafety.UNSAFE)) }
        assertTrue(next.all { bed.sentTo(it) == listOf("e2") })
        bed.advance(1.seconds)
        val later = List(4) { bed.submit(bed.request(RetrySafety.UNSAFE)) }
        assertTrue(later.count { bed.sentTo(it) == listOf("e1") } <= 1)
    }

    /** Guards against a request that crashes one endpoint after another. */
    @Test
    fun contentThatCrashedTwoEndpointsIsRefused() {
        bed.addEndpoints("e1", "e2", "e3", "e4")
        val first = bed.submit(bed.request(content = 7, maxAttempts = 4))
        bed.attemptEnded(first, AttemptEnd.Broken("reset", crash = true))
        bed.attemptEnded(first, AttemptEnd.Broken("reset", crash = true))
        assertEquals(2, bed.sentTo(first).size)
        val again = bed.submit(bed.request(content = 7))
        val refusal = assertIs<EntryAction.Refuse>(bed.lastAction(again))
        assertEquals(ErrorKind.SUSPECT_NOT_RUN, refusal.kind)
        // The attempt hasn't run, and a status below 500 would state that the request is at fault.
        assertEquals(503, refusal.kind.status)
        assertEquals(emptyList(), bed.sentTo(again))
    }

    /** Guards against ignoring crashes that only other hosts have seen. */
    @Test
    fun crashesThatOtherHostsRecordedCount() {
        bed.addEndpoints("e1")
        listOf("e8", "e9").forEach { bed.crashReported(it, Suspect.Content(7)) }
        val request = bed.submit(bed.request(content = 7))
        assertIs<EntryAction.Refuse>(bed.lastAction(request))
    }

    /** Guards against late requests that delay those that can still meet their goal. */
    @Test
    fun waitingRequestsAreSentByGoalThenRankThenArrival() {
        bed.addEndpoints("e1")
        val running = List(6) { bed.submit(bed.request()) }
        val low = bed.submit(bed.request(rank = 3, goal = 2.seconds))
        val high = bed.submit(bed.request(rank = 0, goal = 2.seconds))
        val late = bed.submit(bed.request(rank = 0, goal = 100.milliseconds))
        assertNull(bed.lastAction(low))
        bed.now += 150.milliseconds
        bed.answered(running[0])
        assertEquals(listOf("e1"), bed.sentTo(high))
        assertNull(bed.lastAction(low))
        bed.answered(running[1])
        assertEquals(listOf("e1"), bed.sentTo(low))
        assertNull(bed.lastAction(late))
        bed.answered(running[2])
        assertEquals(listOf("e1"), bed.sentTo(late))
    }

    /** Guards against refused callers that all retry at the same time. */
    @Test
    fun refusalsHaveDifferentRetryAfters() {
        val requests = List(50) { bed.submit(bed.request()) }
        bed.advance(2.seconds)
        val after = requests.map { assertIs<EntryAction.Refuse>(bed.lastAction(it)).retryAfter }
        assertTrue(after.toSet().size > 40)
        assertTrue(after.all { it in 300.milliseconds..800.milliseconds })
    }

    /** Guards against two callers that are refused in a row and return at the same time. */
    @Test
    fun successiveRetryAftersDiffer() {
        val requests = List(300) { bed.submit(bed.request()) }
        bed.advance(2.seconds)
        val hundredths = requests.map {
            assertIs<EntryAction.Refuse>(bed.lastAction(it)).retryAfter.inWholeMilliseconds / 10
        }
        for (row in hundredths.windowed(4)) assertEquals(row.size, row.toSet().size, "$row")
    }
}
