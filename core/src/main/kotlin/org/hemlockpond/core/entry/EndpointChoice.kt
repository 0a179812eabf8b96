/*
 * Chooses an endpoint for a request. Reading a shared prompt part again is the highest cost that
 * placement influences, so endpoints that have the part cached are preferred as long as the answer
 * is predicted to be on time. Rendezvous hashing makes all hosts place a part at the same endpoints
 * without communication. Engines whose reports are known are compared as [EngineSampling] says.
 */
package org.hemlockpond.core.entry

import kotlin.random.Random
import kotlin.time.Duration
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.routing.mix

internal class EndpointChoice(
    private val domain: FailureDomain,
    private val settings: EntrySettings,
    private val views: EngineViews = EngineViews(settings.view),
    random: Random = Random.Default
) {
    /** The probabilities that the places of a prompt part have it cached. */
    private val cacheProbabilities =
        settings.preferredCacheProbabilities + settings.view.overflowCacheProbabilities
    private val sampling = EngineSampling(settings.view, random)

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
        val places = places(request.prompt, loads)
        val preferredCount = settings.preferredCacheProbabilities.size
        val sample = sampling.of(request.prompt, available, places, preferredCount, now)
        val comparison = Comparison(
            request,
            if (sample == null) places.take(preferredCount) else places,
            sample,
            now
        )
        for (tier in sample?.tiers ?: listOf(available)) {
            tier.forEach(comparison::add)
            if (comparison.isOnTime) break
        }
        return comparison.best?.also {
            if (it.load.isEngine) views.placed(byView = sample != null)
        }
    }

    /** Finds the cheapest of the endpoints that are added. */
    private inner class Comparison(
        private val request: EntryRequest,
        private val places: List<EndpointLoad>,
        private val sample: EngineSampling.Sample?,
        private val now: Duration
    ) {
        private val onTimeLimit =
            (request.goalDeadline - now).coerceAtLeast(Duration.ZERO) *
                if (sample == null) settings.onTimeFraction else settings.view.onTimeFraction
        private var bestCost = Duration.INFINITE
        var best: Chosen? = null
            private set

        /** Whether the cheapest endpoint is predicted to be on time. */
        val isOnTime: Boolean get() = best?.let { it.predictedLatency <= onTimeLimit } ?: false

        fun add(load: EndpointLoad) {
            val index = places.indexOf(load)
            val cacheProbability = if (index < 0) 0.0 else cacheProbabilities[index]
            val uncached = load.uncachedTokens(request.prompt, now, cacheProbability)
            val predictedLatency = predict(load, uncached.own + uncached.shared)
            val cost = cost(load, uncached, predictedLatency)
            if (cost < bestCost) {
                best = Chosen(load, predictedLatency, cacheProbability)
                bestCost = cost
            }
        }

        private fun predict(load: EndpointLoad, tokens: Long): Duration = if (sample == null) {
            load.predictLatency(tokens, now)
        } else {
            load.predictLatency(tokens, now, load.reportedBacklog(sample.assumedTokens, now))
        }

        private fun cost(
            load: EndpointLoad,
            uncached: EndpointLoad.UncachedTokens,
            predictedLatency: Duration
        ): Duration {
            val latenessCost = (predictedLatency - onTimeLimit).coerceAtLeast(Duration.ZERO) *
                settings.latenessWeight
            val rereadCost = settings.rereadPenalty * uncached.shared.toDouble()
            val domainCost =
                if (load.endpoint.domain == domain) Duration.ZERO else settings.domainPenalty
            val eventGapCost = load.meanEventGap(now) * settings.eventGapWeight
            val active = if (sample == null) 0 else load.view.current(now)?.active ?: 0
            return predictedLatency + latenessCost + rereadCost + domainCost + eventGapCost +
                settings.view.activeCost * active
        }
    }

    /**
     * Returns the endpoints at which all hosts place the last shared part, most preferred first.
     */
    private fun places(prompt: Prompt?, loads: Collection<EndpointLoad>): List<EndpointLoad> {
        if (prompt == null || prompt.parts.size < 2) return emptyList()
        val key = mix(prompt.parts[prompt.parts.size - 2].id.hashCode().toLong())
        return loads.sortedByDescending {
            mix(key xor it.placementHash)
        }.take(cacheProbabilities.size)
    }
}
