/*
 * The cost of the dispatcher in processor time and memory, for capacity planning. Unlike the rest
 * of the benchmark it measures real time.
 */
package org.hemlockpond.bench

import java.lang.management.ManagementFactory
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Instant
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteConfig
import org.hemlockpond.core.RouteKind
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.routing.AttemptOutcome
import org.hemlockpond.core.routing.Dispatcher
import org.hemlockpond.core.routing.RoutingAction
import org.hemlockpond.core.routing.RoutingEvent
import org.hemlockpond.core.routing.RoutingRequest
import org.hemlockpond.core.routing.RoutingSettings

internal class RoutingSlopes {
    private val threads = ManagementFactory.getThreadMXBean()
    private val memory = ManagementFactory.getMemoryMXBean()
    private val domain = FailureDomain("d0")
    private val route = RouteConfig(
        RoutingDeployment.ROUTE,
        RouteKind.MODEL,
        RoutingDeployment.VERSION
    )

    private fun now(index: Long) =
        Now((index * 10).microseconds, Instant.fromEpochSeconds(0) + (index * 10).microseconds)

    private fun config(endpoints: Int) = FleetConfig(
        routes = listOf(route),
        endpoints = List(endpoints) {
            val id = EndpointId("e$it")
            EndpointConfig(id, route.id, route.version, domain, "127.0.0.1", 1, 160_000)
        }
    )

    private fun dispatcher(endpoints: Int): Dispatcher {
        val settings = RoutingSettings(routersPerDomain = 2, maxQueueLength = 1_000_000)
        val dispatcher = Dispatcher(RouterId("r"), domain, settings)
        dispatcher.handle(RoutingEvent.ConfigChanged(config(endpoints)), now(0))
        return dispatcher
    }

    private fun work(index: Long, prompt: Long = 400) = RoutingRequest(
        RequestId("q$index"),
        CustomerId("c"),
        route.id,
        promptTokens = prompt,
        maxAnswerTokens = 200,
        prefixDigest = "p${index % 50}",
        contentDigest = "c$index"
    )

    fun lines(): List<String> {
        val lines = arrayListOf(
            "### Slopes for capacity planning (real time, one thread)\n",
            "| measure | endpoints of the route | value |",
            "|---|---|---|"
        )
        for (count in listOf(8, 32, 128, 512)) {
            val time = "%.1f".format(microsecondsForRequest(count))
            lines += "| processor time for each request (3 events) | $count | $time us |"
        }
        for (count in listOf(8, 128, 512)) {
            val time = "%.1f".format(microsecondsForTick(count))
            lines += "| processor time for each tick, 1,000 waiting | $count | $time us |"
        }
        lines += "| memory for each endpoint | 10000 | ${bytesForEndpoint()} bytes |"
        lines += "| memory for each queued request | 8 | ${bytesForQueued()} bytes |"
        return lines
    }

    /** A steady state with 64 requests in flight. */
    private fun microsecondsForRequest(endpoints: Int): Double {
        val dispatcher = dispatcher(endpoints)
        val flying = ArrayDeque<RoutingAction.Dispatch>()
        var index = 0L

        fun request() {
            val actions = dispatcher.handle(RoutingEvent.Submit(work(++index)), now(index))
            flying += actions.filterIsInstance<RoutingAction.Dispatch>()
            if (flying.size <= IN_FLIGHT) return
            val done = flying.removeFirst()
            val id = done.request
            dispatcher.handle(RoutingEvent.FirstToken(done.attempt, id), now(index))
            val event = RoutingEvent.Completed(done.attempt, id, AttemptOutcome.Answered(200))
            dispatcher.handle(event, now(index))
        }
        repeat(WARM_UP) { request() }
        val start = threads.currentThreadCpuTime
        repeat(MEASURED) { request() }
        return (threads.currentThreadCpuTime - start) / 1e3 / MEASURED
    }

    private fun microsecondsForTick(endpoints: Int): Double {
        val dispatcher = dispatcher(endpoints)
        var index = 0L
        while (dispatcher.waiting < WAITING) {
            dispatcher.handle(RoutingEvent.Submit(work(++index, LARGE)), now(index))
        }
        fun ticks(count: Int) = repeat(count) { dispatcher.handle(RoutingEvent.Tick, now(++index)) }
        ticks(TICKS)
        val start = threads.currentThreadCpuTime
        ticks(TICKS)
        return (threads.currentThreadCpuTime - start) / 1e3 / TICKS
    }

    private fun bytesForEndpoint(): Long {
        val config = config(MANY)
        val before = used()
        val dispatcher = Dispatcher(RouterId("r"), domain)
        dispatcher.handle(RoutingEvent.ConfigChanged(config), now(0))
        val bytes = (used() - before) / MANY
        check(dispatcher.isIdle && config.endpoints.size == MANY)
        return bytes
    }

    /** With the work itself, which the router holds anyway. */
    private fun bytesForQueued(): Long {
        val dispatcher = dispatcher(8)
        val before = used()
        var index = 0L
        while (dispatcher.waiting < MANY) {
            dispatcher.handle(RoutingEvent.Submit(work(++index, LARGE)), now(0))
        }
        val bytes = (used() - before) / MANY
        check(dispatcher.waiting == MANY)
        return bytes
    }

    private fun used(): Long {
        repeat(3) { memory.gc() }
        return memory.heapMemoryUsage.used
    }

    private companion object {
        const val IN_FLIGHT = 64
        const val WARM_UP = 100_000
        const val MEASURED = 200_000
        const val WAITING = 1_000
        const val TICKS = 2_000
        const val MANY = 10_000
        const val LARGE = 20_000L
    }
}
