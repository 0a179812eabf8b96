package org.hemlockpond.core.routing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Instant
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteConfig
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.RouteKind
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.VersionId

class DispatcherTest {
    /** Guards against an answer that reaches another caller's request. */
    @Test
    fun mismatchedAnswerIsDropped() {
        val domain = FailureDomain("a")
        val route = RouteId("m")
        val version = VersionId("1")
        val endpoint = EndpointConfig(EndpointId("e"), route, version, domain, "127.0.0.1", 1, 90)
        val now = Now(Duration.ZERO, Instant.fromEpochSeconds(0))
        val dispatcher = Dispatcher(RouterId("r"), domain)
        val routes = listOf(RouteConfig(route, RouteKind.MODEL, version))
        val config = FleetConfig(routes = routes, endpoints = listOf(endpoint))
        dispatcher.handle(RoutingEvent.ConfigChanged(config), now)
        val work = Work(RequestId("q"), CustomerId("c"), route, contentDigest = "d")
        val sent = dispatcher.handle(RoutingEvent.Submit(work), now)
        val attempt = (sent.single() as RoutingAction.Dispatch).attempt
        val other = RequestId("other")
        val outcome = AttemptOutcome.Answered()
        val actions = dispatcher.handle(RoutingEvent.Completed(attempt, other, outcome), now)
        assertEquals<List<RoutingAction>>(listOf(RoutingAction.DropAnswer(attempt)), actions)
    }
}
