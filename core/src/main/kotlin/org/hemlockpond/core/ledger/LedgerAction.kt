/*
 * The outputs of the ledger. The router performs actions in the order they are returned.
 */
package org.hemlockpond.core.ledger

import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** An output of [RequestLedger.handle]. */
sealed interface LedgerAction {
    /**
     * The request may be sent to an endpoint.
     *
     * @property takenOver tokens that the budget has already charged for earlier attempts of this
     *   request; this router holds only `reserved - takenOver` and settles with
     *   `max(0, used - takenOver)`
     */
    data class Proceed(val request: RequestId, val takenOver: Long = 0) : LedgerAction

    /**
     * The request is refused and this attempt sent nothing. The router releases the reservation.
     */
    data class Reject(val request: RequestId, val kind: ErrorKind) : LedgerAction

    /** The caller gets the answer of an earlier attempt. The router releases the reservation. */
    data class Replay(val request: RequestId, val answer: RecordedAnswer) : LedgerAction

    /** The last piece of the answer may be sent to the caller. */
    data class Release(val request: RequestId, val bill: Bill) : LedgerAction

    /**
     * Write run records in one store call, with a nested transaction and an outcome for each write.
     * Answered by [LedgerEvent.RunRecordsWritten]. The ledger never deletes a record, so the router
     * attaches a store lease. A call runs at most once while its record exists, so the lease must
     * outlast [LedgerSettings.retryWindow].
     */
    data class WriteRunRecords(val number: Long, val writes: List<RunWrite>) : LedgerAction

    /** Read the run record; answered by [LedgerEvent.RunRecordRead]. */
    data class ReadRunRecord(val request: RequestId) : LedgerAction

    /**
     * Have the budget write the spend of these customers and the epoch to the store, because no
     * copy peer can be reached. Answered by [LedgerEvent.SpendCommitted].
     *
     * @property epoch copies of an earlier epoch are out of date (see [RouterCopies.epoch])
     * @property spent cumulative net tokens by customer
     */
    data class CommitSpend(val number: Long, val epoch: Long, val spent: Map<CustomerId, Long>) :
        LedgerAction

    /** Send the message once. The ledger itself repeats lost messages where that is necessary. */
    data class SendToPeer(val to: RouterId, val message: LedgerMessage) : LedgerAction

    /** Return [tokens] that the customer was overcharged to the budget of this router. */
    data class CreditBill(val request: RequestId, val customer: CustomerId, val tokens: Long) :
        LedgerAction
}

/**
 * One write of a run record.
 *
 * @property expectedRevision the revision to replace; 0 if the record must not exist
 */
data class RunWrite(val request: RequestId, val expectedRevision: Long, val record: RunRecord)
