/*
 * What one router knows about the budget of one customer: its own slice, the writes whose outcome
 * isn't known, and the tokens in use.
 *
 * A write can take effect long after it was sent, as long as the stored revision is the one that it
 * expects. Until a later revision has been seen, the holder therefore counts on the smallest grant
 * that any of its outstanding writes could leave it.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** A request that waits for tokens until [deadline]. */
internal class Waiter(
    val request: RequestId,
    val tokens: Long,
    val since: Duration,
    val deadline: Duration
)

/** A write that may have taken effect; [slice] is the holder's own in it, null if removed. */
internal class PendingWrite(
    val sequence: Long,
    val expectedRevision: Long,
    val record: BudgetRecord,
    val slice: Slice?,
    val removal: Boolean,
    val sent: Duration
)

/** A loan of [tokens] that may be sent once [lent] tokens of the account are covered. */
internal class UnreleasedLoan(val tokens: Long, val lent: Long)

internal enum class Observation { STALE, CURRENT, FENCED }

internal class Account(
    val customer: CustomerId,
    private val self: RouterId,
    settings: BudgetSettings,
    val created: Duration
) {
    val demand = Demand(settings.demandSpan, settings.demandStart)
    val waiting = ArrayList<Waiter>(0)
    val lentTo = HashMap<RouterId, Long>(0)
    val borrowedFrom = HashMap<RouterId, Long>(0)

    /** Loans that aren't sent yet, by borrower. */
    val unreleased = LinkedHashMap<RouterId, UnreleasedLoan>(0)

    /** When each lender was last asked. */
    val asked = HashMap<RouterId, Duration>(0)

    var revision = UNREAD
        private set
    var record = BudgetRecord()
        private set

    /** When the read or write that showed [record] was sent. */
    var knownAt: Duration = -Duration.INFINITE
        private set
    var confirmed: Slice? = null
        private set

    /** The slice was removed by this holder. */
    var returned = false
        private set
    private val unresolved = ArrayList<PendingWrite>(0)

    var spent = 0L
    var reserved = 0L
    var lent = 0L
    var borrowed = 0L

    var writing: PendingWrite? = null
        private set
    var reading: Duration? = null
    var mustRead = false
    var lastRead: Duration = -Duration.INFINITE

    /** When the record last showed the current counts; a write that fails is no report. */
    var lastReport: Duration = -Duration.INFINITE
    var timer: Duration? = null
    private var sequence = 0L

    /** Tokens that leave the budget through this slice. */
    val used: Long get() = spent + lent - borrowed

    private val granted: Long
        get() = unresolved.fold(confirmed?.granted ?: 0) { least, write ->
            minOf(least, write.slice?.granted ?: 0)
        }

    /** Tokens in the slice that aren't used, including the reserved ones. */
    val held: Long get() = granted - used

    /** Tokens that may be reserved or lent now. */
    val free: Long get() = if (frozen) 0 else held - reserved

    /** The slice may be gone from the record already. */
    val frozen: Boolean get() = returned || unresolved.any { it.removal }

    val settledInRecord: Boolean get() = unresolved.isEmpty()

    /** Tokens that waiting requests lack. */
    val shortage: Long
        get() = if (waiting.isEmpty()) 0 else maxOf(0, waiting.sumOf { it.tokens } - free)

    /** What the customer can still reserve anywhere, by the last record and the own counts. */
    val remaining: Long
        get() = record.remaining + (record.slices[self]?.used ?: 0) - used - reserved

    /**
     * Upper bound of [remaining]. A loan that its lender has reported and its borrower hasn't is
     * missing from [remaining] although the borrower can spend it. The record doesn't show loans
     * by pair, so every loan counts here, except those that this router received. A loan whose
     * lender was closed before the borrower's report stays missing until that report.
     */
    val remainingAtMost: Long
        get() = remaining + lent + record.slices.entries.sumOf { (router, slice) ->
            if (router == self) 0 else maxOf(0, slice.lent - (borrowedFrom[router] ?: 0))
        }

    /** The own slice with current counts; its grant is what leaves [hold] tokens unused. */
    fun slice(base: Slice, hold: Long, wanted: Long): Slice = base.copy(
        granted = hold + used,
        spent = spent,
        lent = lent,
        borrowed = borrowed,
        wanted = wanted
    )

    /** Registers a write of [next]; the own slice in it gets the sequence number of the write. */
    fun write(next: BudgetRecord, removal: Boolean, at: Duration): PendingWrite {
        sequence++
        val mine = next.slices[self]?.copy(sequence = sequence)
        val numbered = if (mine == null) next else next.copy(slices = next.slices + (self to mine))
        val write = PendingWrite(sequence, revision, numbered, mine, removal, at)
        unresolved += write
        writing = write
        return write
    }

    /** Takes over what a read has shown. */
    fun observe(seenRevision: Long, seen: BudgetRecord, sent: Duration): Observation {
        if (seenRevision < revision) return Observation.STALE
        if (seenRevision > revision) {
            val resolved = unresolved.filter { it.expectedRevision < seenRevision }
            unresolved.removeAll(resolved)
            val mine = seen.slices[self]
            if (mine == null && resolved.any { it.removal }) {
                returned = true
            } else if (mine == null && confirmed != null) {
                return Observation.FENCED
            }
            confirmed = mine
            if (writing !in unresolved) writing = null
        }
        revision = seenRevision
        record = seen
        knownAt = maxOf(knownAt, sent)
        return Observation.CURRENT
    }

    /** Takes over the outcome of the write [written]. */
    fun written(written: Long, outcome: WriteOutcome) {
        if (writing?.sequence == written) writing = null
        val write = unresolved.find { it.sequence == written } ?: return
        if (outcome !is WriteOutcome.Applied) {
            // A conflict can be the echo of a repeated call whose first copy took effect, so the
            // write stays unresolved until a later revision has been seen.
            mustRead = true
        } else if (outcome.revision > revision) {
            revision = outcome.revision
            record = write.record
            confirmed = write.slice
            returned = returned || write.removal
            lastReport = maxOf(lastReport, write.sent)
            knownAt = maxOf(knownAt, write.sent)
            unresolved.clear()
        }
    }

    /** The read that was [asked] for then is answered; it may have been given up before. */
    fun readAnswered(asked: Duration) {
        if (reading == asked) reading = null
    }

    /** Gives up waiting for store answers that are older than [limit]. */
    fun expireCalls(now: Duration, limit: Duration) {
        if (writing?.let { now - it.sent >= limit } == true) {
            writing = null
            mustRead = true
        }
        if (reading?.let { now - it >= limit } == true) {
            reading = null
            mustRead = true
        }
    }

    private companion object {
        const val UNREAD = -1L
    }
}
