/*
 * The rate and concurrency of a contract hold for the whole fleet. Each router may always use its
 * equal part of them. Beyond that part it uses what the other routers have left over, as long as it
 * hears from all of them: equal parts alone refuse a customer whose requests happen to arrive at
 * one router. What a router admits between two messages isn't known to the others, so the limits
 * can be passed by what arrives within one exchange; the budget, not the limit, guards money.
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
 * Contract limits as one router applies them.
 *
 * @property exchange the time between two usage messages
 * @property freshness the age at which a peer's usage no longer counts as known
 */
class ContractLimits(
    private val self: RouterId,
    private val exchange: Duration = 100.milliseconds,
    private val freshness: Duration = 1.seconds
) {
    private class Use(var own: Double, var shared: Double, var at: Duration) {
        var admitted = 0L
        var running = 0
        var changed = false
    }

    private class Peer {
        var heard: Duration? = null
        val usage = HashMap<CustomerId, CustomerUsage>()
    }

    private var contracts: Map<CustomerId, Contract> = emptyMap()
    private val uses = HashMap<CustomerId, Use>()
    private val peers = HashMap<RouterId, Peer>()
    private var lastExchange: Duration? = null

    fun configChanged(config: FleetConfig) {
        contracts = config.contracts.associateBy { it.customer }
        uses.keys.retainAll { it in contracts || uses.getValue(it).running > 0 }
    }

    /** [live] are the routers of the whole fleet that can be reached; may include this one. */
    fun routersChanged(live: Set<RouterId>) {
        peers.keys.retainAll(live)
        for (router in live) if (router != self) peers.getOrPut(router) { Peer() }
    }

    /**
     * Admits a request of [tokens] prompt plus answer tokens, or returns why not. An admitted
     * request counts as running until [finished].
     */
    fun admit(customer: CustomerId, tokens: Long, now: Now): ErrorKind? {
        val contract = contracts[customer] ?: return ErrorKind.NOT_CONFIGURED
        if (tokens > contract.maxTokensPerRequest) return ErrorKind.REQUEST_TOO_LARGE
        val use = refill(contract, now)
        val known = peers.values.all { it.heard.isFresh(now) }
        val elsewhere = peers.values.sumOf { it.usage[customer]?.running ?: 0 }
        val part = partOf(contract.concurrentRequests.toDouble()).toInt()
        val total = contract.concurrentRequests
        val room = use.running < part || (known && use.running + elsewhere < total)
        if (!room) return ErrorKind.TOO_MANY_REQUESTS
        if (use.own < 1.0 && !(known && use.shared >= 1.0)) return ErrorKind.RATE_LIMITED
        if (use.own >= 1.0) use.own -= 1.0
        use.shared -= 1.0
        use.admitted++
        use.running++
        use.changed = true
        return null
    }

    /** An admitted request ended, whatever its outcome. */
    fun finished(customer: CustomerId) {
        val use = uses[customer] ?: return
        if (use.running > 0) use.running--
        use.changed = true
    }

    /** A peer's usage. Counts are cumulative, so a repeated message changes nothing. */
    fun received(from: RouterId, message: RoutingMessage.LimitUsage, now: Now) {
        val peer = peers[from] ?: return
        peer.heard = now.elapsed
        for ((customer, usage) in message.customers) {
            val before = peer.usage[customer]
            if (before != null && usage.admitted < before.admitted) continue
            peer.usage[customer] = usage
            val contract = contracts[customer] ?: continue
            val news = usage.admitted - (before?.admitted ?: 0)
            // The first report may cover a long time; it must not empty the bucket below zero.
            val use = refill(contract, now)
            use.shared = (use.shared - news).coerceAtLeast(-contract.burst.toDouble())
        }
    }

    /** The message for all other routers, if one is due. It is empty when nothing changed. */
    fun tick(now: Now): RoutingMessage.LimitUsage? {
        val last = lastExchange
        if (last != null && now.elapsed - last < exchange) return null
        lastExchange = now.elapsed
        val news = uses.filterValues { it.changed }
        news.values.forEach { it.changed = false }
        return RoutingMessage.LimitUsage(
            news.mapValues { CustomerUsage(it.value.admitted, it.value.running) }
        )
    }

    private fun refill(contract: Contract, now: Now): Use {
        val part = partOf(contract.burst.toDouble())
        val whole = contract.burst.toDouble()
        val use = uses.getOrPut(contract.customer) { Use(part, whole, now.elapsed) }
        val seconds = (now.elapsed - use.at).inWholeMicroseconds / 1e6
        val rate = contract.requestsPerSecond
        use.own = min(part, use.own + seconds * rate / (peers.size + 1))
        use.shared = min(whole, use.shared + seconds * rate)
        use.at = now.elapsed
        return use
    }

    private fun partOf(limit: Double): Double = (limit / (peers.size + 1)).coerceAtLeast(1.0)

    private fun Duration?.isFresh(now: Now): Boolean =
        this != null && now.elapsed - this <= freshness
}
