/*
 * Bills, recorded answers and run records: the values that the ledger keeps, copies and stores.
 */
package org.hemlockpond.core.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** One attempt to run a request. Numbers are unique within one router incarnation. */
@Serializable
data class AttemptId(@SerialName("r") val router: RouterId, @SerialName("n") val number: Long) :
    Comparable<AttemptId> {
    override fun compareTo(other: AttemptId): Int =
        compareValuesBy(this, other, { it.router.value }, { it.number })
}

/**
 * The bill of one request.
 *
 * @property tokens what the customer pays for the request in all
 * @property takenOver the part that was charged for earlier attempts on other routers
 * @property provisional the router died with the request open; the reservation is charged until a
 *   retry settles the bill
 */
@Serializable
data class Bill(
    val request: RequestId,
    val customer: CustomerId,
    val attempt: AttemptId,
    val tokens: Long,
    val takenOver: Long = 0,
    val provisional: Boolean = false
) {
    /** What this attempt adds to the spend of its own router; negative if it got a credit. */
    val charge: Long get() = tokens - takenOver
}

/** An answer as it is replayed to a retry. */
@Serializable
data class RecordedAnswer(val status: Int, val contentType: String, val body: String)

/** How far a call with a run record got. */
@Serializable
enum class RunState {
    /** Created before dispatch; the call may have been sent. */
    STARTED,

    /** The call ended; `answer` holds its answer if it was kept. */
    FINISHED,

    /** Nothing was sent and nothing will be by this attempt; another attempt may replace it. */
    NOT_RUN
}

/**
 * The durable record of a non-idempotent call, kept as JSON under `hemlockpond/runs/{request}`.
 * Only the attempt that a record in state `STARTED` names may dispatch the call.
 */
@Serializable
data class RunRecord(
    val customer: CustomerId,
    val digest: String,
    val attempt: AttemptId,
    val state: RunState,
    val used: Long = 0,
    val answer: RecordedAnswer? = null
)

/**
 * What the copies of a dead router show. The budget closes the router's slice with
 * `settled + open`. It charges the whole grant instead if [complete] is false, or if the store
 * shows a later epoch ([LedgerAction.CommitSpend]): the router then went on without this copy.
 *
 * @property epoch grows each time the router changes its copy peer or goes on without one
 * @property settled cumulative net spend of the router by customer, in tokens
 * @property open tokens held for requests that were open, by customer; charged in full on closing
 * @property provisional the bills behind `open`
 * @property complete false if this router may have missed that the copy moved elsewhere
 */
data class RouterCopies(
    val router: RouterId,
    val epoch: Long,
    val settled: Map<CustomerId, Long>,
    val open: Map<CustomerId, Long>,
    val provisional: List<Bill>,
    val complete: Boolean
)
