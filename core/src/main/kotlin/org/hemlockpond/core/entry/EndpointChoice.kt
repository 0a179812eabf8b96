/*
 * Chooses an endpoint for a request. Reading a shared prompt part again is the highest cost that
 * placement influences, so endpoints that have the part cached are preferred as long as the answer
 * is predicted to be on time. Rendezvous hashing makes all hosts place a part at the same endpoints
 * without communication.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.routing.mix

internal class EndpointChoice(
    private val domain: FailureDomain,
    private val settings: EntrySettings
) {
    /**
     * @property predictedLatency the time until the first event, or the answer of a plain service
     * @property cacheProbability the probability that other hosts have sent the shared parts there
     */
    class Chosen(
        val load: EndpointLoad,
        val predictedLatency: Duration,
        val cacheProbability: Double
    )

    /**
     * Returns the cheapest of [loads] with capacity that isn't in [avoid]; null if there is none.
     */
    fun choose(
        request: EntryRequest,
        loads: Collection<EndpointLoad>,
        avoid: Set<EndpointId>,
        now: Duration
    ): Chosen? {
        val available = loads.filter { it.endpoint.id !in avoid && it.hasCapacity(now) }
        val preferred = preferred(request.prompt, loads)
        val onTimeLimit =
            (request.goalDeadline - now).coerceAtLeast(Duration.ZERO) * settings.onTimeFraction
        var best: Chosen? = null
        var bestCost = Duration.INFINITE
        for (load in available) {
            val index = preferred.indexOf(load)
            val cacheProbability = if (index <
                0
            ) {
                0.0
            } else {
                settings.preferredCacheProbabilities[index]
            }
            val uncachedTokens = load.uncachedTokens(request.prompt, now, cacheProbability)
            val predictedLatency = load.predictLatency(
                uncachedTokens.own + uncachedTokens.shared,
                now
            )
            val domainCost = if (load.endpoint.domain ==
                domain
            ) {
                Duration.ZERO
            } else {
                settings.domainPenalty
            }
            val latenessCost =
                (predictedLatency - onTimeLimit).coerceAtLeast(Duration.ZERO) *
                    settings.latenessWeight
            val rereadCost = settings.rereadPenalty * uncachedTokens.shared.toDouble()
            val eventGapCost = load.meanEventGap(now) * settings.eventGapWeight
            val cost = predictedLatency + latenessCost + rereadCost + domainCost + eventGapCost
            if (cost < bestCost) {
                best = Chosen(load, predictedLatency, cacheProbability)
                bestCost = cost
            }
        }
        return best
    }

    /**
     * Returns the endpoints at which all hosts place the last shared part, most preferred first.
     */
    private fun preferred(prompt: Prompt?, loads: Collection<EndpointLoad>): List<EndpointLoad> {
        if (prompt == null || prompt.parts.size < 2) return emptyList()
        val key = mix(prompt.parts[prompt.parts.size - 2].id.hashCode().toLong())
        return loads.sortedByDescending {
            mix(key xor it.placementHash)
        }.take(settings.preferredCacheProbabilities.size)
    }
}
