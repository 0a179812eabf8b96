/*
 * Messages between the ledgers of two routers. The encoding carries the serial names in every
 * message, so message types and the fields of reports and copies have short ones.
 */
package org.hemlockpond.core.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** The state of an attempt as its keeper reports it to the home. */
@Serializable
enum class AttemptState {
    /** The attempt may be running. */
    OPEN,

    /** The attempt ended and its bill is settled. */
    DONE,

    /**
     * Charged provisionally: the router died, or the attempt took a charge over but sent nothing.
     */
    HELD,

    /** A later attempt took the charge over. */
    MOVED,

    /** Not billed: nothing was sent, or the charge was credited as a duplicate. */
    VOID
}

/**
 * A report on an attempt from its keeper to the home. The keeper is the router that runs the
 * attempt or, after its death, its copy peer. Only the keeper moves or credits the attempt's
 * charge.
 *
 * @property version increases with each change of the attempt; a report is ignored unless its
 *   version is higher than the last one
 * @property root the first attempt of the chain of take-overs that this attempt continues
 * @property chainEnded whether an attempt of the chain has ended
 * @property takenOverAttempts the attempts whose charges this one took over
 * @property movedTo the attempt that took this one's charge over
 */
@Serializable
data class AttemptReport(
    @SerialName("r") val request: RequestId,
    @SerialName("a") val attempt: AttemptId,
    @SerialName("c") val customer: CustomerId,
    @SerialName("d") val digest: String,
    @SerialName("s") val state: AttemptState,
    @SerialName("v") val version: Long,
    @SerialName("o") val root: AttemptId = attempt,
    @SerialName("f") val chainEnded: Boolean = false,
    @SerialName("w") val answer: Boolean = false,
    @SerialName("t") val takenOverAttempts: List<AttemptId> = emptyList(),
    @SerialName("m") val movedTo: AttemptId? = null
)

/** An earlier attempt of a request and the keeper of its charge. */
@Serializable
data class Prior(val attempt: AttemptId, val keeper: RouterId, val answer: Boolean = false)

/** The home's decision on a claim. */
@Serializable
enum class Verdict { GRANTED, IN_USE, REUSED, FULL }

/**
 * The state of an attempt for the copy peer.
 *
 * @property held tokens that the attempt's router holds in its own slice while it is open
 * @property total tokens reserved or billed for the request so far, taken-over charges included
 */
@Serializable
data class CopyItem(
    @SerialName("r") val report: AttemptReport,
    @SerialName("h") val held: Long,
    @SerialName("t") val total: Long
)

/** A message between two ledgers. */
@Serializable
sealed interface LedgerMessage {
    /** Router to home: asks whether this attempt may run. Answered by [Decision]. */
    @Serializable
    @SerialName("c")
    data class Claim(val report: AttemptReport) : LedgerMessage

    /** Home to router. [priors] are the earlier attempts whose charges the new one takes over. */
    @Serializable
    @SerialName("v")
    data class Decision(
        val request: RequestId,
        val attempt: AttemptId,
        val verdict: Verdict,
        val priors: List<Prior> = emptyList()
    ) : LedgerMessage

    /** Keeper to home: the current state of attempts; repeated until acknowledged. */
    @Serializable
    @SerialName("r")
    data class Reports(val reports: List<AttemptReport>) : LedgerMessage

    /** Home to keeper: acknowledges the reported versions. */
    @Serializable
    @SerialName("s")
    data class ReportsSeen(val seen: List<Seen>) : LedgerMessage

    /** Claimant to keeper: send the recorded answer if wanted, or else move the charge to [to]. */
    @Serializable
    @SerialName("t")
    data class TakeOver(
        val request: RequestId,
        val from: AttemptId,
        val to: AttemptId,
        val wantsAnswer: Boolean = true
    ) : LedgerMessage

    /**
     * Keeper to claimant: the answer to [TakeOver].
     *
     * @property moved true if [tokens] moved to the claimant's attempt; false if [answer] is set or
     *   there is no charge to take over
     */
    @Serializable
    @SerialName("m")
    data class TakenOver(
        val request: RequestId,
        val from: AttemptId,
        val to: AttemptId,
        val moved: Boolean,
        val tokens: Long = 0,
        val root: AttemptId = from,
        @SerialName("firm") val chainEnded: Boolean = false,
        val answer: RecordedAnswer? = null
    ) : LedgerMessage

    /**
     * Home to keeper: credit the attempt's charge, which duplicates another one. The keeper obeys
     * only if the attempt is still at [version], as it may have taken the other charge over since
     * then.
     */
    @Serializable
    @SerialName("d")
    data class Drop(val request: RequestId, val attempt: AttemptId, val version: Long) :
        LedgerMessage

    /**
     * Home to keeper: undo the move, as the router of [to] died before it added [from]'s charge.
     */
    @Serializable
    @SerialName("u")
    data class Unmove(val request: RequestId, val from: AttemptId, val to: AttemptId) :
        LedgerMessage

    /**
     * Router to copy peer. Batches are applied in order of [sequence] within one [epoch].
     *
     * @property spent cumulative net spend in tokens by customer; the changed entries, or all of
     *   them in the initial state of an epoch
     * @property partial true if more batches of the same group follow; the peer applies the group
     *   when it has the last one
     */
    @Serializable
    @SerialName("b")
    data class CopyBatch(
        @SerialName("e") val epoch: Long,
        @SerialName("n") val sequence: Long,
        @SerialName("i") val items: List<CopyItem> = emptyList(),
        @SerialName("s") val spent: Map<CustomerId, Long> = emptyMap(),
        @SerialName("p") val partial: Boolean = false
    ) : LedgerMessage

    /** Copy peer to router: acknowledges every batch up to [sequence], which it holds in memory. */
    @Serializable
    @SerialName("a")
    data class CopySeen(val epoch: Long, val sequence: Long) : LedgerMessage

    /**
     * Owner or its current copy peer to an earlier copy peer: copies of [owner] before [epoch] are
     * outdated.
     */
    @Serializable
    @SerialName("x")
    data class CopyMoved(val owner: RouterId, val epoch: Long) : LedgerMessage

    /** The answer to [CopyMoved]: the sender has discarded its copies of [owner] before [epoch]. */
    @Serializable
    @SerialName("y")
    data class CopyDiscarded(val owner: RouterId, val epoch: Long) : LedgerMessage
}

/** A version of an attempt that the home acknowledges. */
@Serializable
data class Seen(val request: RequestId, val attempt: AttemptId, val version: Long)
