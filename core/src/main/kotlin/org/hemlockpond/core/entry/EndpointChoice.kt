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
    class Chosen(val load: EndpointLoad, val predicted: Duration, val likely: Double)

    /** The best of [loads] that has room and isn't in [avoid]; null if there is none. */
    fun choose(
        request: EntryRequest,
        loads: Collection<EndpointLoad>,
        avoid: Set<EndpointId>,
        now: Duration
    ): Chosen? {
        val free = loads.filter { it.listed.id !in avoid && it.hasRoom(now) }
        val homes = homes(request.prompt, loads)
        val timely = (request.goalEnd - now).coerceAtLeast(Duration.ZERO) * settings.timelyShare
        var best: Chosen? = null
        var bestCost = Duration.INFINITE
        for (load in free) {
            val place = homes.indexOf(load)
            val likely = if (place < 0) 0.0 else settings.homeShares[place]
            val uncached = load.uncached(request.prompt, now, likely)
            val predicted = load.predict(uncached.own + uncached.shared, now)
            val far = if (load.listed.domain == domain) Duration.ZERO else settings.domainPenalty
            val late = (predicted - timely).coerceAtLeast(Duration.ZERO) * settings.lateWeight
            val reread = settings.rereadPenalty * uncached.shared.toDouble()
            val pauses = load.pause(now) * settings.pauseWeight
            val cost = predicted + late + reread + far + pauses
            if (cost < bestCost) {
                best = Chosen(load, predicted, likely)
                bestCost = cost
            }
        }
        return best
    }

    /** The endpoints at which hosts place the last shared part, in order of preference. */
    private fun homes(prompt: Prompt?, loads: Collection<EndpointLoad>): List<EndpointLoad> {
        if (prompt == null || prompt.parts.size < 2) return emptyList()
        val key = mix(prompt.parts[prompt.parts.size - 2].id.hashCode().toLong())
        return loads.sortedByDescending { mix(key xor it.hash) }.take(settings.homeShares.size)
    }
}
