/*
 * Computes the changes of a holder's own slice: reports of spend, larger or smaller grants, and the
 * return of the slice when the router shuts down.
 */
package org.hemlockpond.core.budget

import kotlin.math.abs
import kotlin.math.ceil
import kotlin.time.Duration
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.routing.mix

internal class RecordChange(val record: BudgetRecord, val removesSlice: Boolean)

internal class SliceWriter(
    private val self: RouterId,
    private val domain: FailureDomain,
    private val settings: BudgetSettings,
    private val sizing: SliceSizing
) {
    /**
     * A number from -0.5 to 0.5 that differs between routers and spreads the reports of those that
     * started together.
     */
    private val offset =
        (mix(self.value.hashCode().toLong()) ushr 1) / Long.MAX_VALUE.toDouble() - 0.5

    /** The record to write; [record] is the last one read, possibly with dead slices closed. */
    fun change(
        account: Account,
        record: BudgetRecord,
        draining: Boolean,
        now: Duration
    ): RecordChange {
        val unchanged = RecordChange(record, false)
        if (account.isReturned) return unchanged
        val base = account.confirmedSlice ?: Slice(domain)
        if (draining) return drain(account, record, base)
        val unusedTarget = unusedTarget(account, record, now)
        val due = reportDue(account, now)
        if (unusedTarget == account.unused && !due) return unchanged
        val slice = account.slice(base, unusedTarget, sizing.wanted(account, now))
        val worthwhile = account.confirmedSlice != null || slice.granted != 0L || slice.spent < 0
        return if (worthwhile && materially(base, slice)) {
            RecordChange(record.withSlice(self, slice), false)
        } else {
            account.lastReportAt = now
            unchanged
        }
    }

    private fun unusedTarget(account: Account, record: BudgetRecord, now: Duration): Long {
        val unused = account.unused
        if (record.available < 0) return maxOf(account.reserved, unused + record.available)
        val available = record.available
        val target = when {
            account.shortage > 0 -> sizing.refillTarget(account, now)
            sizing.isLow(account, now) -> sizing.refillTarget(account, now)
            !account.isWanted -> unused
            account.confirmedSlice == null && settings.evenShare > 0 -> sizing.target(account, now)
            !reportDue(account, now) -> unused
            else -> sizing.target(account, now)
        }
        if (target >= unused) return unused + minOf(target - unused, available)
        val excess = unused - target
        return if (excess > unused / SLACK) maxOf(target, account.reserved) else unused
    }

    private fun drain(account: Account, record: BudgetRecord, base: Slice): RecordChange {
        val slice = account.slice(base, account.reserved, 0)
        return when {
            account.confirmedSlice != null && account.reserved == 0L ->
                RecordChange(record.withReturned(self, slice), true)

            nothingToReturn(account) -> RecordChange(record, false)

            // A holder with only borrowed tokens creates its slice first: a removal with an unknown
            // outcome can be repeated safely only if there is a slice to remove. If the outcome of
            // an earlier creation is unknown, an empty slice is written: its revision settles it.
            account.confirmedSlice == null || slice != base ->
                RecordChange(record.withSlice(self, slice), false)

            else -> RecordChange(record, false)
        }
    }

    fun nothingToReturn(account: Account): Boolean = account.confirmedSlice == null &&
        account.allWritesResolved && account.reserved == 0L && account.used == 0L

    private fun materially(base: Slice, slice: Slice): Boolean = base.granted != slice.granted ||
        base.spent != slice.spent || base.lent != slice.lent || base.borrowed != slice.borrowed ||
        abs(base.wanted - slice.wanted) > base.wanted / SLACK

    fun reportDue(account: Account, now: Duration): Boolean =
        nextReport(account, now)?.let { it <= now } ?: false

    /** Time of the next report; null if there is nothing to report. */
    fun nextReport(account: Account, now: Duration): Duration? {
        val slice = account.confirmedSlice
        // Near the end of a budget idle tokens are returned soon because other holders need them.
        val isNeededElsewhere = sizing.isEnding(account, now) || sizing.isKeptElsewhere(account)
        val returnSoon = slice != null && isNeededElsewhere &&
            account.unused > 2 * sizing.target(account, now)
        val interval =
            if (returnSoon) settings.answerTtl else spread(sizing.reportInterval(account))
        val idle = maxOf(interval, spread(sizing.idleReportInterval(account)))
        val settled = account.settlingSince + spread(settings.settleTime * 2)
        val due = when {
            // A credit reaches the record only through a slice.
            slice == null && account.spent < 0 -> account.lastReportAt + interval

            slice == null -> return null

            slice.used != account.used -> account.lastReportAt + interval

            // An earlier report would rely on a record that lacks what other holders have used.
            settings.settleTime > Duration.ZERO && account.lastReportAt < settled -> settled

            isGathering(account, now) -> account.lastReportAt + interval

            account.unused > account.reserved -> account.lastReportAt + idle

            else -> return null
        }
        return maxOf(aligned(due), now)
    }

    /**
     * Whether this holder is to keep the remaining tokens and others may have just returned theirs. Tokens that
     * others don't return in time belong to ended runs; waiting for them would cost reads.
     */
    private fun isGathering(account: Account, now: Duration): Boolean {
        if (!sizing.isKept(account)) {
            account.keptSince = null
            return false
        }
        val since = account.keptSince ?: now.also { account.keptSince = it }
        val areOut = account.record.slices.any { (router, slice) ->
            router != self && slice.free > 0
        }
        val mayReturn = areOut && now - since < settings.maxReportInterval
        return (account.record.available > 0 || mayReturn) && sizing.isKeeper(account)
    }

    private fun spread(interval: Duration) = interval * (1 + settings.reportSpread * offset)

    /** Rounds [at] up to the next of this router's times, [BudgetSettings.reportAlignment] apart. */
    private fun aligned(at: Duration): Duration {
        val grid = settings.reportAlignment
        if (grid == Duration.ZERO || at.isInfinite()) return at
        val phase = settings.reportSpread * offset
        return grid * (ceil(at / grid - phase) + phase)
    }

    private companion object {
        // A change of less than 1/SLACK (a tenth) isn't worth a write.
        const val SLACK = 10
    }
}
