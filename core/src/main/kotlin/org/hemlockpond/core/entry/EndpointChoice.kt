/*
 * Chooses an endpoint for one request: the one with the earliest predicted answer, where another
 * failure domain counts as later. Hosts agree on the engine of a new prompt part by rendezvous
 * hashing, without a message, so that the part is read once and not once for each host.
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
    class Chosen(val load: EndpointLoad, val predicted: Duration)

    /** The best of [loads] that has room and isn't in [avoid]; null if there is none. */
    fun choose(
        request: EntryRequest,
        loads: Collection<EndpointLoad>,
        avoid: Set<EndpointId>,
        now: Duration
    ): Chosen? {
        val free = loads.filter { it.listed.id !in avoid && it.hasRoom(now) }
        val home = sharedPart(request.prompt)?.let { home(it, free, now) }
        var best: EndpointLoad? = null
        var bestPredicted = Duration.INFINITE
        var bestCost = Duration.INFINITE
        for (load in free) {
            val predicted = load.predict(request.prompt, now, likelyCached = load === home)
            val cost = predicted +
                if (load.listed.domain == domain) Duration.ZERO else settings.domainPenalty
            if (cost < bestCost) {
                best = load
                bestPredicted = predicted
                bestCost = cost
            }
        }
        return best?.let { Chosen(it, bestPredicted) }
    }

    /** The last part that other requests share. */
    private fun sharedPart(prompt: Prompt?): PromptPart? =
        prompt?.parts?.let { if (it.size > 1) it[it.size - 2] else null }

    private fun home(part: PromptPart, free: List<EndpointLoad>, now: Duration): EndpointLoad? {
        if (free.any { it.knows(part, now) }) return null
        val near = free.filter { it.listed.domain == domain }.ifEmpty { free }
        val key = mix(part.id.hashCode().toLong())
        return near.maxByOrNull { mix(key xor mix(it.listed.id.value.hashCode().toLong())) }
    }
}
