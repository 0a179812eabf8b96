/*
 * Which requests are accepted, into which class they fall and which error they end with when they
 * have waited too long.
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

    /** Why [work] isn't accepted, or null. */
    fun refusal(work: Work): ErrorKind? {
        val config = config
        return when {
            draining -> ErrorKind.ROUTER_STOPPING
            config == null -> ErrorKind.NOT_CONFIGURED
            config.routes.none { it.id == work.route } -> ErrorKind.UNKNOWN_ROUTE
            suspects.verdict(work.contentDigest) == Verdict.REFUSED -> ErrorKind.SUSPECT_REQUEST
            else -> sizeRefusal(work)
        }
    }

    private fun sizeRefusal(work: Work): ErrorKind? {
        val serving = endpoints.ofRoute(work.route).filter { it.serves(work.version) }
        if (serving.isEmpty()) return ErrorKind.NO_ENDPOINT
        if (serving.none { it.cost(work) <= it.usable }) return ErrorKind.REQUEST_TOO_LARGE
        val requestClass = classOf(work)
        val queue = queues.of(work.route)
            ?.queueOf(work, requestClass.name, requestClass.weight) ?: return null
        return if (queue.items.size >= settings.queueLimit) ErrorKind.OVERLOADED else null
    }

    fun item(work: Work, now: Duration): Item {
        val requestClass = classOf(work)
        val first = config?.classes?.firstOrNull()
        val rank = now - settings.priorityStep * work.priority
        val long = first != null && requestClass != first
        val deadline = deadline(requestClass, now)
        return Item(work, requestClass, long, ++sequence, now, rank, deadline)
    }

    fun deadline(requestClass: RequestClass, now: Duration): Duration =
        now + requestClass.queueMillis.milliseconds

    /** The error for a request that was never sent and has waited past its deadline. */
    fun timeout(item: Item, now: Duration): ErrorKind {
        val accepting = endpoints.ofRoute(item.work.route)
            .any {
                it.serves(item.work.version) && !it.isLeaving(now) && !it.health.isExcluded(now)
            }
        return if (accepting) ErrorKind.OVERLOADED else ErrorKind.NO_ENDPOINT
    }

    /** Whether an endpoint may be excluded for error answers without closing most of its route. */
    fun mayExclude(state: EndpointState, now: Duration): Boolean {
        val all = endpoints.ofRoute(state.config.route)
        val excluded = all.count { it !== state && it.health.isExcluded(now) }
        return excluded + 1 <= all.size * settings.exclusionShare
    }

    private fun classOf(work: Work): RequestClass {
        val classes = config?.classes ?: return UNCLASSED
        return classes.find { it.name == work.requestClass }
            ?: classes.find { work.promptTokens <= it.maxPromptTokens }
            ?: classes.lastOrNull()
            ?: UNCLASSED
    }

    private companion object {
        /** Applies while no class is declared. */
        val UNCLASSED = RequestClass("default", Long.MAX_VALUE, queueMillis = 10_000)
    }
}
