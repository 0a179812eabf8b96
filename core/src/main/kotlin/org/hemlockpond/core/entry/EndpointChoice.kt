/*
 * Chooses an endpoint for one request. Reading a shared prompt part again costs more than anything
 * else that placement decides, so the endpoints that have it go first as long as their answer comes
 * early enough. Hosts agree on the endpoint of a part by rendezvous hashing, without a message.
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
    class Chosen(
        val load: EndpointLoad,
        val predictedLatency: Duration,
        val cacheProbability: Double
    )

    /** The best of [loads] that has room and isn't in [avoid]; null if there is none. */
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

    /** The endpoints at which hosts place the last shared part, in order of preference. */
    private fun preferred(prompt: Prompt?, loads: Collection<EndpointLoad>): List<EndpointLoad> {
        if (prompt == null || prompt.parts.size < 2) return emptyList()
        val key = mix(prompt.parts[prompt.parts.size - 2].id.hashCode().toLong())
        return loads.sortedByDescending {
            mix(key xor it.placementHash)
        }.take(settings.preferredCacheProbabilities.size)
    }
}
