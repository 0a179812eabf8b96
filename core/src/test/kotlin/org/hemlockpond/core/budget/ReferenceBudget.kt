package org.hemlockpond.core.budget

/** Reference model: one counter that every router reads and changes without delay. */
internal class ReferenceBudget {
    private val payments = ArrayList<Pair<Long, Long>>()
    private val unreachable = ArrayList<Pair<Long, Long>>()
    private var settled = 0L
    private var reserved = 0L

    var paid = 0L
        private set
    val used: Long get() = settled + reserved
    val free: Long get() = paid - used

    fun pay(time: Long, tokens: Long) {
        paid += tokens
        payments += time to tokens
    }

    fun reserve(tokens: Long) {
        check(tokens <= free) { "reserved $tokens tokens, but only $free of $paid were left" }
        reserved += tokens
    }

    fun settle(tokens: Long, used: Long) {
        reserved -= tokens
        settled += used
    }

    /** Notes that from [time] on [tokens] free tokens are out of reach of all routers. */
    fun unreachable(time: Long, tokens: Long) {
        unreachable += time to tokens
    }

    /** The free tokens that were known to every router since [since]. */
    fun knownFree(since: Long): Long {
        val first = unreachable.indexOfLast { it.first < since }.coerceAtLeast(0)
        val lost = unreachable.drop(first).maxOfOrNull { it.second } ?: 0
        return free - payments.sumOf { if (it.first >= since) it.second else 0 } - lost
    }
}
