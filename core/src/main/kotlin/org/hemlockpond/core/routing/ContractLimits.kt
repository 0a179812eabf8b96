/*
 * Enforces the rate and concurrency limits of contracts across the fleet. Each router may always
 * use an equal share of a limit. While it has recent usage messages from all other routers, it may
 * also use what they leave over; equal shares alone would refuse a customer whose requests all
 * arrive at one router. Usage is exchanged periodically, so the fleet can exceed a limit by what it
 * admits within one exchange interval. Spending is protected by the budget, not by these limits.
 */
package org.hemlockpond.core.routing

import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.Contract
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.Now
import org.hemlockpond.core.RouterId

/**
 * Contract limits as enforced by one router.
 *
 * @property exchangeInterval time between two usage messages
 * @property usageValidity maximum age at which a peer's usage counts as known
 */
class ContractLimits(
    private val self: RouterId,
    private val exchangeInterval: Duration = 100.milliseconds,
    private val usageValidity: Duration = 1.seconds
) {
    private class LocalUsage(
        var ownBucket: Double,
        var sharedBucket: Double,
        var refilledAt: Duration
    ) {
        var admitted = 0L
        var running = 0
        var changed = false
    }

    private class Peer {
        var lastMessageAt: Duration? = null
        val usage = HashMap<CustomerId, CustomerUsage>()
    }

    private var contracts: Map<CustomerId, Contract> = emptyMap()
    private val usageByCustomer = HashMap<CustomerId, LocalUsage>()
    private val peers = HashMap<RouterId, Peer>()
    private var lastExchange: Duration? = null

    fun configChanged(config: FleetConfig) {
        contracts = config.contracts.associateBy { it.customer }
        usageByCustomer.keys.retainAll {
            it in contracts || usageByCustomer.getValue(it).running > 0
        }
    }

    /** Sets the routers of the fleet that are [reachable]; the set may include this router. */
    fun routersChanged(reachable: Set<RouterId>) {
        peers.keys.retainAll(reachable)
        for (router in reachable) if (router != self) peers.getOrPut(router) { Peer() }
    }

    /**
     * Admits a request of [tokens] prompt and answer tokens. Returns null if it is admitted, else
     * the error. An admitted request counts as running until [finished] is called.
     */
    fun admit(customer: CustomerId, tokens: Long, now: Now): ErrorKind? {
        val contract = contracts[customer] ?: return ErrorKind.NOT_CONFIGURED
        if (tokens > contract.maxTokensPerRequest) return ErrorKind.REQUEST_TOO_LARGE
        val local = refill(contract, now)
        val allPeersKnown = peers.values.all { it.lastMessageAt.isFresh(now) }
        val runningElsewhere = peers.values.sumOf { it.usage[customer]?.running ?: 0 }
        val share = shareOf(contract.concurrentRequests.toDouble()).toInt()
        val total = contract.concurrentRequests
        val hasCapacity = local.running < share ||
            (allPeersKnown && local.running + runningElsewhere < total)
        if (!hasCapacity) return ErrorKind.TOO_MANY_REQUESTS
        if (local.ownBucket < 1.0 && !(allPeersKnown && local.sharedBucket >= 1.0)) {
            return ErrorKind.RATE_LIMITED
        }
        if (local.ownBucket >= 1.0) local.ownBucket -= 1.0
        local.sharedBucket -= 1.0
        local.admitted++
        local.running++
        local.changed = true
        return null
    }

    /** Records the end of an admitted request, whatever its outcome. */
    fun finished(customer: CustomerId) {
        val local = usageByCustomer[customer] ?: return
        if (local.running > 0) local.running--
        local.changed = true
    }

    /**
     * Applies a peer's usage message. Counts are cumulative, so repeated messages have no effect.
     */
    fun received(from: RouterId, message: RoutingMessage.LimitUsage, now: Now) {
        val peer = peers[from] ?: return
        peer.lastMessageAt = now.elapsed
        for ((customer, usage) in message.customers) {
            val before = peer.usage[customer]
            if (before != null && usage.admitted < before.admitted) continue
            peer.usage[customer] = usage
            val contract = contracts[customer] ?: continue
            val newRequests = usage.admitted - (before?.admitted ?: 0)
            // The first report may cover a long time, so the debt is limited to one burst.
            val local = refill(contract, now)
            local.sharedBucket =
                (local.sharedBucket - newRequests).coerceAtLeast(-contract.burst.toDouble())
        }
    }

    /** Returns the usage message for all peers if one is due; it is empty if nothing changed. */
    fun tick(now: Now): RoutingMessage.LimitUsage? {
        val last = lastExchange
        if (last != null && now.elapsed - last < exchangeInterval) return null
        lastExchange = now.elapsed
        val changed = usageByCustomer.filterValues { it.changed }
        changed.values.forEach { it.changed = false }
        return RoutingMessage.LimitUsage(
            changed.mapValues { CustomerUsage(it.value.admitted, it.value.running) }
        )
    }

    private fun refill(contract: Contract, now: Now): LocalUsage {
        val share = shareOf(contract.burst.toDouble())
        val whole = contract.burst.toDouble()
        val local = usageByCustomer.getOrPut(contract.customer) {
            LocalUsage(share, whole, now.elapsed)
        }
        val seconds = (now.elapsed - local.refilledAt).inWholeMicroseconds / 1e6
        val rate = contract.requestsPerSecond
        local.ownBucket = min(share, local.ownBucket + seconds * rate / (peers.size + 1))
        local.sharedBucket = min(whole, local.sharedBucket + seconds * rate)
        local.refilledAt = now.elapsed
        return local
    }

    private fun shareOf(limit: Double): Double = (limit / (peers.size + 1)).coerceAtLeast(1.0)

    private fun Duration?.isFresh(now: Now): Boolean =
        this != null && now.elapsed - this <= usageValidity
}
