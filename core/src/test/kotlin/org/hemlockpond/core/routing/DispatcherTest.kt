package org.hemlockpond.core.routing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.VersionId

class DispatcherTest {
    private val router = RouterId("r1")

    private fun bed(vararg names: String) = RoutingBed(
        mapOf("r1" to "a"),
        fleet(*names.map { endpoint(it) }.toTypedArray())
    )

    private fun List<RoutingAction>.dispatch() = filterIsInstance<RoutingAction.Dispatch>().single()

    /** Guards against an answer that is delivered to the wrong request. */
    @Test
    fun mismatchedAnswerIsDroppedAndTheRequestTriedAgain() {
        val bed = bed("e1", "e2")
        val first = bed.submit("r1", request("q")).dispatch()
        val answer = AttemptOutcome.Answered()
        val event = RoutingEvent.Completed(first.attempt, RequestId("other"), answer)
        val actions = bed.handle(router, event)
        assertEquals(RoutingAction.DropAnswer(first.attempt), actions.first())
        assertTrue(actions.dispatch().endpoint != first.endpoint)
        assertTrue(bed.completed.isEmpty())
    }

    /** Guards against a late answer that ends a request already retried on another endpoint. */
    @Test
    fun lateAnswerAfterRetryIsDropped() {
        val bed = bed("e1", "e2")
        bed.boxes.values.forEach { it.mode = Mode.STALLS }
        val first = bed.submit("r1", request("q")).dispatch()
        bed.advance(6.seconds)
        assertFalse(bed.dispatchers.getValue(router).isCurrent(first.attempt))
        val late = AttemptOutcome.Answered()
        val actions = bed.handle(
            router,
            RoutingEvent.Completed(first.attempt, RequestId("q"), late)
        )
        assertEquals<List<RoutingAction>>(listOf(RoutingAction.DropAnswer(first.attempt)), actions)
        assertEquals(1, bed.dispatchers.getValue(router).running)
    }

    /** Guards against a graceful stop that interrupts accepted requests or accepts new ones. */
    @Test
    fun drainRefusesNewWorkAndEndsAcceptedWork() {
        val bed = bed("e1")
        repeat(200) { bed.submit("r1", request("q$it", prompt = 900)) }
        val dispatcher = bed.dispatchers.getValue(router)
        assertTrue(dispatcher.waiting > 0)
        bed.handle(router, RoutingEvent.Drain)
        bed.submit("r1", request("late"))
        assertEquals(ErrorKind.ROUTER_STOPPING, bed.rejected[RequestId("late")])
        bed.serviceTime = { 100.milliseconds }
        bed.advance(5.seconds)
        assertEquals(200, bed.completed.size)
        assertTrue(dispatcher.isIdle)
    }

    /** Guards against new requests to a leaving endpoint, whichever source reports it. */
    @Test
    fun leavingEndpointGetsNoNewWorkFromAnyRouter() {
        for (source in LeavingSource.entries) {
            val routers = mapOf("r1" to "a", "r2" to "a", "r3" to "b")
            val bed = RoutingBed(routers, fleet(endpoint("e1"), endpoint("e2")), loss = 0.3)
            bed.introduce()
            if (source == LeavingSource.CONFIGURATION) {
                val left = bed.config.endpoints.map { it.copy(leaving = it.id.value == "e1") }
                val event = RoutingEvent.ConfigChanged(bed.config.copy(endpoints = left))
                bed.dispatchers.keys.forEach { bed.handle(it, event) }
            } else {
                bed.handle(router, RoutingEvent.EndpointLeaving(EndpointId("e1"), source))
            }
            val notice = bed.now
            repeat(60) { i ->
                routers.keys.forEach { bed.submit(it, request("$it-$i")) }
                bed.advance(100.milliseconds)
            }
            val last = bed.boxes.getValue("e1").started.maxOfOrNull { it.first } ?: notice
            assertTrue(last - notice <= 3.seconds, "$source: $last")
            bed.advance(2.seconds)
            assertEquals(180, bed.completed.size)
        }
    }

