/*
 * The state of one endpoint as known to this router. Load reports lag, so the router counts its own
 * requests exactly and uses reports only to estimate what the other routers hold.
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
    /** Sources that report the endpoint as leaving, with the expiry time of each report. */
    private val leaving: Map<LeavingSource, Duration>
) {
    val share = MemoryShare()
    var health = EndpointHealth(settings, onProbation)
        private set
    val idHash: Long = mix(config.id.value.hashCode().toLong())

    /** Maximum concurrent requests of this router; plain services are limited by their share. */
    var maxRunning = Int.MAX_VALUE

    /** Capacity held by this router's requests, in the unit of [capacity]. */
    var held = 0L
        private set
    var running = 0
        private set
    private var longHeld = 0L
    private var longRunning = 0

    /** Prompt tokens, and number of long requests, of this router that await their first token. */
    private var prefilling = 0L
    private var longPrefilling = 0

    /** Other routers that run suspect content here, with the expiry time of each isolation. */
    val isolatedBy = HashMap<RouterId, Duration>(0)

    /** Whether this router has isolated the endpoint for suspect content. */
    var isolatedHere = false

    /** The long request for which this endpoint's free memory is reserved; see [Reservations]. */
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

    /** Maximum load in tokens, or in requests for a plain service; more can crash the endpoint. */
    val capacity: Long get() = if (isService) config.maxRequests.toLong() else config.memoryTokens

    /** The capacity without [RoutingSettings.memoryReserve]. */
    val usableCapacity: Long
        get() = if (isService) capacity else (capacity * (1 - settings.memoryReserve)).toLong()

    fun cost(request: RoutingRequest): Long =
        if (isService) 1 else request.promptTokens + request.maxAnswerTokens

    fun recordReport(heldTokens: Long, now: Duration) {
        reportedTokens = heldTokens
        heldAtReport = held
        reportedAt = now
    }

    /** Capacity held by other routers at the last report; 0 if the report is too old. */
    fun heldByOthers(now: Duration): Long {
        if (now - reportedAt > settings.reportValidity) return 0
        return (reportedTokens - heldAtReport).coerceAtLeast(0)
    }

    /**
     * Load relative to the capacity. Prompts without a first token have more weight than the memory
     * they hold, because an engine prefills prompts in order and they delay the ones after them.
     */
    fun load(now: Duration): Double {
        val prefillLoad = settings.prefillWeight * prefilling
        return (heldByOthers(now) + held + prefillLoad) / capacity
    }

    fun isLeaving(now: Duration): Boolean =
        config.leaving || (leaving.isNotEmpty() && leaving.values.any { it > now })

    /** Whether the endpoint accepts new requests, regardless of free memory. */
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
            // Short requests may still use the part that long requests can't use.
            if (pending.isLong || reservedCost > longLimit) return false
            return held - longHeld + cost <= limit - longLimit
        }
        if (!pending.isLong || longRunning == 0) return true
        if (longPrefilling >= settings.maxLongPrefills) return false
        return longHeld + cost <= longLimit && longRunning < maxRunning * settings.longShare
    }

    /** Resets the health, because nothing is known about the new version. */
    fun versionChanged() {
        health = EndpointHealth(settings, onProbation = true)
    }

    /** The share limit that [pending] needs. Long requests may use only a part of a share. */
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

/** Mixes the bits of a hash with the finalizer of SplitMix64. */
internal fun mix(value: Long): Long {
    var z = value * -0x61c8864680b583ebL
    z = (z xor (z ushr 30)) * -0x40a7b892e31b1a47L
    z = (z xor (z ushr 27)) * -0x6b2fb644ecceee15L
    return z xor (z ushr 31)
}
