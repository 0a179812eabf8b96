/*
 * Compares and joins versions of a budget record across eras of the store. A record names the era in
 * which it was last written and, for each earlier era, the version of that era that it contains. A
 * version of an earlier era that a router remembers is newer than a stored one that doesn't contain it;
 * what the store has lost is then restored from it.
 */
package org.hemlockpond.core.budget

import kotlinx.serialization.Serializable
import org.hemlockpond.core.RouterId

/**
 * The version of an earlier era that a record contains.
 *
 * @property revision the store's own revision of that version
 * @property closedSpent the tokens that it had charged for closed slices
 */
@Serializable
data class EraBase(val revision: Long, val closedSpent: Long)

/** A record and its [revision] within the era in which it was written. */
internal class RecordVersion(val record: BudgetRecord, val revision: Long) {
    /** Whether this version was made from [other], or is the same. */
    fun contains(other: RecordVersion): Boolean = when {
        other.revision == 0L -> true
        record.era == other.record.era -> revision >= other.revision
        else -> (record.bases[other.record.era]?.revision ?: 0) >= other.revision
    }

    /** The record as the starting point of writes in [era]. */
    fun enter(era: Long): BudgetRecord {
        if (record.era >= era) return record
        val base = EraBase(revision, record.closedSpent)
        val bases = if (revision == 0L) record.bases else record.bases + (record.era to base)
        val kept = bases.entries.sortedBy { it.key }.takeLast(MAX_BASES)
        return record.copy(era = era, bases = kept.associate { it.key to it.value })
    }

    companion object {
        /** The bases of a record; only a router that was cut off for longer needs older ones. */
        private const val MAX_BASES = 4

        /**
         * The record of [era] that contains what is [stored] and what the router has [known] since an
         * earlier era. If neither contains the other, tokens may count twice as granted or charged,
         * but none is free that was granted or charged in either.
         */
        fun restore(stored: RecordVersion, known: RecordVersion, era: Long): BudgetRecord {
            val joined = when {
                stored.contains(known) -> stored.enter(era)
                known.contains(stored) -> known.enter(era)
                stored.record.era < known.record.era -> join(stored, known).enter(era)
                else -> join(known, stored).enter(era)
            }
            // Payments are entered as the difference to an increasing total, so they must not be united.
            val payments = maxOf(
                known.record,
                joined,
                stored.record,
                compareBy {
                    it.paid
                }
            ).payments
            return newestSlices(joined, stored.record, known.record).copy(payments = payments)
        }

        /** Adds to [later] what [earlier], a version of an earlier era, has beyond their common one. */
        private fun join(earlier: RecordVersion, later: RecordVersion): RecordVersion {
            val era = earlier.record.era
            val common = later.record.bases[era] ?: EraBase(0, 0)
            val charged = maxOf(0, earlier.record.closedSpent - common.closedSpent)
            val base = EraBase(
                maxOf(common.revision, earlier.revision),
                maxOf(common.closedSpent, earlier.record.closedSpent)
            )
            val record = later.record.copy(
                closedSpent = later.record.closedSpent + charged,
                slices = earlier.record.slices + later.record.slices,
                bases = later.record.bases + (era to base)
            )
            return RecordVersion(record, later.revision)
        }

        /** Replaces the slices of [record] by the holders' later writes in the [others]. */
        private fun newestSlices(record: BudgetRecord, vararg others: BudgetRecord): BudgetRecord {
            val newest = record.slices.mapValues { (router, slice) ->
                others.mapNotNull { it.slices[router] }.fold(slice) { best, next ->
                    if (next.sequence > best.sequence) next else best
                }
            }
            return record.copy(slices = newest)
        }
    }
}

/** Whether both records grant and charge the same tokens. */
internal fun BudgetRecord.hasTokensOf(other: BudgetRecord): Boolean =
    payments == other.payments && closedSpent == other.closedSpent && slices == other.slices

/**
 * The slice that [self] holds, after a return of the store from a copy: what the router remembers and
 * not what the copy shows. Of writes whose outcome is open it assumes the smallest grant.
 *
 * @param granted the smallest grant that the open writes may have left
 */
internal fun ownSlice(
    record: BudgetRecord,
    self: RouterId,
    confirmed: Slice?,
    granted: Long
): Slice? {
    val stored = record.slices[self]
    val newest = when {
        stored == null -> confirmed
        confirmed != null && confirmed.sequence > stored.sequence -> confirmed
        else -> stored
    }
    return newest?.copy(granted = minOf(newest.granted, granted))
}
