/*
 * The routers known to the ledger, and the choice of a request's home among them. The home is the
 * router that decides which attempt of a request may run. With rendezvous hashing (Thaler and
 * Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996), a router that joins or leaves
 * changes the home of only those requests for which it becomes or was the home.
 */
package org.hemlockpond.core.ledger

import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** The most dead routers that are remembered; their delayed messages are ignored. */
private const val MAX_DEAD_ROUTERS = 10_000

internal class Directory(val self: RouterId, val domain: FailureDomain) {
    private val peers = HashMap<RouterId, Peer>()
    private val routerHashes = HashMap<RouterId, Long>().apply { put(self, hash(self.value)) }
    private val deadRouters = LinkedHashSet<RouterId>()

    /**
     * True while a live router can't be reached. That router may run requests that also run here.
     */
    var isPartitioned = false
        private set

    /** Replaces the set of live routers. Returns the added ones, which may become homes. */
    fun update(list: List<Peer>): Set<RouterId> {
        val before = peers.keys.toSet()
        peers.clear()
        for (peer in list) {
            if (peer.router != self && peer.router !in deadRouters) peers[peer.router] = peer
        }
        routerHashes.keys.retainAll { it == self || it in peers }
        for (router in peers.keys) routerHashes.getOrPut(router) { hash(router.value) }
        isPartitioned = peers.values.any { !it.reachable }
        return peers.keys - before
    }

    fun markDead(router: RouterId) {
        deadRouters += router
        if (deadRouters.size > MAX_DEAD_ROUTERS) deadRouters.remove(deadRouters.first())
        peers.remove(router)
        routerHashes.remove(router)
        isPartitioned = peers.values.any { !it.reachable }
    }

    fun isDead(router: RouterId): Boolean = router in deadRouters

    fun isLive(router: RouterId): Boolean = router == self || router in peers

    fun isReachable(router: RouterId): Boolean = router == self || peers[router]?.reachable == true

    /** The home of [request] among all live routers. */
    fun home(request: RequestId): RouterId {
        val key = hash(request.value)
        return routerHashes.maxBy { (_, seed) -> mix(key xor seed) }.key
    }

    /** Whether [router] ranks before [home] as the home of [request], or [home] isn't live. */
    fun replaces(router: RouterId, home: RouterId, request: RequestId): Boolean {
        val key = hash(request.value)
        val mine = routerHashes[router] ?: return false
        val old = routerHashes[home] ?: return true
        return mix(key xor mine) > mix(key xor old)
    }

    /** The home of [request] among the reachable routers of this failure domain. */
    fun domainHome(request: RequestId): RouterId {
        val key = hash(request.value)
        return routerHashes.filter { (router, _) -> isReachableInDomain(router) }
            .maxBy { (_, seed) -> mix(key xor seed) }.key
    }

    /**
     * The reachable routers of this failure domain that may hold copies, in order of preference.
     */
    fun copyPeers(): List<RouterId> {
        val key = hash(self.value)
        return routerHashes.filter { (router, _) -> router != self && isReachableInDomain(router) }
            .entries.sortedBy { (_, seed) -> mix(key xor seed) }.map { it.key }
    }

    /** Whether a live router of this failure domain other than [owner] can't be reached. */
    fun hasOtherUnreachableRouter(owner: RouterId): Boolean = peers.values.any {
        it.domain == domain && !it.reachable && it.router != owner
    }

    private fun isReachableInDomain(router: RouterId): Boolean =
        router == self || peers[router]?.let { it.reachable && it.domain == domain } == true

    private companion object {
        // FNV-1a with the finalizer of SplitMix64, which spreads similar names evenly.
        fun hash(text: String): Long {
            var value = -0x340d631b7bdddcdbL
            for (char in text) value = (value xor char.code.toLong()) * 0x100000001b3L
            return mix(value)
        }

        fun mix(input: Long): Long {
            var value = input
            value = (value xor (value ushr 30)) * -0x40a7b892e31b1a47L
            value = (value xor (value ushr 27)) * -0x6b2fb644ecceee15L
            return value xor (value ushr 31)
        }
    }
}