    /** Guards against a wrong "not run" report and a second run of a non-idempotent request. */
    @Test
    fun callThatMustNotRepeatIsRetriedOnlyIfItWasNeverSent() {
        val bed = bed("e1", "e2")
        bed.boxes.getValue("e1").mode = Mode.DOWN
        bed.boxes.getValue("e2").mode = Mode.DOWN
        bed.submit("r1", request("unsent").copy(idempotent = false))
        bed.boxes.values.single { it.running.isEmpty() }.mode = Mode.FAILS
        bed.advance(100.milliseconds)
        val sent = bed.boxes.values.sumOf { it.started.size }
        assertEquals(2, sent)
        assertEquals(ErrorKind.OUTCOME_UNKNOWN, bed.rejected[RequestId("unsent")])
    }

    /** Guards against a "not run" report for a request with an attempt that reached an endpoint. */
    @Test
    fun waitAfterAnAttemptEndsWithWhatTheAttemptDid() {
        val bed = bed("e1")
        bed.submit("r1", request("q"))
        bed.crash(bed.boxes.getValue("e1"), restart = 60.seconds)
        bed.submit("r1", request("fresh"))
        bed.advance(20.seconds)
        assertEquals(ErrorKind.ENDPOINT_FAILED, bed.rejected[RequestId("q")])
        assertEquals(ErrorKind.NO_ENDPOINT, bed.rejected[RequestId("fresh")])
    }

    /**
     * Guards against queued requests that no route or endpoint can serve, or that are too large.
     */
    @Test
    fun impossibleWorkIsRefusedAtOnce() {
        val bed = bed("e1")
        bed.submit("r1", request("large", prompt = 200_000))
        bed.submit("r1", request("moved").copy(version = VersionId("9")))
        bed.submit("r1", request("lost").copy(route = RouteId("none")))
        val kinds = listOf("large", "moved", "lost").map { bed.rejected[RequestId(it)] }
        val expected =
            listOf(ErrorKind.REQUEST_TOO_LARGE, ErrorKind.NO_ENDPOINT, ErrorKind.UNKNOWN_ROUTE)
        assertEquals(expected, kinds)
        val blank = RoutingBed(mapOf("r1" to "a"), FleetConfig())
        blank.submit("r1", request("q"))
        assertEquals(ErrorKind.UNKNOWN_ROUTE, blank.rejected[RequestId("q")])
    }

    /** Guards against requests sent to another failure domain while the router's own has room. */
    @Test
    fun otherDomainsServeOnlyWhatTheOwnHasNoRoomFor() {
        val endpoints = fleet(endpoint("near", "a", 10_000), endpoint("far", "b", 100_000))
        val bed = RoutingBed(mapOf("r1" to "a"), endpoints)
        repeat(5) { bed.submit("r1", request("q$it", prompt = 400)) }
        assertEquals(5, bed.boxes.getValue("near").started.size)
        assertEquals(0, bed.boxes.getValue("far").started.size)
        repeat(5) { bed.submit("r1", request("p$it", prompt = 400)) }
        assertEquals(5, bed.boxes.getValue("far").started.size)
    }

    /** Guards against a prefix spread over all endpoints, and one that overloads its endpoint. */
    @Test
    fun prefixStaysAtOneEndpointUntilItsLoadIsFarAboveTheMean() {
        // A high request limit, so that only the load can move requests to another endpoint.
        val endpoints = List(4) { endpoint("e$it").copy(maxRequests = 10_000) }
        val bed = RoutingBed(mapOf("r1" to "a"), fleet(*endpoints.toTypedArray()))
        bed.serviceTime = { 60.seconds }
        repeat(5) { bed.submit("r1", request("q$it").copy(prefixDigest = "p")) }
        assertEquals(1, bed.boxes.values.count { it.started.isNotEmpty() })
        repeat(300) { bed.submit("r1", request("r$it").copy(prefixDigest = "p")) }
        assertTrue(bed.boxes.values.all { it.held > 0 })
    }
}
