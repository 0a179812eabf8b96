/*
 * The outputs of the ledger. The router performs actions in the order in which they are returned.
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
     * @property takenOver tokens that the budget has charged already for earlier attempts of this
     *   request; this router needs to hold only `reserved - takenOver` and settles with
     *   `max(0, used - takenOver)`
     */
    data class Proceed(val request: RequestId, val takenOver: Long = 0) : LedgerAction

    /** The request is refused; nothing of this attempt was sent. The reservation is void. */
    data class Reject(val request: RequestId, val kind: ErrorKind) : LedgerAction

    /** The caller gets the answer of the earlier attempt. The reservation is void. */
    data class Replay(val request: RequestId, val answer: RecordedAnswer) : LedgerAction

    /** The last piece of the answer may be sent to the caller. */
    data class Release(val request: RequestId, val bill: Bill) : LedgerAction

    /**
     * One store call: nested transactions, one for each write, with one outcome for each. The
     * ledger never deletes a record, so the router attaches a store lease. While the record exists
     * the call runs at most once; the lease must outlast [LedgerSettings.retryWindow].
     */
    data class WriteRunRecords(val number: Long, val writes: List<RunWrite>) : LedgerAction

    /** Read the record back; answered by [LedgerEvent.RunRecordRead]. */
    data class ReadRunRecord(val request: RequestId) : LedgerAction

    /**
     * No copy peer can be reached: have the budget write the spend of these customers, and the
     * epoch, to the store. Answered by [LedgerEvent.SpendCommitted].
     *
     * @property epoch copies of an earlier epoch are out of date (see [RouterCopies.epoch])
     * @property spent cumulative net tokens by customer
     */
    data class CommitSpend(val number: Long, val epoch: Long, val spent: Map<CustomerId, Long>) :
        LedgerAction

    /** Send the message once. A lost message is repeated by the ledger where it matters. */
    data class SendToPeer(val to: RouterId, val message: LedgerMessage) : LedgerAction

    /** The customer was charged [tokens] too much; the budget of this router gets them back. */
    data class CreditBill(val request: RequestId, val customer: CustomerId, val tokens: Long) :
        LedgerAction
}

/**
 * One write of a run record.
 *
 * @property expectedRevision the revision that is replaced; 0 if the record must not exist
 */
data class RunWrite(val request: RequestId, val expectedRevision: Long, val record: RunRecord)
