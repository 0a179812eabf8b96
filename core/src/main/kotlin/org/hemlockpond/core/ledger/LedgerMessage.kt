/*
 * Messages between the ledgers of two routers. Serial names are short because the encoding carries
 * them in every message.
 */
package org.hemlockpond.core.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** How the home sees one attempt. */
@Serializable
enum class AttemptState {
    /** The attempt may be running. */
    OPEN,

    /** The attempt ended and its bill is settled. */
    DONE,

    /** Charged provisionally: the router died, or a retry that took a charge over sent nothing. */
    HELD,

    /** A later attempt took the charge over. */
    MOVED,

    /** Not billed: nothing was sent, or the charge was credited as a duplicate. */
    VOID
}

/**
 * What the keeper of an attempt tells the home. The keeper is the attempt's router, and its copy
 * peer after its death.
 *
 * @property version grows with each change of the attempt; an older report changes nothing
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

/** An earlier attempt of a request and the router that decides about its charge. */
@Serializable
data class Prior(val attempt: AttemptId, val keeper: RouterId, val answer: Boolean = false)

/** The home's decision on a claim. */
@Serializable
enum class Verdict { GRANTED, IN_USE, REUSED, FULL }

/**
 * One change of an attempt for the copy peer.
 *
 * @property held tokens that the attempt's router holds in its own slice while it is open
 * @property total what the customer pays for the request so far, taken-over charges included
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
    /** Runner to home: may this attempt run? */
    @Serializable
    @SerialName("c")
    data class Claim(val report: AttemptReport) : LedgerMessage

    /** Home to runner. [priors] are the earlier attempts whose charge the new one takes over. */
    @Serializable
    @SerialName("v")
    data class Decision(
        val request: RequestId,
        val attempt: AttemptId,
        val verdict: Verdict,
        val priors: List<Prior> = emptyList()
    ) : LedgerMessage

    /** Keeper to home: the present state of attempts; repeated until acknowledged. */
    @Serializable
    @SerialName("r")
    data class Reports(val reports: List<AttemptReport>) : LedgerMessage

    /** Home to keeper: the versions that it has seen. */
    @Serializable
    @SerialName("s")
    data class ReportsSeen(val seen: List<Seen>) : LedgerMessage

    /** Claimant to keeper: send the recorded answer, or else move the charge to [to]. */
    @Serializable
    @SerialName("t")
    data class TakeOver(
        val request: RequestId,
        val from: AttemptId,
        val to: AttemptId,
        val wantsAnswer: Boolean = true
    ) : LedgerMessage

    /**
     * Keeper to claimant. Without an answer, [tokens] are moved to the claimant's attempt.
     *
     * @property moved false if the charge went elsewhere and there is nothing to take over
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
     * Home to keeper: the attempt's charge duplicates another one; credit it. It counts only for
     * the [version] that the home saw, because the attempt may have taken the other charge over.
     */
    @Serializable
    @SerialName("d")
    data class Drop(val request: RequestId, val attempt: AttemptId, val version: Long) :
        LedgerMessage

    /** Home to keeper: the attempt [to] died without [from]'s charge; undo the move. */
    @Serializable
    @SerialName("u")
    data class Unmove(val request: RequestId, val from: AttemptId, val to: AttemptId) :
        LedgerMessage

    /**
     * Runner to copy peer. Items apply in order of [sequence] within one [epoch].
     *
     * @property spent cumulative net spend by customer after this batch; only the changed ones,
     *   and all of them in the first batches of an epoch
     * @property partial more batches of the epoch's initial state follow; the copy isn't complete
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

    /** Copy peer to runner: every batch up to [sequence] is in memory. */
    @Serializable
    @SerialName("a")
    data class CopySeen(val epoch: Long, val sequence: Long) : LedgerMessage

    /**
     * To an earlier copy peer of [owner], by the owner or its present copy peer: copies before
     * [epoch] are out of date.
     */
    @Serializable
    @SerialName("x")
    data class CopyMoved(val owner: RouterId, val epoch: Long) : LedgerMessage

    /** The answer to [CopyMoved]: the copies of [owner] before [epoch] are discarded. */
    @Serializable
    @SerialName("y")
    data class CopyDiscarded(val owner: RouterId, val epoch: Long) : LedgerMessage
}

/** A version of an attempt that the home has seen. */
@Serializable
data class Seen(val request: RequestId, val attempt: AttemptId, val version: Long)
