/*
 * Refuses requests when engines are overloaded. If endpoints or a whole failure domain are lost
 * under full load, the remaining engines read more prompts between the events of streams, and all
 * streams slow down until they miss their deadlines. Refusing the requests with the lowest priority
 * immediately keeps the others on time.
 */
package org.hemlockpond.core.entry

import kotlin.random.Random
import kotlin.time.Duration

internal class LoadShedding(private val settings: EntrySettings, private val random: Random) {
    /** The ranks of each service's streaming routes, lowest priority first. */
    private var ranksByService: Map<ServiceId, List<Int>> = emptyMap()

    fun configChanged(config: EntryConfig) {
        val streams = config.routes.filter { it.streaming && it.eventGapGoal != null }
        ranksByService = streams.flatMap { route -> route.targets.map { it.service to route.rank } }
            .groupBy({ it.first }, { it.second })
            .mapValues { (_, list) -> list.distinct().sortedDescending() }
    }

    /**
     * Whether to refuse [request]. The probability rises with the event gap and the rank.
     *
     * @param eventGap the smallest mean event gap among the endpoints with capacity
     */
    fun shouldShed(request: EntryRequest, eventGap: Duration): Boolean {
        val goal = request.route.eventGapGoal ?: return false
        val index = ranksByService[request.service]?.indexOf(request.route.rank) ?: return false
        if (index < 0) return false
        val start = settings.sheddingStart + index * settings.sheddingRamp
        return (eventGap / goal - start) / settings.sheddingRamp > random.nextDouble()
    }
}
