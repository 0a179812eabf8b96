/*
 * Keeps the bound on requests to cold endpoints: engines that have just started, or whose caches are
 * cold again, crash under the load of warm ones. Such load comes when a failure domain returns under
 * full load and all hosts send to its endpoints at once.
 *
 * Each host knows from the endpoint list how long an endpoint is cold, and counts that time down on its
 * own clock. Only the hosts that [ColdSenders] chooses send to a cold endpoint, at the rate of
 * [ColdShare], and none needs the store or other hosts for it. A sender begins one interval after it was
 * chosen, so that a change of the known hosts causes no additional request at once.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.FailureDomain

internal class ColdEndpoints(
    domain: FailureDomain,
    private val settings: PlacementSettings,
    private val hosts: KnownHosts
) {
    private class State {
        var coldUntil = -Duration.INFINITE
        var nextAt = -Duration.INFINITE
        var writtenAt = -Duration.INFINITE
        var isStarted = false
        var isSender = false

        /** The number of other hosts by which [isSender] was determined. */
        var hostCount = -1
    }

    private val senders = ColdSenders(domain, settings.regions.keys, hosts)
    private val states = HashMap<EndpointProcess, State>()
    private val returningUntil = HashMap<FailureDomain, Duration>()
    private var rates: Map<ServiceId, Double> = emptyMap()
    private var shares: Map<ServiceId, ColdShare> = emptyMap()

    /** Whether any service has a bound. */
    val isActive: Boolean get() = shares.isNotEmpty()

    /** The number of requests that were sent to cold endpoints. */
    var sentCount = 0L
        private set

    fun configChanged(config: EntryConfig) {
        val next = config.services.values.mapNotNull { service ->
            service.coldPerSecond?.let { service.id to it }
        }.toMap()
        if (next == rates) return
        rates = next
        shares = next.mapValues { ColdShare(it.value, senders.domainCount, settings) }
        startAgain()
    }

    /** All pauses begin anew, and senders are chosen again. */
    private fun startAgain() = states.values.forEach {
        it.isStarted = false
        it.hostCount = -1
    }

    /** Notes the cold time in an entry that was read at [now]. */
    fun endpointRead(endpoint: ListedEndpoint, now: Duration) {
        if (endpoint.coldLeft <= Duration.ZERO) {
            states[endpoint.process]?.coldUntil = -Duration.INFINITE
            return
        }
        val state = states.getOrPut(endpoint.process) { State() }
        if (state.coldUntil <= now) state.isStarted = false
        state.coldUntil = now + endpoint.coldLeft + settings.coldMargin
        val isKnown = endpoint.service in shares && hosts.discovery != HostDiscovery.UNKNOWN
        if (isKnown) state(endpoint, now)
    }

    fun endpointRemoved(process: EndpointProcess) {
        states -= process
    }

    /** The evacuation of [domain] ended; its endpoints may be cold although the list doesn't say so yet. */
    fun domainReturned(domain: FailureDomain, now: Duration) {
        returningUntil.values.removeIf { it <= now }
        returningUntil[domain] = now + settings.returnCaution
        startAgain()
    }

    /** The time until which [endpoint] counts as cold; a time in the past if it is warm. */
    fun coldUntil(endpoint: ListedEndpoint): Duration {
        if (endpoint.service !in shares) return -Duration.INFINITE
        val own = states[endpoint.process]?.coldUntil ?: -Duration.INFINITE
        return maxOf(own, returningUntil[endpoint.domain] ?: -Duration.INFINITE)
    }

    fun isCold(endpoint: ListedEndpoint, now: Duration): Boolean =
        isActive && now < coldUntil(endpoint)

    /**
     * Whether this host may send a request to the cold [endpoint] now.
     *
     * @param hasWarm whether the service has warm endpoints; a host that may not know all others
     *   then sends nothing to cold ones
     */
    fun mayReceive(endpoint: ListedEndpoint, hasWarm: Boolean, now: Duration): Boolean =
        now >= readyAt(endpoint, hasWarm, now)

    /** When this host may send to the cold [endpoint]; infinite if others send. */
    fun readyAt(endpoint: ListedEndpoint, hasWarm: Boolean, now: Duration): Duration {
        if (!isDiscovered(hasWarm)) return Duration.INFINITE
        val state = state(endpoint, now)
        return if (state.isSender) state.nextAt else Duration.INFINITE
    }

    private fun isDiscovered(hasWarm: Boolean) = when (hosts.discovery) {
        HostDiscovery.UNKNOWN -> false
        HostDiscovery.FOUND -> !hasWarm
        HostDiscovery.SETTLED -> true
    }

    private fun state(endpoint: ListedEndpoint, now: Duration): State {
        val share = shares.getValue(endpoint.service)
        val state = states.getOrPut(endpoint.process) { State() }
        val hostCount = hosts.others.size
        if (state.hostCount != hostCount) {
            state.hostCount = hostCount
            val isSender = senders.isSender(endpoint.id, share.sendingDomains)
            if (isSender && !state.isSender) state.isStarted = false
            state.isSender = isSender
        }
        if (!state.isStarted) {
            state.isStarted = true
            state.nextAt = maxOf(state.nextAt, now + share.interval)
        }
        return state
    }

    /** The most requests of this host at a cold endpoint of [service] whose answers haven't started. */
    fun maxUnanswered(service: ServiceId): Int = shares.getValue(service).maxUnanswered

    /** The time between two requests of this host to a cold endpoint of [service]. */
    fun interval(service: ServiceId): Duration = shares.getValue(service).interval

    /** Takes this host's next request to [endpoint]; returns whether the endpoint is cold. */
    fun requestSent(endpoint: ListedEndpoint, now: Duration): Boolean {
        if (!isCold(endpoint, now)) return false
        state(endpoint, now).nextAt = now + interval(endpoint.service)
        return true
    }

    /**
     * Whether a request that was sent to the cold [endpoint] may be written now. Requests wait for
     * connections for different times, which must not bring them together.
     */
    fun mayWrite(endpoint: ListedEndpoint, now: Duration): Boolean {
        val state = state(endpoint, now)
        return state.isSender &&
            now - state.writtenAt >= interval(endpoint.service) * MIN_WRITE_SPACING
    }

    fun requestWritten(endpoint: ListedEndpoint, now: Duration) {
        sentCount++
        state(endpoint, now).writtenAt = now
    }

    companion object {
        /** The least fraction of the interval between two requests that are written. */
        private const val MIN_WRITE_SPACING = 0.75

        /** A host without a share names at most this time, because other hosts may have one. */
        val RETRY_ELSEWHERE = 2.seconds
    }
}
