package org.hemlockpond.core.routing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.RouterId

class EndpointHealthTest {
    private val endpoints = fleet(endpoint("e1"), endpoint("e2"), endpoint("e3"))

    private fun run(mode: Mode, seconds: Int): RoutingBed {
        val bed = RoutingBed(mapOf("r1" to "a"), endpoints)
        val box = bed.boxes.getValue("e1")
        box.mode = mode
        repeat(seconds * 20) {
            // The endpoint reports itself healthy and idle throughout.
            val report = RoutingEvent.LoadReport(EndpointId("e1"), box.held, healthy = true)
            bed.handle(RouterId("r1"), report)
            bed.submit("r1", request("q$it"))
            bed.advance(50.milliseconds)
        }
        return bed
    }

    /** Guards against trusting an endpoint's health report while its answers are errors. */
    @Test
    fun endpointThatReportsHealthyWhileFailingGetsFewRequests() {
        val bed = run(Mode.FAILS, 20)
        // Of 400 requests, three failures exclude it, then one after each exclusion.
        assertTrue(bed.boxes.getValue("e1").started.size <= 10)
        assertTrue(bed.rejected.isEmpty())
    }

    /** Guards against requests stuck at an endpoint that accepts them but never answers. */
    @Test
    fun stalledEndpointGetsNoNewWorkAndItsRequestsMoveOn() {
        val bed = run(Mode.STALLS, 20)
        val started = bed.boxes.getValue("e1").started
        val later = started.filter { it.first > 7.seconds }
        assertTrue(later.size <= 6, "$later")
        bed.advance(30.seconds)
        assertEquals(400, bed.completed.size + bed.rejected.size)
        assertTrue(bed.completed.size > 300)
    }

    /** Guards against full load on an endpoint that has just restarted. */
    @Test
    fun endpointAfterACrashGetsOneRequestBeforeMore() {
        val bed = RoutingBed(mapOf("r1" to "a"), fleet(endpoint("e1")))
        bed.crash(bed.boxes.getValue("e1"), restart = 500.milliseconds)
        bed.submit("r1", request("probe"))
        bed.advance(2.seconds)
        val before = bed.boxes.getValue("e1").started.size
        repeat(20) { bed.submit("r1", request("q$it")) }
        assertTrue(bed.boxes.getValue("e1").started.size - before <= 1)
        bed.advance(4.seconds)
        assertEquals(21, bed.completed.size)
    }

    /** Guards against the exclusion of endpoints because of one failing content. */
    @Test
    fun contentThatFailsEverywhereExcludesNoEndpoint() {
        val health = EndpointHealth(RoutingSettings(), onProbation = false)
        repeat(50) { assertEquals(false, health.recordFailure("bad")) }
        assertEquals(false, health.recordFailure("b"))
        assertEquals(true, health.recordFailure("c"))
    }

    /** Guards against an exclusion that never ends, or never grows. */
    @Test
    fun exclusionsDoubleUpToTheLimit() {
        val settings = RoutingSettings()
        val health = EndpointHealth(settings, onProbation = false)
        var now = Duration.ZERO
        val lengths = List(8) {
            health.exclude(now)
            val start = now
            while (health.isExcluded(now)) now += 500.milliseconds
            (now - start).inWholeSeconds
        }
        assertEquals(listOf<Long>(1, 2, 4, 8, 16, 32, 60, 60), lengths)
    }
}
