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
    private var ranks: Map<ServiceId, List<Int>> = emptyMap()

    fun configChanged(config: EntryConfig) {
        val streams = config.routes.filter { it.streaming && it.pauseGoal != null }
        ranks = streams.flatMap { route -> route.targets.map { it.service to route.rank } }
            .groupBy({ it.first }, { it.second })
            .mapValues { (_, list) -> list.distinct().sortedDescending() }
    }

    /**
     * Whether to refuse [request].
     *
     * @param pause the mean time between events at the least loaded endpoint
     */
    fun refuses(request: EntryRequest, pause: Duration): Boolean {
        val goal = request.route.pauseGoal ?: return false
        val place = ranks[request.service]?.indexOf(request.route.rank) ?: return false
        if (place < 0) return false
        val from = settings.shedFrom + place * settings.shedRamp
        return (pause / goal - from) / settings.shedRamp > random.nextDouble()
    }
}
