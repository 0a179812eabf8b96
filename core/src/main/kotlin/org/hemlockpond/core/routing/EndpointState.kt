/*
 * What this router knows about one endpoint. Load reports lag, so the router's own requests in
 * flight are counted exactly and a report only says what the other routers hold.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

internal class EndpointState(
    var config: EndpointConfig,
    private val settings: RoutingSettings,
    onProbation: Boolean,
    /** Sources that say the endpoint is leaving, with the time at which each statement lapses. */
    private val leaving: Map<LeavingSource, Duration>
) {
    val share = MemoryShare()
    var health = EndpointHealth(settings, onProbation)
        private set
    val idHash: Long = mix(config.id.value.hashCode().toLong())

    /** Requests of this router that may run at once; a plain service's share says it already. */
    var maxRunning = Int.MAX_VALUE
    var held = 0L
        private set
    var running = 0
        private set
    private var longHeld = 0L
    private var longRunning = 0

    /** Prompt tokens of own requests whose first token hasn't come, and the long ones of these. */
    private var prefilling = 0L
    private var longPrefilling = 0

    /** Routers that run suspect content there, with the time at which each statement lapses. */
    val isolatedBy = HashMap<RouterId, Duration>(0)

    /** Whether this router runs suspect content there, or is about to. */
    var isolatedHere = false

    /** A long request that has waited for long and gets this endpoint's next free memory. */
    var reservedFor: RequestId? = null
    var reservedCost = 0L
    var lastBorrowAt = -Duration.INFINITE
    var unansweredBorrowRequests = 0
    var lastUsedAt = Duration.ZERO
    private var reportedTokens = 0L
    private var heldAtReport = 0L
    var reportedAt = -Duration.INFINITE
        private set

    val isService: Boolean get() = config.memoryTokens <= 0L

    /** Tokens, or requests of a plain service, that the endpoint holds without falling over. */
    val capacity: Long get() = if (isService) config.maxRequests.toLong() else config.memoryTokens

    /** The part of the capacity that is given out. */
    val usableCapacity: Long
        get() = if (isService) capacity else (capacity * (1 - settings.memoryReserve)).toLong()

    fun cost(request: RoutingRequest): Long =
        if (isService) 1 else request.promptTokens + request.maxAnswerTokens

    fun recordReport(heldTokens: Long, now: Duration) {
        reportedTokens = heldTokens
        heldAtReport = held
        reportedAt = now
    }

    /** What other routers held by the last report. */
    fun heldByOthers(now: Duration): Long {
        if (now - reportedAt > settings.reportValidity) return 0
        return (reportedTokens - heldAtReport).coerceAtLeast(0)
    }

    /**
     * Prompts that wait for their first token delay others more than the memory they hold, because
     * an engine prefills them in order.
     */
    fun load(now: Duration): Double {
        val prefillLoad = settings.prefillWeight * prefilling
        return (heldByOthers(now) + held + prefillLoad) / capacity
    }

    fun isLeaving(now: Duration): Boolean =
        config.leaving || (leaving.isNotEmpty() && leaving.values.any { it > now })

    /** Whether the endpoint takes new work, memory aside. */
    fun acceptsRequests(now: Duration): Boolean =
        !isolatedHere && acceptsSuspect(now) && health.mayReceive(running, now)

    fun acceptsSuspect(now: Duration): Boolean = !isLeaving(now) &&
        (isolatedBy.isEmpty() || isolatedBy.values.none { it > now }) &&
        !health.isExcluded(now)

    fun hasRoom(pending: PendingRequest, now: Duration): Boolean {
        val cost = cost(pending.request)
        val limit = share.limit
        if (held + cost > limit || running >= maxRunning) return false
        if (heldByOthers(now) + held + cost > usableCapacity) return false
        val reserved = reservedFor
        if (reserved == pending.request.id) return true
        val longLimit = (limit * settings.longShare).toLong()
        if (reserved != null) {
            // Short requests go on in the part that long ones can't fill.
            if (pending.isLong || reservedCost > longLimit) return false
            return held - longHeld + cost <= limit - longLimit
        }
        if (!pending.isLong || longRunning == 0) return true
        if (longPrefilling >= settings.maxLongPrefills) return false
        return longHeld + cost <= longLimit && longRunning < maxRunning * settings.longShare
    }

    /** Another version runs there, about which nothing is known. */
    fun versionChanged() {
        health = EndpointHealth(settings, onProbation = true)
    }

    /** The share with which [pending] would fit. Long requests fill only a part of a share. */
    fun neededLimit(pending: PendingRequest): Long {
        val cost = cost(pending.request)
        val plain = held + cost
        if (!pending.isLong || longRunning == 0) return plain
        return maxOf(plain, ((longHeld + cost) / settings.longShare).toLong() + 1)
    }

    fun requestStarted(pending: PendingRequest, now: Duration) {
        val cost = cost(pending.request)
        held += cost
        running++
        lastUsedAt = now
        if (!isService) prefilling += pending.request.promptTokens
        if (pending.isLong) {
            longPrefilling++
            longHeld += cost
            longRunning++
        }
    }

    fun prefillEnded(pending: PendingRequest) {
        if (!isService) prefilling -= pending.request.promptTokens
        if (pending.isLong) longPrefilling--
    }

    fun requestEnded(pending: PendingRequest) {
        val cost = cost(pending.request)
        held -= cost
        running--
        if (pending.isLong) {
            longHeld -= cost
            longRunning--
        }
    }
}

/** The finalizer of SplitMix64, which spreads the bits of a hash. */
internal fun mix(value: Long): Long {
    var z = value * -0x61c8864680b583ebL
    z = (z xor (z ushr 30)) * -0x40a7b892e31b1a47L
    z = (z xor (z ushr 27)) * -0x6b2fb644ecceee15L
    return z xor (z ushr 31)
}
