package org.hemlockpond.core.routing

import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RequestId

class SuspectTest {
    private val routers = mapOf("r1" to "a", "r2" to "a", "r3" to "b", "r4" to "b")
    private val endpoints = fleet(
        *List(8) { endpoint("e$it", if (it < 4) "a" else "b") }.toTypedArray()
    )

    /** Guards against crashing content that is resubmitted under new keys to several routers. */
    @Property(tries = 40, seed = "20261204")
    fun crashingContentLosesAtMostTwoEndpoints(
        @ForAll @LongRange(min = 1, max = 1_000_000) seed: Long
    ) {
        val random = Random(seed)
        val bed = RoutingBed(routers, endpoints, seed = seed, loss = 0.2)
        bed.introduce()
        bed.poison = setOf("poison")
        repeat(120) { i ->
            val router = routers.keys.elementAt(random.nextInt(routers.size))
            if (i % 4 == 0) bed.submit(router, request("bad$i", content = "poison"))
            bed.submit(router, request("good$i"))
            bed.advance((20 + random.nextInt(400)).milliseconds)
        }
        bed.advance(30.seconds)
        val crashes = bed.boxes.values.sumOf { it.crashes }
        assertTrue(crashes <= 2, "seed $seed: $crashes crashes")
        assertEquals(ErrorKind.SUSPECT_REQUEST, bed.rejected[RequestId("bad116")])
        assertTrue(bed.completed.none { it.value.startsWith("bad") })
    }

    /**
     * Guards against refusing harmless requests that ran on the same endpoint as a crashing one.
     */
    @Test
    fun requestsBesideACrashingOneEndWithAnAnswer() {
        val bed = RoutingBed(mapOf("r1" to "a", "r2" to "a"), endpoints)
        bed.introduce()
        bed.poison = setOf("poison")
        repeat(16) { bed.submit("r1", request("good$it")) }
        bed.submit("r1", request("bad", content = "poison"))
        bed.advance(30.seconds)
        assertEquals(2, bed.boxes.values.sumOf { it.crashes })
        assertEquals(16, bed.completed.size)
        assertEquals(ErrorKind.SUSPECT_REQUEST, bed.rejected[RequestId("bad")])
    }

    /** Guards against suspect content that runs on an endpoint together with other requests. */
    @Test
    fun suspectRunsAlone() {
        val bed = RoutingBed(mapOf("r1" to "a", "r2" to "a"), endpoints)
        bed.introduce()
        bed.poison = setOf("poison")
        bed.submit("r1", request("bad", content = "poison"))
        repeat(300) {
            bed.submit("r1", request("x$it"))
            bed.submit("r2", request("y$it"))
            bed.advance(20.milliseconds)
        }
        bed.advance(5.seconds)
        // Only the first crash can affect other requests: those that ran on the same endpoint.
        assertEquals(600, bed.completed.size)
        assertEquals(2, bed.boxes.values.sumOf { it.crashes })
        assertTrue(bed.rejected.keys.all { it.value == "bad" })
    }

    /** Guards against a third crash after two routers observed one crash each at the same time. */
    @Test
    fun crashesSeenByTwoRoutersCountTogether() {
        val bed = RoutingBed(mapOf("r1" to "a", "r2" to "b"), endpoints)
        bed.introduce()
        bed.poison = setOf("poison")
        bed.submit("r1", request("bad1", content = "poison"))
        bed.submit("r2", request("bad2", content = "poison"))
        bed.advance(10.seconds)
        assertEquals(2, bed.boxes.values.sumOf { it.crashes })
        assertTrue(bed.rejected.values.all { it == ErrorKind.SUSPECT_REQUEST })
        assertEquals(2, bed.rejected.size)
    }

    /** Guards against a new router that doesn't receive earlier verdicts. */
    @Test
    fun newRouterLearnsOfRefusedContent() {
        val bed = RoutingBed(routers, endpoints)
        val seen = bed.dispatchers.keys.filter { it.value != "r4" }.associateWith {
            FailureDomain(routers.getValue(it.value))
        }
        bed.connected = { a, b -> a.value != "r4" && b.value != "r4" }
        seen.keys.forEach { bed.handle(it, RoutingEvent.PeersChanged(seen)) }
        bed.poison = setOf("poison")
        bed.submit("r1", request("bad", content = "poison"))
        bed.advance(60.seconds)
        bed.connected = { _, _ -> true }
        bed.introduce()
        bed.advance(100.milliseconds)
        bed.submit("r4", request("again", content = "poison"))
        assertEquals(ErrorKind.SUSPECT_REQUEST, bed.rejected[RequestId("again")])
    }
}
