/*
 * Events that the router reports to the budget component.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** An input of [BudgetHolder]. */
sealed interface BudgetEvent {
    /**
     * A request needs up to [tokens]. Answered by one [BudgetAction.Reserved] or
     * [BudgetAction.Refused].
     *
     * @property sliceOnly whether only the present slice may cover it: the record is neither read nor
     *   written for it
     */
    data class Reserve(
        val request: RequestId,
        val customer: CustomerId,
        val tokens: Long,
        val sliceOnly: Boolean = false
    ) : BudgetEvent

    /** Requests of [customer] are expected; its record is read before the first of them. */
    data class Expect(val customer: CustomerId) : BudgetEvent

    /**
     * A reserved request has ended and used [used] tokens; 0 if nothing was sent. No more than the
     * reservation is charged. Also withdraws a request that still waits.
     */
    data class Settle(val request: RequestId, val used: Long) : BudgetEvent

    /**
     * The customer was charged [tokens] too much, at this router or in a slice that has been closed
     * since. The tokens are credited to this router's slice.
     */
    data class Credit(val customer: CustomerId, val tokens: Long) : BudgetEvent

    /**
     * The answer to the [BudgetAction.ReadRecord] with this [askedAt]; [revision] is 0 if the
     * record doesn't exist. The age of a late answer is counted from the time of its read request.
     *
     * @property asOf when the store was read; earlier than [askedAt] if the record was cached
     */
    data class RecordRead(
        val customer: CustomerId,
        val askedAt: Duration,
        val revision: Long,
        val record: BudgetRecord = BudgetRecord(),
        val asOf: Duration = askedAt
    ) : BudgetEvent

    /** The answer to the [BudgetAction.WriteRecord] with this [sequence]. */
    data class RecordWritten(
        val customer: CustomerId,
        val sequence: Long,
        val outcome: WriteOutcome
    ) : BudgetEvent

    /**
     * The answer to the [BudgetAction.WriteMark] with this [sequence]. A mark that wasn't [applied]
     * may still take effect until a later mark has.
     */
    data class MarkWritten(val sequence: Long, val applied: Boolean) : BudgetEvent

    /**
     * The process of [router] has ended and used no more tokens than [usedAtMost] shows by
     * customer. No bound is known for missing customers.
     */
    data class RunEnded(val router: RouterId, val usedAtMost: Map<CustomerId, Long>) : BudgetEvent

    /** Whether the store answers calls from this router. Assumed reachable at the start. */
    data class StoreReachable(val reachable: Boolean) : BudgetEvent

    /**
     * The store is in [era]. A later era than before shows that it has returned from an older copy and
     * has lost the latest writes.
     */
    data class StoreEra(val era: Long) : BudgetEvent

    /**
     * The store has confirmed a renewal of this router's lease. No tokens are reserved before the
     * first renewal.
     *
     * @property sentAt the time at which the renewal was sent, not the time of its answer
     */
    data class LeaseRenewed(val sentAt: Now) : BudgetEvent

    /** An authenticated message of another router. */
    data class PeerReceived(val from: RouterId, val message: BudgetMessage) : BudgetEvent

    /** The other routers that can be reached now, with their failure domains. */
    data class PeersChanged(val routers: Map<RouterId, FailureDomain>) : BudgetEvent

    /**
     * [router] is proven to spend no more tokens.
     *
     * @property copies this router's copies of the dead router's use, by customer; missing
     *   customers have neither spend nor reservations. Null if this router doesn't hold a complete
     *   copy.
     */
    data class RouterDied(val router: RouterId, val copies: Map<CustomerId, SpendCopy>?) :
        BudgetEvent

    /** Time has passed; expected at least every 50 ms. */
    data object Tick : BudgetEvent

    /** The router shuts down: no more tokens are reserved, and the slices are returned. */
    data object Drain : BudgetEvent
}

/** The outcome of a compare-and-swap. */
sealed interface WriteOutcome {
    /** The record was written and has this [revision]. */
    data class Applied(val revision: Long) : WriteOutcome

    /** The record had another revision; nothing was written. */
    data object Conflict : WriteOutcome

    /** No answer, or an error that leaves the outcome open; the write may still take effect. */
    data object Unknown : WriteOutcome
}
