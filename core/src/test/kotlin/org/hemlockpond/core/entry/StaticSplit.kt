package org.hemlockpond.core.entry

import java.util.PriorityQueue
import kotlin.random.Random

/**
 * The simplest policy: each host owns an equal part, of which nothing comes back after a kill.
 * Arrivals are those of [EntryBudgetWorld] with the same seed.
 */
internal class StaticSplit(paid: Long, hosts: Int, seed: Int) {
    private val arrivals = Arrivals(Random(seed))
    private val left = LongArray(hosts) { paid / hosts }
    private val refunds = PriorityQueue<Triple<Double, Int, Long>>(compareBy { it.first })
    var served = 0

    fun traffic(perSecond: Double, to: Double, burst: (Double) -> Double, killAt: Double) {
        var time = 0.0
        while (time < to) {
            val host = arrivals.host()
            val tokens = arrivals.promptTokens()
            refund(time)
            val most = tokens + EntryBudgetWorld.MOST_ANSWER
            if (time < killAt && left[host] >= most) {
                served++
                left[host] -= most
                val unused = EntryBudgetWorld.MOST_ANSWER - EntryBudgetWorld.MOST_ANSWER / 3
                refunds += Triple(time + 2_000, host, unused)
            }
            time += arrivals.gapMillis(perSecond * burst(time))
        }
    }

    private fun refund(time: Double) {
        while (refunds.isNotEmpty() && refunds.peek().first <= time) {
            val (_, host, tokens) = refunds.poll()
            left[host] += tokens
        }
    }
}
