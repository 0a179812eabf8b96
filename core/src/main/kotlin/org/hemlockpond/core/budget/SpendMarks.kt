/*
 * Tracks the spend marks of one router: which ones the store may hold, what they allow, when
 * one is due.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration

/**
 * Settings of spend marks.
 *
 * @property interval time between two marks while the store answers
 * @property initialShare share of a slice's free tokens that a mark allows immediately
 * @property sharePerSecond share of these tokens that each further second allows
 * @property ttl how long the pace of a mark is valid; longer than [interval] plus the time that the
 *   next run needs to start, as it has to read a valid mark
 * @property outageSpan the span of demand that the ceiling of a mark covers, for store outages
 * @property outageShare the least share of a slice's free tokens that the ceiling covers, for callers
 *   that move to this host during an outage
 */
data class SpendMarkSettings(
    val interval: Duration,
    val initialShare: Double,
    val sharePerSecond: Double,
    val ttl: Duration,
    val outageSpan: Duration,
    val outageShare: Double
)

/** @param demandOver returns an account's expected demand over a span, in tokens */
internal class SpendMarks(
    private val settings: SpendMarkSettings,
    private val demandOver: (Account, Duration, Duration) -> Long
) {
    private class SentMark(val sequence: Long, val at: Duration, val mark: SpendMark)

    /** The last mark that is known to be stored and later marks that the store may hold. */
    private val possiblyStored = ArrayList<SentMark>(1)
    private var writePending = false
    private var lastWriteAt: Duration = -Duration.INFINITE
    private var sequence = 0L

    /**
     * Tokens that [account] may reserve at time [at]; unlimited if no valid mark names its
     * customer.
     */
    fun allowance(account: Account, at: Duration): Long {
        val most = possiblyStored.mapNotNull { sent ->
            sent.mark.usedAtMost(account.customer, at - sent.at)
        }.minOrNull() ?: return Long.MAX_VALUE
        return most - account.used - account.reserved
    }

    /** Whether to write a mark now. If [urgent], the interval since the last mark is ignored. */
    fun isDue(urgent: Boolean, now: Duration): Boolean =
        !writePending && (urgent || now - lastWriteAt >= settings.interval)

    /** Creates the next mark for [accounts]; null if none of them has a slice. */
    fun createNext(accounts: Collection<Account>, now: Duration): BudgetAction.WriteMark? {
        val use = accounts.filter { it.confirmedSlice != null && !it.isReturned }
            .associate { it.customer to use(it, now) }
        if (use.isEmpty()) return null
        val mark = SpendMark(use, settings.ttl.inWholeMilliseconds)
        writePending = true
        lastWriteAt = now
        sequence++
        possiblyStored += SentMark(sequence, now, mark)
        return BudgetAction.WriteMark(mark, now, sequence)
    }

    private fun use(account: Account, now: Duration): MarkedUse {
        val free = maxOf(0, account.free)
        val current = account.used + account.reserved + account.waiting.sumOf { it.tokens }
        val initial = (free * settings.initialShare).toLong()
        val outageUse = minOf(
            free,
            maxOf(
                demandOver(account, settings.outageSpan, now),
                (free * settings.outageShare).toLong()
            )
        )
        return MarkedUse(
            used = current + initial,
            pace = (free * settings.sharePerSecond).toLong(),
            ceiling = current + maxOf(initial, outageUse)
        )
    }

    fun onWritten(writtenSequence: Long, applied: Boolean) {
        if (writtenSequence == sequence) writePending = false
        // A mark that the store may hold limits spend until a later mark is known to be stored.
        if (applied) possiblyStored.removeIf { it.sequence < writtenSequence }
    }
}
