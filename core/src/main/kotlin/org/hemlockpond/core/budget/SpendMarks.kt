/*
 * The marks of one router: which of them may be stored, what they allow, and when the next is due.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration

/**
 * Settings of spend marks.
 *
 * @property interval the time between two marks while the store answers
 * @property ahead the part of what a slice holds ahead that a mark allows at once
 * @property pace the part of it that each further second allows
 * @property lapse how long a mark holds; longer than [interval] and the start of the next run, so
 *   that a mark still holds when that run reads it
 */
data class MarkSettings(
    val interval: Duration,
    val ahead: Double,
    val pace: Double,
    val lapse: Duration
)

internal class SpendMarks(private val settings: MarkSettings) {
    private class Sent(val sequence: Long, val at: Duration, val mark: SpendMark)

    /** The last mark that is known to be stored, and later ones that may be. */
    private val possible = ArrayList<Sent>(1)
    private var writing = false
    private var written: Duration = -Duration.INFINITE
    private var sequence = 0L

    /** Tokens that [account] may reserve [at] a time; unbounded if no mark names its customer. */
    fun allowance(account: Account, at: Duration): Long {
        val most = possible.mapNotNull { sent ->
            sent.mark.usedAtMost(account.customer, at - sent.at)
        }.minOrNull() ?: return Long.MAX_VALUE
        return most - account.used - account.reserved
    }

    /** Whether a mark should be written, or at once because requests wait for it. */
    fun due(urgent: Boolean, now: Duration): Boolean =
        !writing && (urgent || now - written >= settings.interval)

    /** The next mark for [accounts]; null if there is nothing to bound. */
    fun next(accounts: Collection<Account>, now: Duration): BudgetAction.WriteMark? {
        val use = accounts.filter { it.confirmed != null && !it.returned }
            .associate { it.customer to use(it) }
        if (use.isEmpty()) return null
        val mark = SpendMark(use, settings.lapse.inWholeMilliseconds)
        writing = true
        written = now
        sequence++
        possible += Sent(sequence, now, mark)
        return BudgetAction.WriteMark(mark, now, sequence)
    }

    private fun use(account: Account): MarkedUse {
        val free = maxOf(0, account.free)
        val waiting = account.waiting.sumOf { it.tokens }
        return MarkedUse(
            used = account.used + account.reserved + waiting + (free * settings.ahead).toLong(),
            pace = (free * settings.pace).toLong()
        )
    }

    fun written(written: Long, applied: Boolean) {
        if (written == sequence) writing = false
        // Marks that may be stored bind until a later one is known to have replaced them.
        if (applied) possible.removeIf { it.sequence < written }
    }
}
