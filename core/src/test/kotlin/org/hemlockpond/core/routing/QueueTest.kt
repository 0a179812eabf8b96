package org.hemlockpond.core.routing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestId

class QueueTest {
    private fun bed() = RoutingBed(
        mapOf("r1" to "a"),
        fleet(endpoint("e1", memory = 200_000), endpoint("e2", memory = 200_000))
    ).also {
        it.serviceTime = { request ->
            if (request.promptTokens > 1_000) 20.seconds else 1.seconds
        }
    }

    /** Guards against quick requests that wait behind a flood of long ones. */
    @Test
    fun quickRequestsPassAFloodOfLongOnes() {
        val bed = bed()
        repeat(100) { bed.submit("r1", request("long$it", prompt = 10_000)) }
        // The flood fills the share before the first quick request arrives.
        bed.advance(1.seconds)
        repeat(200) {
            bed.submit("r1", request("quick$it"))
            bed.advance(100.milliseconds)
        }
        val waits = List(200) { bed.waits.getValue(RequestId("quick$it")) }
        assertTrue(waits.max() < 100.milliseconds, "${waits.max()}")
    }

    /** Guards against several long prompts of one router that delay others at an engine. */
    @Test
    fun longRequestsStartOneByOneAtAnEndpoint() {
        val bed = bed()
        repeat(6) { bed.submit("r1", request("long$it", prompt = 5_000)) }
        assertEquals(listOf(1, 1), bed.boxes.values.map { it.running.size })
        bed.advance(100.milliseconds)
        assertEquals(listOf(2, 2), bed.boxes.values.map { it.running.size })
        bed.advance(100.milliseconds)
        assertEquals(listOf(3, 3), bed.boxes.values.map { it.running.size })
    }

    /** Guards against starvation of a long request by quick ones that use all memory. */
    @Test
    fun longRequestIsServedDuringAFloodOfQuickOnes() {
        val bed = RoutingBed(mapOf("r1" to "a"), fleet(endpoint("e1")))
        bed.serviceTime = { 2.seconds }
        var count = 0
        repeat(20) {
            repeat(6) { bed.submit("r1", request("quick${count++}", prompt = 900)) }
            bed.advance(100.milliseconds)
        }
        bed.submit("r1", request("long", prompt = 20_000))
        repeat(500) {
            repeat(6) { bed.submit("r1", request("quick${count++}", prompt = 900)) }
            bed.advance(100.milliseconds)
        }
        assertTrue(RequestId("long") in bed.completed)
    }

    /** Guards against requests that stay queued beyond the deadline of their class. */
    @Test
    fun requestIsRefusedAtItsDeadline() {
        val bed = bed()
        bed.serviceTime = { Duration.INFINITE }
        repeat(300) { bed.submit("r1", request("quick$it", prompt = 900)) }
        bed.advance(4_900.milliseconds)
        assertTrue(bed.rejected.isEmpty())
        bed.advance(200.milliseconds)
        assertTrue(bed.rejected.isNotEmpty())
        assertTrue(bed.rejected.values.all { it == ErrorKind.OVERLOADED })
    }

    /** Guards against classes whose weights have no effect. */
    @Test
    fun waitingClassesShareDispatchesByWeight() {
        val queues = RouteQueues()
        val requests = List(100) { index ->
            val requestClass = classes[index % 2]
            val request = request("q$index")
            PendingRequest(
                request,
                requestClass,
                false,
                index.toLong(),
                0.seconds,
                0.seconds,
                9.seconds
            )
        }
        requests.forEach { queues.add(it) }
        val served = List(50) {
            val queue = queues.nextQueue(0)!!
            queue.requests.first().also { pending -> queues.dispatched(queue, pending) }
                .requestClass.name
        }
        assertEquals(40, served.count { it == "quick" })
    }

    /** Guards against priorities that have no effect or starve other requests. */
    @Test
    fun priorityIsWorthAFixedWait() {
        val bed = RoutingBed(mapOf("r1" to "a"), fleet(endpoint("e1", memory = 5_000)))
        bed.submit("r1", request("running", prompt = 900))
        bed.submit("r1", request("old", prompt = 900))
        bed.advance(200.milliseconds)
        bed.submit("r1", request("urgent", prompt = 900).copy(priority = 2))
        bed.advance(100.milliseconds)
        bed.submit("r1", request("plain", prompt = 900))
        bed.advance(5.seconds)
        assertEquals(listOf("running", "urgent", "old", "plain"), bed.completed.map { it.value })
    }
}
