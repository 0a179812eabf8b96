/*
 * Decides which endpoints a request may be sent to at all: not to those of an evacuated failure domain or
 * of a region that its route or organisation doesn't allow, and to cold ones only within their bound.
 * [EndpointChoice] chooses among the remaining ones.
 *
 * A request may wait for its connection after the choice, so the constraints are checked once more right
 * before it is written.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import org.hemlockpond.core.FailureDomain

internal class PlacementConstraints(
    domain: FailureDomain,
    settings: PlacementSettings,
    hosts: KnownHosts
) {
    private val cold = ColdEndpoints(domain, settings, hosts)
    private val regions = AllowedRegions(settings.regions)
    private var isChanged = false

    /** The failure domains whose endpoints get no requests. */
    var evacuated: Set<FailureDomain> = emptySet()
        private set

    /** The number of requests that were sent to cold endpoints. */
    val coldSends: Long get() = cold.sentCount

    /** The number of requests that were kept back right before they would have been written. */
    var withdrawnCount = 0L
        private set

    fun configChanged(config: EntryConfig) {
        cold.configChanged(config)
        regions.configChanged(config)
        isChanged = true
    }

    fun evacuationsChanged(domains: Set<FailureDomain>, now: Duration) {
        (evacuated - domains).forEach { cold.domainReturned(it, now) }
        evacuated = domains.toSet()
        isChanged = true
    }

    fun endpointRead(endpoint: ListedEndpoint, now: Duration) {
        cold.endpointRead(endpoint, now)
        isChanged = true
    }

    fun endpointRemoved(process: EndpointProcess) {
        cold.endpointRemoved(process)
        isChanged = true
    }

    fun isCold(endpoint: ListedEndpoint, now: Duration): Boolean = cold.isCold(endpoint, now)

    /** Whether waiting requests may have lost their last allowed endpoint since the last call. */
    fun takeChange(): Boolean = isChanged.also { isChanged = false }

    private fun isAllowed(request: EntryRequest, endpoint: ListedEndpoint) =
        endpoint.domain !in evacuated && regions.allow(request, endpoint.domain)

    private fun hasConstraint(request: EntryRequest) =
        evacuated.isNotEmpty() || cold.isActive || regions.isRestricted(request)

    /** Whether there are [loads], and none of them may ever get [request] while the constraints last. */
    fun isUnplaceable(request: EntryRequest, loads: Collection<EndpointLoad>): Boolean =
        hasConstraint(request) && loads.isNotEmpty() &&
            loads.none { isAllowed(request, it.endpoint) }

    /** The endpoints of [loads] that any request may get, without cold ones if there are others. */
    fun usable(loads: Collection<EndpointLoad>, now: Duration): Collection<EndpointLoad> {
        if (evacuated.isEmpty() && !cold.isActive) return loads
        val open = loads.filter { it.endpoint.domain !in evacuated }
        return open.filter { !cold.isCold(it.endpoint, now) }.ifEmpty { open }
    }

    /** The groups of [loads] to which [request] may be sent now, the preferred one first. */
    fun choices(
        request: EntryRequest,
        loads: Collection<EndpointLoad>,
        now: Duration
    ): List<Collection<EndpointLoad>> {
        if (!hasConstraint(request)) return listOf(loads)
        val allowed = loads.filter { isAllowed(request, it.endpoint) }
        if (!cold.isActive) return listOf(allowed)
        val (coldOnes, warm) = allowed.partition { cold.isCold(it.endpoint, now) }
        if (coldOnes.isEmpty()) return listOf(warm)
        val hasWarm = hasWarm(loads, now)
        val limit = cold.maxUnanswered(request.service)
        val ready = coldOnes.filter {
            it.unansweredCount < limit && cold.mayReceive(it.endpoint, hasWarm, now)
        }
        return listOf(warm, ready)
    }

    private fun hasWarm(loads: Collection<EndpointLoad>, now: Duration) =
        loads.any { it.endpoint.domain !in evacuated && !cold.isCold(it.endpoint, now) }

    /**
     * When a request behind [waiting] others can be sent if only cold endpoints are left for it; [now] if
     * warm ones are.
     */
    fun readyAt(
        request: EntryRequest,
        loads: Collection<EndpointLoad>,
        waiting: Int,
        now: Duration
    ): Duration {
        if (!cold.isActive) return now
        val allowed = loads.map { it.endpoint }.filter { isAllowed(request, it) }
        if (allowed.isEmpty() || allowed.any { !cold.isCold(it, now) }) return now
        val hasWarm = hasWarm(loads, now)
        val ready = allowed.map { cold.readyAt(it, hasWarm, now) }.filter { it.isFinite() }
        val warmAt = allowed.minOf { cold.coldUntil(it) }
        if (ready.isEmpty()) return minOf(warmAt, now + ColdEndpoints.RETRY_ELSEWHERE)
        val turn = cold.interval(request.service) * waiting / ready.size
        return minOf(warmAt, maxOf(now, ready.min()) + turn)
    }

    /** Notes that an endpoint was chosen; returns whether the request uses a share of a cold one. */
    fun requestSent(endpoint: ListedEndpoint, now: Duration): Boolean =
        cold.requestSent(endpoint, now)

    /**
     * Whether [request] may be written to the chosen [endpoint] now; if so, it has to be.
     *
     * @param hasColdShare whether the endpoint was cold when it was chosen
     */
    fun beginWrite(
        request: EntryRequest,
        endpoint: ListedEndpoint,
        hasColdShare: Boolean,
        now: Duration
    ): Boolean {
        val isCold = cold.isCold(endpoint, now)
        val isKept = isAllowed(request, endpoint) &&
            (!isCold || (hasColdShare && cold.mayWrite(endpoint, now)))
        if (!isKept) {
            withdrawnCount++
        } else if (isCold) {
            cold.requestWritten(endpoint, now)
        }
        return isKept
    }
}
