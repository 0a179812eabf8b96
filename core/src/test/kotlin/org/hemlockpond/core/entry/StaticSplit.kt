package org.hemlockpond.core.entry

import java.util.PriorityQueue
import kotlin.random.Random

/**
 * The baseline policy: each host owns an equal part of the budget and loses all of it in a kill.
 * Arrivals are those of [EntryBudgetSimulation] with the same seed.
 */
internal class StaticSplit(paid: Long, hosts: Int, seed: Int) {
    private val arrivals = RequestArrivals(Random(seed))
    private val remaining = LongArray(hosts) { paid / hosts }
    private val refunds = PriorityQueue<Triple<Double, Int, Long>>(compareBy { it.first })
    var served = 0

    fun traffic(perSecond: Double, to: Double, trafficFactor: (Double) -> Double, killAt: Double) {
        var time = 0.0
        while (time < to) {
            val host = arrivals.host()
            val tokens = arrivals.promptTokens()
            refund(time)
            val maxTokens = tokens + EntryBudgetSimulation.MAX_ANSWER_TOKENS
            if (time < killAt && remaining[host] >= maxTokens) {
                served++
                remaining[host] -= maxTokens
                val unused =
                    EntryBudgetSimulation.MAX_ANSWER_TOKENS -
                        EntryBudgetSimulation.MAX_ANSWER_TOKENS / 3
                refunds += Triple(time + 2_000, host, unused)
            }
            time += arrivals.interarrivalMillis(perSecond * trafficFactor(time))
        }
    }

    private fun refund(time: Double) {
        while (refunds.isNotEmpty() && refunds.peek().first <= time) {
            val (_, host, tokens) = refunds.poll()
            remaining[host] += tokens
        }
    }
}
