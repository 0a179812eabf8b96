/*
 * The configuration of an entry host: which requests go to which service, who may send them and
 * what callers may take. The platform adapter decodes it; this file holds the decoded form.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RouteId

/** A group of endpoints that answer the same requests. */
@JvmInline
value class ServiceId(val value: String) {
    override fun toString(): String = value
}

/** Whether a request of a route may be sent to endpoints more than once. */
enum class RetrySafety {
    /** Any number of times. */
    SAFE,

    /** Never, once an endpoint may have begun to run it. */
    UNSAFE,

    /** Again from the last event that the caller received. */
    RESUMABLE
}

/** One service of a route; [weight] is its part of the route's requests. */
data class RouteTarget(val service: ServiceId, val weight: Int)

/**
 * A route.
 *
 * @property pathPrefix begins and ends with a slash
 * @property streaming whether answers are streams of events
 * @property timeout the longest time that a caller is kept waiting
 * @property goal the time within which an answer, or the first event of a stream, is on time
 * @property rank the order among routes; 0 goes first
 * @property maxAttempts the most endpoints that run one request
 * @property allowsAnonymous whether requests need no key
 * @property eventGapGoal the longest pause between events of a stream that is on time, if there is one
 */
data class EntryRoute(
    val id: RouteId,
    val host: String,
    val pathPrefix: String,
    val streaming: Boolean,
    val retrySafety: RetrySafety,
    val timeout: Duration,
    val goal: Duration,
    val rank: Int,
    val targets: List<RouteTarget>,
    val maxAttempts: Int,
    val allowsAnonymous: Boolean,
    val eventGapGoal: Duration? = null
) {
    /** The target for a request, chosen by its weight; [draw] is uniform over all integers. */
    fun target(draw: Int): ServiceId? {
        val total = targets.sumOf { it.weight }
        if (total <= 0) return targets.firstOrNull()?.service
        var rest = Math.floorMod(draw, total)
        for (target in targets) {
            if (rest < target.weight) return target.service
            rest -= target.weight
        }
        return targets.last().service
    }
}

/**
 * The engines of a service.
 *
 * @property batchSize requests that one engine runs at once
 * @property memoryTokens tokens that one engine holds
 * @property tokensPerEvent the most tokens in one event of a stream
 */
data class EngineProfile(val batchSize: Int, val memoryTokens: Long, val tokensPerEvent: Int)

/**
 * A service.
 *
 * @property healthPath the path of its health check
 * @property maxConnections connections that one endpoint accepts from all callers together
 * @property engine null for a plain service
 */
data class EntryService(
    val id: ServiceId,
    val healthPath: String,
    val maxConnections: Int,
    val engine: EngineProfile?
)

/**
 * What callers may send, and how long they may take.
 *
 * @property headerTimeout from the first byte of a request to the end of its headers
 * @property idleTimeout how long a connection may stay without a request
 */
data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration
)

/**
 * A customer.
 *
 * @property rank replaces the rank of the route, if set
 * @property prepaidTokens tokens paid for in total; null for a customer without a budget
 */
data class EntryCustomer(
    val id: CustomerId,
    val keys: List<String>,
    val rank: Int?,
    val prepaidTokens: Long?
)

/** Everything that an operator has put in force, at one [version]. Versions only grow. */
class EntryConfig(
    val version: Long,
    val routes: List<EntryRoute>,
    services: List<EntryService>,
    val limits: CallerLimits,
    val customers: List<EntryCustomer>
) {
    private val routesByHost: Map<String, List<EntryRoute>> = routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, list) -> list.sortedByDescending { it.pathPrefix.length } }
    private val customersByKey: Map<String, EntryCustomer> =
        customers.flatMap { customer -> customer.keys.map { it to customer } }.toMap()

    /** The services by id. */
    val services: Map<ServiceId, EntryService> = services.associateBy { it.id }

    /** The route with the longest prefix of [path] among those of [host]. */
    fun route(host: String, path: String): EntryRoute? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The customer that holds [key]. */
    fun customer(key: String): EntryCustomer? = customersByKey[key]
}
