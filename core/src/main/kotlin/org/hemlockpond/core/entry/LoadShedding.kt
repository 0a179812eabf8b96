/*
 * Refuses requests for overloaded engines. Answers the load pattern of lost endpoints or a cut-off
 * domain under full load: the engines that are left read prompts between the events of streams, so
 * that all streams slow down until they miss their deadlines. Refusing the least urgent requests at
 * once keeps the others on time.
 */
package org.hemlockpond.core.entry

import kotlin.random.Random
import kotlin.time.Duration

internal class LoadShedding(private val settings: EntrySettings, private val random: Random) {
    /** Ranks of each service's streaming routes, the least urgent first. */
    private var ranksByService: Map<ServiceId, List<Int>> = emptyMap()

    fun configChanged(config: EntryConfig) {
        val streams = config.routes.filter { it.streaming && it.eventGapGoal != null }
        ranksByService = streams.flatMap { route -> route.targets.map { it.service to route.rank } }
            .groupBy({ it.first }, { it.second })
            .mapValues { (_, list) -> list.distinct().sortedDescending() }
    }

    /**
     * Whether to refuse [request].
     *
     * @param eventGap the mean time between events at the least loaded endpoint
     */
    fun shouldShed(request: EntryRequest, eventGap: Duration): Boolean {
        val goal = request.route.eventGapGoal ?: return false
        val index = ranksByService[request.service]?.indexOf(request.route.rank) ?: return false
        if (index < 0) return false
        val start = settings.sheddingStart + index * settings.sheddingRamp
        return (eventGap / goal - start) / settings.sheddingRamp > random.nextDouble()
    }
}
