package org.hemlockpond.core.entry

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteId

class LoadSheddingTest {
    private val service = ServiceId("advisor")
    private val review = route("review", rank = 1)
    private val check = route("check", rank = 2)
    private val shedding = LoadShedding(EntrySettings(), Random(1)).also {
        val limits = CallerLimits(1_000, 1_000, 1.seconds, 1.seconds)
        it.configChanged(EntryConfig(1, listOf(review, check), emptyList(), limits, emptyList()))
    }

    private fun route(name: String, rank: Int) = EntryRoute(
        id = RouteId(name),
        host = "host",
        pathPrefix = "/$name/",
        streaming = true,
        retrySafety = RetrySafety.UNSAFE,
        timeout = 15.seconds,
        goal = 800.milliseconds,
        rank = rank,
        targets = listOf(RouteTarget(service, 1)),
        maxAttempts = 1,
        allowsAnonymous = true,
        eventGapGoal = 300.milliseconds
    )

    private fun refused(route: EntryRoute, eventGap: Duration): Int = (0 until 1_000).count {
        val request = EntryRequest(
            id = RequestId("r$it"),
            route = route,
            service = service,
            customer = null,
            rank = 0,
            prompt = null,
            arrival = Duration.ZERO,
            deadline = 15.seconds,
            contentDigest = it.toLong()
        )
        shedding.shouldShed(request, eventGap)
    }

    /** Guards against refusals while engines are fast enough. */
    @Test
    fun nothingIsRefusedWhileEventGapsAreShort() {
        assertEquals(0, refused(check, eventGap = 100.milliseconds))
        assertEquals(0, refused(review, eventGap = 100.milliseconds))
    }

    /** Guards against accepting requests until all streams are too slow to meet their deadlines. */
    @Test
    fun leastUrgentRequestsAreRefusedFirst() {
        val half = refused(check, eventGap = 157.milliseconds)
        assertTrue(half in 400..600, "$half of 1000 refused")
        assertEquals(0, refused(review, eventGap = 157.milliseconds))
        assertEquals(1_000, refused(check, eventGap = 250.milliseconds))
        val later = refused(review, eventGap = 262.milliseconds)
        assertTrue(later in 400..600, "$later of 1000 refused")
    }

    /** Guards against sending requests to a slow engine while a faster one has capacity. */
    @Test
    fun requestGoesToTheEngineWithShorterEventGaps() {
        val bed = DispatcherTestBed(engine = EngineProfile(64, 700_000, tokensPerEvent = 5))
        bed.addEndpoints("e1")
        val slow = bed.submit(bed.request())
        bed.dispatcher.answerStarted(slow.id, bed.now)
        repeat(50) {
            bed.now += 200.milliseconds
            bed.bytesReceived(slow)
        }
        bed.addEndpoints("e2")
        assertEquals(listOf("e2"), bed.sentTo(bed.submit(bed.request())))
    }
}
