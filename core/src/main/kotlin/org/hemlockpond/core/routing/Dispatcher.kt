/*
 * Chooses an endpoint for each request and follows the attempt to its end.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** The routing decisions of one router. All functions are called on the control thread. */
class Dispatcher(
    private val self: RouterId,
    private val domain: FailureDomain,
    private val settings: RoutingSettings = RoutingSettings()
) {
    private class Waiting(val work: Work, val deadline: Duration)

    private class Attempt(val id: AttemptId, val work: Work, val endpoint: EndpointConfig)

    private var config = FleetConfig()
    private val leaving = HashSet<EndpointId>()
    private val queue = ArrayDeque<Waiting>()
    private val attempts = HashMap<AttemptId, Attempt>()
    private var peers: Set<RouterId> = emptySet()
    private var lastAttempt = 0L
    private var draining = false

    /** Requests that run at an endpoint. */
    val running: Int get() = attempts.size

    /** Requests that wait for an endpoint. */
    val waiting: Int get() = queue.size

    fun handle(event: RoutingEvent, now: Now): List<RoutingAction> {
        val actions = ArrayList<RoutingAction>()
        when (event) {
            is RoutingEvent.Submit -> submit(event.work, now, actions)

            is RoutingEvent.Completed -> completed(event, actions)

            is RoutingEvent.Cancelled -> cancelled(event.request, actions)

            is RoutingEvent.ConfigChanged -> config = event.config

            is RoutingEvent.EndpointLeaving ->
                if (event.leaving) leaving += event.endpoint else leaving -= event.endpoint

            is RoutingEvent.PeersChanged -> peers = event.routers.keys - self

            RoutingEvent.Drain -> draining = true

            else -> Unit
        }
        dispatch(now, actions)
        return actions
    }

    private fun submit(work: Work, now: Now, actions: MutableList<RoutingAction>) {
        val kind = when {
            draining -> ErrorKind.ROUTER_STOPPING
            config.routes.none { it.id == work.route } -> ErrorKind.UNKNOWN_ROUTE
            else -> null
        }
        if (kind != null) {
            actions += RoutingAction.Reject(work.request, kind)
            return
        }
        val requestClass = config.classes.find { it.name == work.requestClass }
        val wait = requestClass?.queueMillis ?: DEFAULT_QUEUE_MILLIS
        queue += Waiting(work, now.elapsed + Duration.parse("${wait}ms"))
    }

    private fun completed(event: RoutingEvent.Completed, actions: MutableList<RoutingAction>) {
        val attempt = attempts[event.attempt]
        if (attempt == null || attempt.work.request != event.request) {
            actions += RoutingAction.DropAnswer(event.attempt)
            return
        }
        attempts -= event.attempt
        actions += when (event.outcome) {
            is AttemptOutcome.Answered, AttemptOutcome.CallerFault ->
                RoutingAction.Complete(event.request, event.attempt, event.outcome)

            else -> RoutingAction.Reject(event.request, ErrorKind.ENDPOINT_FAILED)
        }
    }

    private fun cancelled(request: RequestId, actions: MutableList<RoutingAction>) {
        queue.removeAll { it.work.request == request }
        val attempt = attempts.values.find { it.work.request == request } ?: return
        attempts -= attempt.id
        actions += RoutingAction.CancelAttempt(attempt.id, attempt.endpoint.id)
    }

    private fun dispatch(now: Now, actions: MutableList<RoutingAction>) {
        val rest = ArrayList<Waiting>()
        for (waiting in queue) {
            val work = waiting.work
            val endpoint = config.endpoints.filter { fits(it, work) }
                .minWithOrNull(compareBy({ it.domain != domain }, { held(it) }))
            if (endpoint != null) {
                val id = AttemptId(++lastAttempt)
                attempts[id] = Attempt(id, work, endpoint)
                actions += RoutingAction.Dispatch(work.request, id, endpoint.id)
            } else if (now.elapsed >= waiting.deadline) {
                actions += RoutingAction.Reject(work.request, ErrorKind.OVERLOADED)
            } else {
                rest += waiting
            }
        }
        queue.clear()
        queue.addAll(rest)
    }

    private fun fits(endpoint: EndpointConfig, work: Work): Boolean {
        if (endpoint.route != work.route || endpoint.leaving || endpoint.id in leaving) return false
        if (work.version != null && work.version != endpoint.version) return false
        val share = endpoint.memoryTokens / maxOf(settings.routersPerDomain, peers.size + 1)
        return endpoint.memoryTokens == 0L || held(endpoint) + cost(work) <= share
    }

    private fun held(endpoint: EndpointConfig): Long =
        attempts.values.filter { it.endpoint.id == endpoint.id }.sumOf { cost(it.work) }

    private fun cost(work: Work): Long = work.promptTokens + work.maxAnswerTokens

    private companion object {
        const val DEFAULT_QUEUE_MILLIS = 10_000L
    }
}
