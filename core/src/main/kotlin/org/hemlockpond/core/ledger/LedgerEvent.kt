/*
 * The inputs of the ledger. The router's control thread turns caller, peer and store traffic into
 * these events and passes them to RequestLedger.handle one at a time.
 */
package org.hemlockpond.core.ledger

import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/**
 * Another live router.
 *
 * @property reachable false while messages to it get no answer; the router counts as live until its
 *   death is proven
 */
data class Peer(val router: RouterId, val domain: FailureDomain, val reachable: Boolean = true)

/** An input of [RequestLedger.handle]. */
sealed interface LedgerEvent {
    /**
     * A caller's request arrived and its tokens are reserved in the budget. It is answered by one
     * of [LedgerAction.Proceed], [LedgerAction.Reject] and [LedgerAction.Replay], at once or later.
     * While an attempt of the same request is in progress on this router, a second `Begin` is
     * rejected within the same call of `handle`, so answers can't be attributed to the wrong
     * `Begin`.
     *
     * @property digest digest of the content; the same request ID with other content is rejected
     * @property idempotent false if the call needs a durable run record
     * @property reserved tokens that the budget holds for this request; an upper bound of its use
     */
    data class Begin(
        val request: RequestId,
        val customer: CustomerId,
        val digest: String,
        val idempotent: Boolean,
        val reserved: Long
    ) : LedgerEvent

    /**
     * The endpoint's answer is complete. The router holds back its last piece until
     * [LedgerAction.Release].
     *
     * @property used tokens used
     * @property answer stored for replay if it is within [LedgerSettings.maxAnswerChars]; null if
     *   it wasn't recorded
     */
    data class Finish(val request: RequestId, val used: Long, val answer: RecordedAnswer? = null) :
        LedgerEvent

    /** The request ended before any byte of it was sent to an endpoint. */
    data class Abandon(val request: RequestId) : LedgerEvent

    /**
     * The request was sent and ended without a complete answer; [used] tokens are billed. No
     * [LedgerAction.Release] follows.
     */
    data class Interrupted(val request: RequestId, val used: Long) : LedgerEvent

    /** The outcomes of [LedgerAction.WriteRunRecords]. A missing outcome counts as unknown. */
    data class RunRecordsWritten(val number: Long, val outcomes: Map<RequestId, RunWriteOutcome>) :
        LedgerEvent

    /** The result of [LedgerAction.ReadRunRecord]. */
    data class RunRecordRead(val request: RequestId, val result: RunRead) : LedgerEvent

    /** Whether the cumulative spends of [LedgerAction.CommitSpend] are in the store. */
    data class SpendCommitted(val number: Long, val committed: Boolean) : LedgerEvent

    /** A message from an authenticated peer. Messages may be lost, repeated and reordered. */
    data class PeerReceived(val from: RouterId, val message: LedgerMessage) : LedgerEvent

    /** All other live routers of the fleet, as membership knows them. */
    data class PeersChanged(val peers: List<Peer>) : LedgerEvent

    /** The router's death is proven (design section 2.2). It never runs again. */
    data class RouterDied(val router: RouterId) : LedgerEvent

    /** Whether the store can currently be reached. */
    data class StoreReachable(val reachable: Boolean) : LedgerEvent

    /** The budget returned this router's slice; the customer's cumulative spend restarts at 0. */
    data class SliceReturned(val customer: CustomerId) : LedgerEvent

    /** Time passed. Must arrive every few milliseconds, as batches and timeouts depend on it. */
    data object Tick : LedgerEvent
}

/** The outcome of one write of a run record. */
sealed interface RunWriteOutcome {
    /** The record is in the store at [revision]. */
    data class Applied(val revision: Long) : RunWriteOutcome

    /** The record had another revision than expected; nothing was written. */
    data object Conflict : RunWriteOutcome

    /** No answer: the write may have taken effect, may still do so, or may be lost. */
    data object Unknown : RunWriteOutcome
}

/** The result of reading a run record. */
sealed interface RunRead {
    data class Found(val record: RunRecord, val revision: Long) : RunRead
    data object Absent : RunRead

    /** The store didn't answer. */
    data object Failed : RunRead
}
