/*
 * Bills, recorded answers and run records. The ledger holds these values in memory, in the copy on
 * a peer or in the store.
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
 * @property tokens total tokens billed for the request
 * @property takenOver the part of [tokens] already charged for earlier attempts
 * @property provisional true if the router died while the request was open; the full reservation is
 *   charged until a retry settles the bill
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
    /** Tokens that this attempt adds to the spend of its own router; negative for a credit. */
    val charge: Long get() = tokens - takenOver
}

/** A recorded answer, replayed to a retry of the request. */
@Serializable
data class RecordedAnswer(val status: Int, val contentType: String, val body: String)

/** The progress of a call that has a run record. */
@Serializable
enum class RunState {
    /** Created before dispatch; the call may have been sent. */
    STARTED,

    /** The call ended; [RunRecord.answer] holds its answer unless it was too long or missing. */
    FINISHED,

    /** This attempt sent nothing and never will; another attempt may replace the record. */
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
 * The spend of a dead router according to this router's copy. The budget closes the dead router's
 * slice with `settled + open`. It charges the whole grant instead if [complete] is false, or if the
 * store holds a later epoch ([LedgerAction.CommitSpend]), as the dead router then continued without
 * updating this copy.
 *
 * @property epoch increases each time the router changes its copy peer or continues without one
 * @property settled cumulative net spend of the router by customer, in tokens
 * @property open tokens held for open requests, by customer; charged in full when the slice closes
 * @property provisional the provisional bills of the requests counted in [open]
 * @property complete false if the initial copy is incomplete, or if the dead router may have moved
 *   its copy to another peer without this router being told
 */
data class RouterCopies(
    val router: RouterId,
    val epoch: Long,
    val settled: Map<CustomerId, Long>,
    val open: Map<CustomerId, Long>,
    val provisional: List<Bill>,
    val complete: Boolean
)
