/*
 * The endpoints, the routers that share them, and the choice of one endpoint for a request.
 *
 * A prompt's prefix is preferred at the endpoint that rendezvous hashing gives it, so all routers
 * agree on the place of a prefix without a message and without state. An endpoint that is loaded
 * further above the mean than a bound is passed over (consistent hashing with bounded loads,
 * Mirrokni, Thorup and Zadimoghaddam, 2018).
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

    /** Routers that were seen and aren't proven dead. Silence doesn't remove a router. */
    private val known = hashMapOf(self to domain)
    private val dead = LinkedHashSet<RouterId>()
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
            // An endpoint that joins a running fleet, or returns with another version, has to
            // prove itself. At the first configuration nothing is known against any endpoint.
            if (state == null) {
                val leaving = leaving.getOrPut(endpoint.id) { HashMap(2) }
                states[endpoint.id] = EndpointState(endpoint, settings, configured, leaving)
                continue
            }
            if (state.config.version != endpoint.version) state.replaced()
            state.config = endpoint
            states[endpoint.id] = state
        }
        byRoute = states.values.groupBy { it.config.route }
        // Their running requests and open loans still count if the endpoint returns.
        before.filterValues { it.running > 0 || it.share.isOpen }.forEach { (id, state) ->
            state.config = state.config.copy(leaving = true)
            states[id] = state
        }
        configured = true
        divide()
    }

    /** Statements about endpoints, kept apart because they may come before the configuration. */
    fun leaving(message: RoutingMessage.Leaving, now: Duration) {
        if (message.endpoint !in leaving && leaving.size >= LEAVING_LIMIT) return
        val statements = leaving.getOrPut(message.endpoint) { HashMap(2) }
        val own = message.source == LeavingSource.ENDPOINT
        val until = if (own) now + settings.leavingLapse else Duration.INFINITE
        if (message.leaving) statements[message.source] = until else statements -= message.source
    }

    fun leaving(now: Duration): List<RoutingMessage.Leaving> = leaving.flatMap { (id, sources) ->
        sources.filterValues { it > now }.keys.map { RoutingMessage.Leaving(id, it, true) }
    }

    /** Returns the routers that weren't known before. */
    fun routersSeen(routers: Map<RouterId, FailureDomain>): Set<RouterId> {
        val fresh = routers.filterKeys { it !in known && it !in dead }
        if (fresh.isEmpty()) return emptySet()
        known += fresh
        divide()
        return fresh.keys
    }

    fun routerDied(router: RouterId) {
        dead += router
        if (dead.size > DEAD_LIMIT) dead.remove(dead.first())
        known -= router
        states.values.forEach { it.share.forget(router) }
        states.values.forEach { it.isolatedBy -= router }
        divide()
    }

    fun domainOf(router: RouterId): FailureDomain? = known[router]

    private fun divide() {
        val counts = known.values.groupingBy { it }.eachCount()
        for (state in states.values) {
            val here = counts[state.config.domain] ?: 0
            val routersHere = maxOf(settings.routersPerDomain, here)
            val elsewhere = maxOf(settings.routersElsewhere, known.size - here)
            val local = state.config.domain == domain
            val part = if (local) 1 - settings.remoteShare else settings.remoteShare
            val routers = if (local) routersHere else elsewhere
            val share = (state.usable * part / routers).toLong()
            // A plain service has no memory to exhaust; each local router may send one request.
            state.share.base = if (state.isService && local) maxOf(share, 1) else share
            state.slots = if (state.isService) {
                Int.MAX_VALUE
            } else {
                maxOf(1, state.config.maxRequests / routersHere)
            }
        }
    }

    /** The endpoint for [item], in this failure domain if one there has room. */
    fun select(item: Item, now: Duration): EndpointState? =
        select(item, now, local = true, item.tried)
            ?: select(item, now, local = false, item.tried)
            ?: if (item.tried.isEmpty()) null else selectAgain(item, now)

    private fun selectAgain(item: Item, now: Duration): EndpointState? =
        select(item, now, local = true, emptyList())
            ?: select(item, now, local = false, emptyList())

    private fun select(
        item: Item,
        now: Duration,
        local: Boolean,
        avoid: List<EndpointId>
    ): EndpointState? {
        val accepting = ofRoute(item.work.route).filter {
            (it.config.domain == domain) == local &&
                it.serves(item.work.version) && it.accepts(now)
        }
        val free = accepting.filter { it.config.id !in avoid && it.hasRoom(item, now) }
        if (free.isEmpty()) return null
        return byPrefix(item, accepting, free, now) ?: leastLoaded(free, now)
    }

    private fun byPrefix(
        item: Item,
        accepting: List<EndpointState>,
        free: List<EndpointState>,
        now: Duration
    ): EndpointState? {
        val key = mix((item.work.prefixDigest ?: return null).hashCode().toLong())
        val mean = accepting.sumOf { it.load(now) } / accepting.size
        var best: EndpointState? = null
        var bestScore = Long.MIN_VALUE
        for (state in free) {
            val added = state.cost(item.work).toDouble() / state.capacity
            val bound = settings.loadBound * (mean + added)
            if (state.load(now) + added > maxOf(bound, settings.freeLoad)) continue
            val score = mix(key xor state.hash)
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
            if (load > leastLoad || (load == leastLoad && !first(state, least))) continue
            least = state
            leastLoad = load
        }
        return least
    }

    /** Routers break ties in different orders, so that idle endpoints aren't all found alike. */
    private fun first(a: EndpointState, b: EndpointState): Boolean {
        val own = self.value.hashCode().toLong()
        return mix(own xor a.hash) < mix(own xor b.hash)
    }

    private companion object {
        /** Dead routers that are remembered, so that a late message doesn't revive one. */
        const val DEAD_LIMIT = 1_000

        /** Bounds statements about endpoints that no configuration names. */
        const val LEAVING_LIMIT = 20_000
    }
}

internal fun EndpointState.serves(version: VersionId?): Boolean =
    version == null || version == config.version
