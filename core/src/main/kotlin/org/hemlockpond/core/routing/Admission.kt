/*
 * Accepts or refuses submitted requests, assigns their class, and chooses the error for requests
 * that exceed their queue deadline.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.RequestClass

internal class Admission(
    private val endpoints: Endpoints,
    private val queues: ClassQueues,
    private val suspects: Suspects,
    private val settings: RoutingSettings
) {
    var config: FleetConfig? = null
    var draining = false
    private var sequence = 0L

    /** Returns the reason to refuse [request], or null if it is accepted. */
    fun refusal(request: RoutingRequest): ErrorKind? {
        val config = config
        return when {
            draining -> ErrorKind.ROUTER_STOPPING
            config == null -> ErrorKind.NOT_CONFIGURED
            config.routes.none { it.id == request.route } -> ErrorKind.UNKNOWN_ROUTE
            suspects.verdict(request.contentDigest) == Verdict.REFUSED -> ErrorKind.SUSPECT_REQUEST
            else -> sizeRefusal(request)
        }
    }

    private fun sizeRefusal(request: RoutingRequest): ErrorKind? {
        val serving = endpoints.ofRoute(request.route).filter { it.serves(request.version) }
        if (serving.isEmpty()) return ErrorKind.NO_ENDPOINT
        if (serving.none { it.cost(request) <= it.usableCapacity }) {
            return ErrorKind.REQUEST_TOO_LARGE
        }
        val requestClass = classOf(request)
        val queue = queues.of(request.route)
            ?.queueOf(request, requestClass.name, requestClass.weight) ?: return null
        return if (queue.requests.size >= settings.maxQueueLength) ErrorKind.OVERLOADED else null
    }

    fun pendingRequest(request: RoutingRequest, now: Duration): PendingRequest {
        val requestClass = classOf(request)
        val first = config?.classes?.firstOrNull()
        val rank = now - settings.priorityStep * request.priority
        val isLong = first != null && requestClass != first
        val deadline = deadline(requestClass, now)
        return PendingRequest(request, requestClass, isLong, ++sequence, now, rank, deadline)
    }

    fun deadline(requestClass: RequestClass, now: Duration): Duration =
        now + requestClass.queueMillis.milliseconds

    /** Returns the error for a request that was never sent and has exceeded its queue deadline. */
    fun timeoutError(pending: PendingRequest, now: Duration): ErrorKind {
        val accepting = endpoints.ofRoute(pending.request.route)
            .any {
                it.serves(pending.request.version) && !it.isLeaving(now) &&
                    !it.health.isExcluded(now)
            }
        return if (accepting) ErrorKind.OVERLOADED else ErrorKind.NO_ENDPOINT
    }

    /** Whether one more exclusion for errors stays within [RoutingSettings.exclusionShare]. */
    fun mayExclude(state: EndpointState, now: Duration): Boolean {
        val all = endpoints.ofRoute(state.config.route)
        val excluded = all.count { it !== state && it.health.isExcluded(now) }
        return excluded + 1 <= all.size * settings.exclusionShare
    }

    private fun classOf(request: RoutingRequest): RequestClass {
        val classes = config?.classes ?: return UNCLASSED
        return classes.find { it.name == request.requestClass }
            ?: classes.find { request.promptTokens <= it.maxPromptTokens }
            ?: classes.lastOrNull()
            ?: UNCLASSED
    }

    private companion object {
        /** Used while the configuration declares no class. */
        val UNCLASSED = RequestClass("default", Long.MAX_VALUE, queueMillis = 10_000)
    }
}
