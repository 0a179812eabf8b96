/*
 * The configuration of an entry host: routes from requests to services, customers, and limits for
 * callers. The platform adapter decodes it; this file holds the decoded form.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlinx.serialization.Serializable
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RouteId

/** The name of a group of endpoints that serve the same requests. */
@Serializable
@JvmInline
value class ServiceId(val value: String) {
    override fun toString(): String = value
}

/** Whether a request of a route may be sent to endpoints more than once. */
enum class RetrySafety {
    /** May be run any number of times. */
    SAFE,

    /** Must not be sent again once an endpoint may have started to run it. */
    UNSAFE,

    /** May be resumed after the last event that the caller received. */
    RESUMABLE
}

/** A service of a route; [weight] is its relative share of the route's requests. */
data class RouteTarget(val service: ServiceId, val weight: Int)

/**
 * A rule that maps requests for a host and path prefix to services.
 *
 * @property pathPrefix begins and ends with a slash
 * @property streaming whether answers are event streams
 * @property timeout the longest time that a caller waits for the answer
 * @property goal the latency goal of an answer, or of the first event of a stream
 * @property rank the priority of the route's requests; 0 is the highest
 * @property maxAttempts how many endpoints may run one request
 * @property allowsAnonymous whether requests are accepted without an API key
 * @property eventGapGoal the longest time between events of a stream that is on time; null if the
 *   route has no such goal
 * @property allowedRegions the only regions whose endpoints may get the route's requests; empty for all
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
    val eventGapGoal: Duration? = null,
    val allowedRegions: Set<RegionId> = emptySet()
) {
    /** Picks a target by weight; [draw] is a uniformly random integer. Null without targets. */
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
 * The properties of a service's engines.
 *
 * @property batchSize the number of requests that one engine runs concurrently
 * @property memoryTokens the number of tokens that fit into the memory of one engine
 * @property tokensPerEvent the maximum number of tokens in one event of a stream
 */
data class EngineProfile(val batchSize: Int, val memoryTokens: Long, val tokensPerEvent: Int)

/**
 * A group of endpoints that serve the same requests.
 *
 * @property healthPath the path of the endpoints' health check
 * @property maxConnections the number of connections that one endpoint accepts in total
 * @property engine the properties of model engines; null for a plain service
 * @property coldPerSecond the requests a second that a cold endpoint tolerates; null without a bound
 */
data class EntryService(
    val id: ServiceId,
    val healthPath: String,
    val maxConnections: Int,
    val engine: EngineProfile?,
    val coldPerSecond: Double? = null
)

/**
 * Size and time limits for callers' requests.
 *
 * @property headerTimeout the limit from the first byte of a request to the end of its headers
 * @property idleTimeout how long a connection may be open without a request
 */
data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration
)

/**
 * An organisation that buys tokens.
 *
 * @property keys the API keys of the customer's callers
 * @property rank overrides the rank of the route, if set
 * @property prepaidTokens the total number of tokens paid for; null for a customer without a budget
 * @property allowedRegions the only regions whose endpoints may get the customer's requests; empty for
 *   all
 */
data class EntryCustomer(
    val id: CustomerId,
    val keys: List<String>,
    val rank: Int?,
    val prepaidTokens: Long?,
    val allowedRegions: Set<RegionId> = emptySet()
)

/** The operator's configuration at one [version]. Versions only increase. */
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

    /** Returns the route of [host] with the longest prefix of [path]; null if none matches. */
    fun route(host: String, path: String): EntryRoute? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the customer with the API key [key]; null if the key is unknown. */
    fun customer(key: String): EntryCustomer? = customersByKey[key]
}
