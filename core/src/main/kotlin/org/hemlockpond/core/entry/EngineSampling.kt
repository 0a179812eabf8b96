/*
 * Selects the engines that are compared for a request, if the view of engines can be used: those that
 * probably have its shared prompt parts cached, and a few random ones. The random ones keep hosts with
 * the same view from choosing the same engine ("power of two choices", Mitzenmacher 2001).
 *
 * Load pattern: many hosts that each send a small part of the requests, by reports that are up to a
 * second old.
 */
package org.hemlockpond.core.entry

import kotlin.random.Random
import kotlin.time.Duration

internal class EngineSampling(
    private val settings: EngineViewSettings,
    private val random: Random
) {
    /**
     * The engines to compare.
     *
     * @property tiers the first has those that probably have the shared parts cached, the second the next
     *   places of the parts, and the third random ones. A later tier is compared only if no engine of
     *   those before it is predicted to be on time.
     * @property assumedTokens the unread tokens of an engine without a report: the mean of the others
     */
    class Sample(val tiers: List<List<EndpointLoad>>, val assumedTokens: Long)

    /**
     * Returns the engines of [available] to compare for a request with [prompt]; null if too few have a
     * recent report.
     *
     * @param places the engines at which all hosts place the shared parts, the preferred ones first
     * @param preferredCount the number of preferred ones
     */
    fun of(
        prompt: Prompt?,
        available: List<EndpointLoad>,
        places: List<EndpointLoad>,
        preferredCount: Int,
        now: Duration
    ): Sample? {
        if (available.isEmpty() || !available.first().isEngine) return null
        var reported = 0
        var unread = 0L
        for (load in available) {
            unread += load.reportedUnread(now) ?: continue
            reported++
        }
        if (reported == 0 || reported < available.size * settings.minReportedShare) return null
        val tokens = prompt?.let { it.tokens + it.maxAnswerTokens } ?: 0
        val pool = available.filter { it.hasReportedRoom(tokens, now) }
        val shared = prompt?.parts.orEmpty().let { it.getOrNull(it.size - 2) }
        val preferred = places.take(preferredCount)
        val (first, rest) =
            pool.partition { it in preferred || (shared != null && it.hasCached(shared, now)) }
        val (overflow, others) = rest.partition { it in places }
        val shares = others.filter { it.hasShareOfRoom(now) }
        val hasRoom = first.isNotEmpty() || overflow.isNotEmpty() || shares.isNotEmpty()
        val last = if (hasRoom) shares else available
        return Sample(listOf(first, overflow, random(last)), unread / reported)
    }

    private fun random(pool: List<EndpointLoad>): List<EndpointLoad> {
        if (pool.size <= settings.choices) return pool
        val sample = LinkedHashSet<EndpointLoad>()
        while (sample.size < settings.choices) sample += pool[random.nextInt(pool.size)]
        return sample.toList()
    }
}
