/*
 * What the router tells the budget component.
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
    /** A request needs up to [tokens]. Answered by one [BudgetAction.Reserved] or Refused. */
    data class Reserve(val request: RequestId, val customer: CustomerId, val tokens: Long) :
        BudgetEvent

    /** Requests of [customer] may come: the record is read ahead of the first one. */
    data class Expect(val customer: CustomerId) : BudgetEvent

    /**
     * A reserved request has ended and used [used] tokens; 0 if nothing was sent. No more than the
     * reservation is charged. Also withdraws a request that still waits.
     */
    data class Settle(val request: RequestId, val used: Long) : BudgetEvent

    /**
     * The customer was charged [tokens] too much, here or in a slice that was closed since; this
     * router's slice gets them back.
     */
    data class Credit(val customer: CustomerId, val tokens: Long) : BudgetEvent

    /**
     * The answer to the [BudgetAction.ReadRecord] with this [askedAt]; [revision] is 0 if the record
     * doesn't exist. An answer that comes late is as old as its question.
     *
     * @property asOf when the store was asked; earlier than [askedAt] if the record was known already
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
     * The answer to the [BudgetAction.WriteMark] with this [sequence]. If not [applied], it may
     * still take effect, until a later one has.
     */
    data class MarkWritten(val sequence: Long, val applied: Boolean) : BudgetEvent

    /**
     * The process of [router] has ended and has used [usedAtMost] by customer. No bound is known
     * for customers that are missing.
     */
    data class RunEnded(val router: RouterId, val usedAtMost: Map<CustomerId, Long>) : BudgetEvent

    /** Whether the store answers calls from this router. Assumed reachable at the start. */
    data class StoreReachable(val reachable: Boolean) : BudgetEvent

    /**
     * The store has confirmed a renewal of this router's lease. Nothing is spent before the first.
     *
     * @property sentAt the time at which the renewal was sent, not the time of its answer
     */
    data class LeaseRenewed(val sentAt: Now) : BudgetEvent

    /** An authenticated message of another router. */
    data class PeerReceived(val from: RouterId, val message: BudgetMessage) : BudgetEvent

    /** The other routers that can be reached now, with their failure domains. */
    data class PeersChanged(val routers: Map<RouterId, FailureDomain>) : BudgetEvent

    /**
     * It is proved that [router] no longer spends.
     *
     * @property copies what this router's copies show, by customer; a customer that is missing has
     *   neither spend nor reservations. Null if this router doesn't hold a complete copy.
     */
    data class RouterDied(val router: RouterId, val copies: Map<CustomerId, SpendCopy>?) :
        BudgetEvent

    /** Time has passed; expected at least every 50 ms. */
    data object Tick : BudgetEvent

    /** The router shuts down: nothing new is reserved and the slices are returned. */
    data object Drain : BudgetEvent
}

/** The outcome of a compare-and-swap. */
sealed interface WriteOutcome {
    /** The record was written and has this [revision]. */
    data class Applied(val revision: Long) : WriteOutcome

    /** The record had another revision; nothing was written. */
    data object Conflict : WriteOutcome

    /** No answer came, or an error that doesn't tell; the write may still take effect. */
    data object Unknown : WriteOutcome
}
