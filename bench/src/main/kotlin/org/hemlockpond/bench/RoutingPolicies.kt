/*
 * What the routing benchmark compares: our dispatcher and the naive choice of the endpoint with the
 * fewest connections, behind the same events and actions.
 */
package org.hemlockpond.bench

import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.routing.AttemptId
import org.hemlockpond.core.routing.AttemptOutcome
import org.hemlockpond.core.routing.Dispatcher
import org.hemlockpond.core.routing.RoutingAction
import org.hemlockpond.core.routing.RoutingEvent
import org.hemlockpond.core.routing.RoutingRequest
import org.hemlockpond.core.routing.RoutingSettings

internal fun interface RoutingPolicy {
    fun handle(event: RoutingEvent, now: Now): List<RoutingAction>
}

internal enum class PolicyKind(val label: String) {
    LEAST_CONNECTIONS("least connections") {
        override fun create(
            id: RouterId,
            domain: FailureDomain,
            deployment: RoutingDeployment,
            base: RoutingSettings
        ): RoutingPolicy = LeastConnections()
    },
    OURS("hemlockpond") {
        override fun create(
            id: RouterId,
            domain: FailureDomain,
            deployment: RoutingDeployment,
            base: RoutingSettings
        ): RoutingPolicy {
            val counts = (0 until deployment.routers).groupingBy { deployment.domain(it) }
                .eachCount()
            val settings = base.copy(
                routersPerDomain = counts.getValue(domain),
                routersElsewhere = deployment.routers - counts.values.min()
            )
            val dispatcher = Dispatcher(id, domain, settings)
            return RoutingPolicy { event, now -> dispatcher.handle(event, now) }
        }
    };

    abstract fun create(
        id: RouterId,
        domain: FailureDomain,
        deployment: RoutingDeployment,
        base: RoutingSettings
    ): RoutingPolicy
}

/** Sends at once to the endpoint with the fewest own connections; tries three times. */
internal class LeastConnections : RoutingPolicy {
    private class Flight(val work: RoutingRequest, val endpoint: EndpointId, val attempts: Int)

    private var config = FleetConfig()
    private val unhealthy = HashSet<EndpointId>()
    private val flights = HashMap<AttemptId, Flight>()
    private val connections = HashMap<EndpointId, Int>()
    private var last = 0L

    override fun handle(event: RoutingEvent, now: Now): List<RoutingAction> = when (event) {
        is RoutingEvent.ConfigChanged -> {
            config = event.config
            emptyList()
        }

        is RoutingEvent.LoadReport -> {
            if (event.healthy) unhealthy -= event.endpoint else unhealthy += event.endpoint
            emptyList()
        }

        is RoutingEvent.Submit -> send(event.request, 1)

        is RoutingEvent.Completed -> completed(event)

        is RoutingEvent.Cancelled -> cancelled(event.request)

        else -> emptyList()
    }

    private fun send(work: RoutingRequest, attempt: Int): List<RoutingAction> {
        val endpoint = config.endpoints.filter { it.id !in unhealthy }
            .minByOrNull { connections[it.id] ?: 0 }
            ?: return listOf(RoutingAction.Reject(work.id, ErrorKind.NO_ENDPOINT))
        val id = AttemptId(++last)
        flights[id] = Flight(work, endpoint.id, attempt)
        connections.merge(endpoint.id, 1, Int::plus)
        return listOf(RoutingAction.Dispatch(work.id, id, endpoint.id))
    }

    private fun completed(event: RoutingEvent.Completed): List<RoutingAction> {
        val flight = flights.remove(event.attempt) ?: return emptyList()
        connections.merge(flight.endpoint, -1, Int::plus)
        val request = flight.work.id
        if (event.outcome is AttemptOutcome.Answered) {
            return listOf(RoutingAction.Complete(request, event.attempt, event.outcome))
        }
        if (flight.attempts < 3) return send(flight.work, flight.attempts + 1)
        return listOf(RoutingAction.Reject(request, ErrorKind.ENDPOINT_FAILED))
    }

    private fun cancelled(request: RequestId): List<RoutingAction> {
        val entry = flights.entries.find { it.value.work.id == request } ?: return emptyList()
        flights.remove(entry.key)
        connections.merge(entry.value.endpoint, -1, Int::plus)
        return listOf(RoutingAction.CancelAttempt(entry.key, entry.value.endpoint))
    }
}
