/*
 * The marks of one router: which of them may be stored, what they allow, and when the next is due.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration

/**
 * Settings of spend marks.
 *
 * @property interval the time between two marks while the store answers
 * @property initialShare the part of what a slice holds ahead that a mark allows at once
 * @property sharePerSecond the part of it that each further second allows
 * @property ttl how long a mark holds; longer than [interval] and the start of the next run, so
 *   that a mark still holds when that run reads it
 */
data class SpendMarkSettings(
    val interval: Duration,
    val initialShare: Double,
    val sharePerSecond: Double,
    val ttl: Duration
)

internal class SpendMarks(private val settings: SpendMarkSettings) {
    private class SentMark(val sequence: Long, val at: Duration, val mark: SpendMark)

    /** The last mark that is known to be stored, and later ones that may be. */
    private val possiblyStored = ArrayList<SentMark>(1)
    private var writePending = false
    private var lastWriteAt: Duration = -Duration.INFINITE
    private var sequence = 0L

    /** Tokens that [account] may reserve [at] a time; unbounded if no mark names its customer. */
    fun allowance(account: Account, at: Duration): Long {
        val most = possiblyStored.mapNotNull { sent ->
            sent.mark.usedAtMost(account.customer, at - sent.at)
        }.minOrNull() ?: return Long.MAX_VALUE
        return most - account.used - account.reserved
    }

    /** Whether a mark should be written, or at once because requests wait for it. */
    fun isDue(urgent: Boolean, now: Duration): Boolean =
        !writePending && (urgent || now - lastWriteAt >= settings.interval)

    /** The next mark for [accounts]; null if there is nothing to bound. */
    fun createNext(accounts: Collection<Account>, now: Duration): BudgetAction.WriteMark? {
        val use = accounts.filter { it.confirmedSlice != null && !it.isReturned }
            .associate { it.customer to use(it) }
        if (use.isEmpty()) return null
        val mark = SpendMark(use, settings.ttl.inWholeMilliseconds)
        writePending = true
        lastWriteAt = now
        sequence++
        possiblyStored += SentMark(sequence, now, mark)
        return BudgetAction.WriteMark(mark, now, sequence)
    }

    private fun use(account: Account): MarkedUse {
        val free = maxOf(0, account.free)
        val waiting = account.waiting.sumOf { it.tokens }
        return MarkedUse(
            used =
                account.used + account.reserved + waiting + (free * settings.initialShare).toLong(),
            pace = (free * settings.sharePerSecond).toLong()
        )
    }

    fun onWritten(writtenSequence: Long, applied: Boolean) {
        if (writtenSequence == sequence) writePending = false
        // Marks that may be stored bind until a later one is known to have replaced them.
        if (applied) possiblyStored.removeIf { it.sequence < writtenSequence }
    }
}
