/*
 * The state of one customer's budget at one router: its own slice, the writes with an unknown
 * outcome, and the tokens in use.
 *
 * A write can take effect long after it was sent, as long as the stored revision is the one that it
 * expects. Until a later revision has been read, the holder assumes the smallest grant that any of
 * its unresolved writes could leave.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.EraRevision
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/**
 * A request that waits for tokens until [deadline].
 *
 * @property sliceOnly whether it waits for a spend mark only, as the slice covers it
 */
internal class Waiter(
    val request: RequestId,
    val tokens: Long,
    val since: Duration,
    val deadline: Duration,
    val sliceOnly: Boolean = false
)

/** A write that may have taken effect; [slice] is the holder's own slice, null if removed. */
internal class PendingWrite(
    val sequence: Long,
    val expectedRevision: Long,
    val record: BudgetRecord,
    val slice: Slice?,
    val removesSlice: Boolean,
    val sentAt: Duration
)

/** A loan of [tokens] that may be sent once a lent total of [lent] tokens is recorded. */
internal class UnsentLoan(val tokens: Long, val lent: Long)

/** The result of [Account.applyRead]; `FENCED` means that another router closed the slice. */
internal enum class Observation { STALE, CURRENT, FENCED }

internal class Account(
    val customer: CustomerId,
    private val self: RouterId,
    settings: BudgetSettings,
    createdAt: Duration
) {
    val demand = Demand(settings.demandTimeConstant, settings.minDemandWindow)
    val waiting = ArrayList<Waiter>(0)

    /** Since when one holder is to keep the remaining tokens; null if they aren't so few. */
    var keptSince: Duration? = null

    /** Average of the tokens that recent requests asked for; 0 before the first. */
    var requestSize = 0L
        private set
    val lentTo = HashMap<RouterId, Long>(0)
    val borrowedFrom = HashMap<RouterId, Long>(0)

    /** Loans that haven't been sent yet, by borrower. */
    val unsentLoans = LinkedHashMap<RouterId, UnsentLoan>(0)

    /** Time of the last loan request to each lender. */
    val lastLoanRequestAt = HashMap<RouterId, Duration>(0)

    var revision = UNREAD
        private set
    var record = BudgetRecord()
        private set

    /**
     * Time at which the read or write that returned [record] was sent; earlier if the record came
     * from a cache.
     */
    var recordAsOf: Duration = -Duration.INFINITE
        private set

    /** The record as it is stored at [revision]; differs from [record] if that restores what was lost. */
    var storedRecord = BudgetRecord()
        private set

    /** The newest version of the record that is known to have been stored. */
    private var known: RecordVersion? = null

    /** Until then holders may restore what a return of the store from an older copy has lost. */
    var heldUntil: Duration = -Duration.INFINITE

    /** Whether the record has to be read once [heldUntil] is reached. */
    var readsAfterHold = false
    var confirmedSlice: Slice? = null
        private set

    /** Whether this holder has removed its slice. */
    var isReturned = false
        private set
    private val unresolvedWrites = ArrayList<PendingWrite>(0)

    var spent = 0L
    var reserved = 0L
    var lent = 0L
    var borrowed = 0L

    var pendingWrite: PendingWrite? = null
        private set
    var pendingReadSentAt: Duration? = null
    var mustRead = false
    var lastReadAt: Duration = -Duration.INFINITE

    /**
     * Time at which the current counts were last written, or found not worth a write; failed writes
     * don't count.
     */
    var lastReportAt: Duration = -Duration.INFINITE
    var timerDueAt: Duration? = null

    /**
     * Whether requests of the customer came or are expected here. Otherwise the record is only read to
     * close slices of ended runs, and no slice is taken.
     */
    var isWanted = false
        private set

    /** When the customer was first wanted here. */
    var wantedSince: Duration = createdAt
        private set

    /** When the customer was first wanted, or the store last became reachable again. */
    var settlingSince: Duration = createdAt
    private var sequence = 0L

    /** Tokens that leave the budget through this slice. */
    val used: Long get() = spent + lent - borrowed

    private val granted: Long
        get() = unresolvedWrites.fold(confirmedSlice?.granted ?: 0) { least, write ->
            minOf(least, write.slice?.granted ?: 0)
        }

    /** Unused tokens in the slice, including reserved ones. */
    val unused: Long get() = granted - used

    /**
     * Tokens that may be reserved or lent now. A record grants more than was paid only if holders were
     * granted tokens that the store had lost; all of them then leave the difference unused.
     */
    val free: Long
        get() = if (isFrozen) 0 else unused - reserved + minOf(0, record.available)

    /** Whether the slice may already have been removed from the record. */
    val isFrozen: Boolean get() = isReturned || unresolvedWrites.any { it.removesSlice }

    val allWritesResolved: Boolean get() = unresolvedWrites.isEmpty()

    /** Tokens that waiting requests lack. */
    val shortage: Long
        get() = if (waiting.isEmpty()) 0 else maxOf(0, waitingForGrant.sumOf { it.tokens } - free)

    /** The waiting requests for which the slice may grow. */
    val waitingForGrant: List<Waiter> get() = waiting.filterNot { it.sliceOnly }

    /** Tokens that the customer can still reserve at any router, by the last record read. */
    val remaining: Long
        get() = record.remaining + (record.slices[self]?.used ?: 0) - used - reserved

    /**
     * Upper bound of [remaining], with one exception. A loan that only its lender has reported is
     * missing from [remaining] although the borrower can spend it. The record doesn't show loans by
     * pair of routers, so every loan is added here, except those that this router received. The
     * exception: if the lender's slice is closed before the borrower reports the loan, the loan is
     * missing here too until that report.
     */
    val remainingAtMost: Long
        get() = remaining + lent + record.slices.entries.sumOf { (router, slice) ->
            if (router == self) 0 else maxOf(0, slice.lent - (borrowedFrom[router] ?: 0))
        }

    /** The own slice with current counts and a grant that leaves [unused] tokens unused. */
    fun slice(base: Slice, unused: Long, wanted: Long): Slice = base.copy(
        granted = unused + used,
        spent = spent,
        lent = lent,
        borrowed = borrowed,
        wanted = wanted
    )

    /** Registers a write of [next] and stores its sequence number in the own slice. */
    fun registerWrite(next: BudgetRecord, removesSlice: Boolean, at: Duration): PendingWrite {
        sequence++
        val mine = next.slices[self]?.copy(sequence = sequence)
        val entered = next.enterEra(EraRevision.era(revision), EraRevision.stored(revision))
            .copy(isRestoring = at < heldUntil)
        val numbered =
            if (mine == null) entered else entered.copy(slices = entered.slices + (self to mine))
        val write = PendingWrite(sequence, revision, numbered, mine, removesSlice, at)
        unresolvedWrites += write
        pendingWrite = write
        return write
    }

    /**
     * Applies the result of a read that was sent at [sentAt]. For a cached record [sentAt] is the
     * earlier time at which the store was read.
     */
    fun applyRead(seenRevision: Long, seen: BudgetRecord, sentAt: Duration): Observation {
        if (seenRevision < revision) return Observation.STALE
        if (seenRevision > revision && mayHaveLost(seenRevision, seen)) {
            restore(seenRevision, seen)
            recordAsOf = maxOf(recordAsOf, sentAt)
            return Observation.CURRENT
        }
        if (seenRevision > revision) {
            val resolved = unresolvedWrites.filter { it.expectedRevision < seenRevision }
            unresolvedWrites.removeAll(resolved)
            val mine = seen.slices[self]
            if (mine == null && resolved.any { it.removesSlice }) {
                isReturned = true
            } else if (mine == null && confirmedSlice != null) {
                return Observation.FENCED
            }
            confirmedSlice = mine
            if (pendingWrite !in unresolvedWrites) pendingWrite = null
        }
        // The record of the same revision may be restored in part.
        if (seenRevision > revision) stored(seen, seenRevision)
        recordAsOf = maxOf(recordAsOf, sentAt)
        return Observation.CURRENT
    }

    private fun stored(next: BudgetRecord, at: Long) {
        revision = at
        record = next
        storedRecord = next
        known = RecordVersion(next, EraRevision.stored(at))
    }

    /** Whether [seen] may lack what is known, because the store has returned from an older copy. */
    private fun mayHaveLost(seenRevision: Long, seen: BudgetRecord): Boolean {
        val last = known ?: return false
        return record != storedRecord || seen.era != last.record.era ||
            EraRevision.era(seenRevision) != EraRevision.era(revision)
    }

    /** Takes over [seen] and restores in [record] what it lacks. */
    private fun restore(seenRevision: Long, seen: BudgetRecord) {
        val version = RecordVersion(seen, EraRevision.stored(seenRevision))
        val last = known ?: version
        val restored = RecordVersion.restore(version, last, EraRevision.era(seenRevision))
        val mine = if (isReturned) null else ownSlice(restored, self, confirmedSlice, granted)
        val next = if (mine == null) {
            restored
        } else {
            restored.copy(slices = restored.slices + (self to mine))
        }
        unresolvedWrites.removeAll { it.expectedRevision < seenRevision }
        if (pendingWrite !in unresolvedWrites) pendingWrite = null
        confirmedSlice = mine
        if (next.hasTokensOf(seen)) {
            stored(seen, seenRevision)
        } else {
            // Later reads are compared with the last version that was stored.
            revision = seenRevision
            record = next
            storedRecord = seen
        }
    }

    /** Applies the outcome of the write with sequence number [writeSequence]. */
    fun applyWriteOutcome(writeSequence: Long, outcome: WriteOutcome) {
        if (pendingWrite?.sequence == writeSequence) pendingWrite = null
        val write = unresolvedWrites.find { it.sequence == writeSequence } ?: return
        if (outcome !is WriteOutcome.Applied) {
            // A conflict can answer a repeated call whose first copy took effect, so the write
            // stays unresolved until a later revision has been read.
            mustRead = true
        } else if (outcome.revision > revision) {
            stored(write.record, outcome.revision)
            confirmedSlice = write.slice
            isReturned = isReturned || write.removesSlice
            lastReportAt = maxOf(lastReportAt, write.sentAt)
            recordAsOf = maxOf(recordAsOf, write.sentAt)
            unresolvedWrites.clear()
        }
    }

    /** Requests of the customer come or are expected; returns whether this is new. */
    fun want(now: Duration): Boolean {
        if (isWanted) return false
        isWanted = true
        wantedSince = now
        settlingSince = now
        return true
    }

    /** A request asks for [tokens]. */
    fun requested(tokens: Long) {
        requestSize = if (requestSize == 0L) {
            tokens
        } else {
            requestSize + (tokens - requestSize) / REQUESTS_AVERAGED
        }
    }

    /** Ends the wait for the read sent at [askedAt], unless it has already timed out. */
    fun readAnswered(askedAt: Duration) {
        if (pendingReadSentAt == askedAt) pendingReadSentAt = null
    }

    /** Stops waiting for store calls that were sent at least [limit] ago. */
    fun expireStoreCalls(now: Duration, limit: Duration) {
        if (pendingWrite?.let { now - it.sentAt >= limit } == true) {
            pendingWrite = null
            mustRead = true
        }
        if (pendingReadSentAt?.let { now - it >= limit } == true) {
            pendingReadSentAt = null
            mustRead = true
        }
    }

    private companion object {
        const val UNREAD = -1L

        /** The requests over which their size is averaged. */
        const val REQUESTS_AVERAGED = 8
    }
}
