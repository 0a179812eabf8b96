/*
 * The endpoints, the routers that share them, and the choice of one endpoint for a request.
 *
 * Rendezvous hashing maps a prompt prefix to a preferred endpoint, so all routers choose the same
 * endpoint for a prefix without messages or shared state. Endpoints whose load exceeds the mean by
 * more than a bound are skipped (consistent hashing with bounded loads, Mirrokni, Thorup and
 * Zadimoghaddam, 2018).
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.VersionId

internal class Endpoints(
    private val self: RouterId,
    private val domain: FailureDomain,
    private val settings: RoutingSettings
) {
    private val states = LinkedHashMap<EndpointId, EndpointState>()
    private var byRoute: Map<RouteId, List<EndpointState>> = emptyMap()

    /** Routers that were seen and aren't proven dead. An unreachable router stays in the map. */
    private val knownRouters = hashMapOf(self to domain)
    private val deadRouters = LinkedHashSet<RouterId>()
    private val leaving = HashMap<EndpointId, MutableMap<LeavingSource, Duration>>()
    private var configured = false

    val all: Collection<EndpointState> get() = states.values

    operator fun get(id: EndpointId): EndpointState? = states[id]

    fun ofRoute(route: RouteId): List<EndpointState> = byRoute[route] ?: emptyList()

    fun configChanged(config: FleetConfig) {
        val before = HashMap(states)
        states.clear()
        for (endpoint in config.endpoints) {
            val state = before.remove(endpoint.id)
            // An endpoint that joins a running fleet, or returns with another version, starts on
            // probation. The endpoints of the first configuration don't.
            if (state == null) {
                val leaving = leaving.getOrPut(endpoint.id) { HashMap(2) }
                states[endpoint.id] = EndpointState(endpoint, settings, configured, leaving)
                continue
            }
            if (state.config.version != endpoint.version) state.versionChanged()
            state.config = endpoint
            states[endpoint.id] = state
        }
        byRoute = states.values.groupBy { it.config.route }
        // Removed endpoints with running requests or open loans are kept; they may return.
        before.filterValues { it.running > 0 || it.share.hasOpenLoans }.forEach { (id, state) ->
            state.config = state.config.copy(leaving = true)
            states[id] = state
        }
        configured = true
        divideCapacity()
    }

    /** Records whether an endpoint is leaving; this may precede the configuration that names it. */
    fun setLeaving(message: RoutingMessage.Leaving, now: Duration) {
        if (message.endpoint !in leaving && leaving.size >= LEAVING_LIMIT) return
        val statements = leaving.getOrPut(message.endpoint) { HashMap(2) }
        val fromEndpoint = message.source == LeavingSource.ENDPOINT
        val until = if (fromEndpoint) now + settings.leavingValidity else Duration.INFINITE
        if (message.leaving) statements[message.source] = until else statements -= message.source
    }

    fun leavingMessages(now: Duration): List<RoutingMessage.Leaving> =
        leaving.flatMap { (id, sources) ->
            sources.filterValues { it > now }.keys.map { RoutingMessage.Leaving(id, it, true) }
        }

    /** Adds [routers] and returns those that weren't known before. */
    fun routersSeen(routers: Map<RouterId, FailureDomain>): Set<RouterId> {
        val fresh = routers.filterKeys { it !in knownRouters && it !in deadRouters }
        if (fresh.isEmpty()) return emptySet()
        knownRouters += fresh
        divideCapacity()
        return fresh.keys
    }

    fun routerDied(router: RouterId) {
        deadRouters += router
        if (deadRouters.size > DEAD_LIMIT) deadRouters.remove(deadRouters.first())
        knownRouters -= router
        states.values.forEach { it.share.removeRouter(router) }
        states.values.forEach { it.isolatedBy -= router }
        divideCapacity()
    }

    fun domainOf(router: RouterId): FailureDomain? = knownRouters[router]

    /** Recomputes this router's share of each endpoint. */
    private fun divideCapacity() {
        val counts = knownRouters.values.groupingBy { it }.eachCount()
        for (state in states.values) {
            val here = counts[state.config.domain] ?: 0
            val routersHere = maxOf(settings.routersPerDomain, here)
            val elsewhere = maxOf(settings.routersElsewhere, knownRouters.size - here)
            val local = state.config.domain == domain
            val part = if (local) 1 - settings.remoteShare else settings.remoteShare
            val routers = if (local) routersHere else elsewhere
            val share = (state.usableCapacity * part / routers).toLong()
            // A plain service can't run out of memory, so each local router may send one request.
            state.share.base = if (state.isService && local) maxOf(share, 1) else share
            state.maxRunning = if (state.isService) {
                Int.MAX_VALUE
            } else {
                maxOf(1, state.config.maxRequests / routersHere)
            }
        }
    }

    /** Selects an endpoint for [pending], preferring this failure domain and untried endpoints. */
    fun select(pending: PendingRequest, now: Duration): EndpointState? =
        select(pending, now, local = true, pending.triedEndpoints)
            ?: select(pending, now, local = false, pending.triedEndpoints)
            ?: if (pending.triedEndpoints.isEmpty()) null else selectIncludingTried(pending, now)

    private fun selectIncludingTried(pending: PendingRequest, now: Duration): EndpointState? =
        select(pending, now, local = true, emptyList())
            ?: select(pending, now, local = false, emptyList())

    private fun select(
        pending: PendingRequest,
        now: Duration,
        local: Boolean,
        avoid: List<EndpointId>
    ): EndpointState? {
        val accepting = ofRoute(pending.request.route).filter {
            (it.config.domain == domain) == local &&
                it.serves(pending.request.version) && it.acceptsRequests(now)
        }
        val free = accepting.filter { it.config.id !in avoid && it.hasRoom(pending, now) }
        if (free.isEmpty()) return null
        return selectByPrefix(pending, accepting, free, now) ?: leastLoaded(free, now)
    }

    private fun selectByPrefix(
        pending: PendingRequest,
        accepting: List<EndpointState>,
        free: List<EndpointState>,
        now: Duration
    ): EndpointState? {
        val key = mix((pending.request.prefixDigest ?: return null).hashCode().toLong())
        val mean = accepting.sumOf { it.load(now) } / accepting.size
        var best: EndpointState? = null
        var bestScore = Long.MIN_VALUE
        for (state in free) {
            val added = state.cost(pending.request).toDouble() / state.capacity
            val bound = settings.loadBound * (mean + added)
            if (state.load(now) + added > maxOf(bound, settings.freeLoad)) continue
            val score = mix(key xor state.idHash)
            if (best == null || score > bestScore) {
                best = state
                bestScore = score
            }
        }
        return best
    }

    private fun leastLoaded(free: List<EndpointState>, now: Duration): EndpointState {
        var least = free.first()
        var leastLoad = least.load(now)
        for (state in free) {
            val load = state.load(now)
            if (load > leastLoad || (load == leastLoad && !comesFirst(state, least))) continue
            least = state
            leastLoad = load
        }
        return least
    }

    /** Breaks ties in an order that differs between routers, to spread load on idle endpoints. */
    private fun comesFirst(a: EndpointState, b: EndpointState): Boolean {
        val selfHash = self.value.hashCode().toLong()
        return mix(selfHash xor a.idHash) < mix(selfHash xor b.idHash)
    }

    private companion object {
        /** Maximum number of dead routers kept, so that a late message doesn't re-add one. */
        const val DEAD_LIMIT = 1_000

        /**
         * Maximum number of endpoints with leaving state, as a message may name unknown endpoints.
         */
        const val LEAVING_LIMIT = 20_000
    }
}

internal fun EndpointState.serves(version: VersionId?): Boolean =
    version == null || version == config.version
