package org.hemlockpond.core.ledger

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** The progress of an attempt on this router. */
internal enum class Phase { CLAIMING, RECORDING, TAKING_OVER, COPYING, RUNNING, ENDING, ENDED }

/**
 * The state of an attempt at its keeper: the router that runs the attempt or, after that router's
 * death, its copy peer.
 */
internal class Attempt(
    val id: AttemptId,
    val request: RequestId,
    val customer: CustomerId,
    val digest: String,
    val idempotent: Boolean,
    val reserved: Long
) {
    var phase = Phase.CLAIMING
    var state = AttemptState.OPEN
    var version = 1L
    var root = id
    var chainEnded = false
    val takenOverAttempts = ArrayList<AttemptId>(0)
    var movedTo: AttemptId? = null

    /** Whether the copy peer has the move to [movedTo]; only then is the claimant told of it. */
    var isMoveCopied = false

    /** Tokens already charged for the earlier attempts in [takenOverAttempts]. */
    var takenOver = 0L

    /** The value of [takenOver] that [LedgerAction.Proceed] reported to the router. */
    var takenOverAtProceed = 0L

    /** Total tokens billed for the request, taken-over charges included, after the attempt ends. */
    var total = reserved
    var answer: RecordedAnswer? = null
    var endedAt: Duration = Duration.ZERO

    /** When the present phase times out. */
    var deadline: Duration = Duration.INFINITE

    /** The home that the last claim was sent to. */
    var lastAskedHome: RouterId? = null

    /** Homes that received a claim or granted one, and so may have an entry for this attempt. */
    val askedHomes = LinkedHashSet<RouterId>(1)

    /** The last report whose state the copy peer holds; only this one is sent to homes. */
    var publishedReport: AttemptReport? = null

    /** The home that the last report went to. */
    var home: RouterId? = null

    /** Earlier attempts whose keepers haven't answered a take-over yet; null if there are none. */
    var pendingPriors: LinkedHashMap<AttemptId, Prior>? = null
    var pendingPriorsSince: Duration = Duration.ZERO
    var recordRevision = 0L

    /** The error that rejects a non-idempotent attempt if the store can't be reached. */
    var storeFailureKind = ErrorKind.STORE_UNAVAILABLE

    /** Whether this attempt was ever queued for the copy peer. */
    var wasQueuedForCopy = false

    /** Tokens that the router's own slice holds while the attempt is open. */
    val held: Long
        get() = if (state == AttemptState.OPEN) maxOf(0, reserved - takenOver) else 0

    fun report() = AttemptReport(
        request, id, customer, digest, state, version, root, chainEnded,
        answer != null && state == AttemptState.DONE, takenOverAttempts.toList(), movedTo
    )

    fun copyItem() = CopyItem(
        report().copy(answer = false),
        held,
        if (state == AttemptState.OPEN) maxOf(reserved, takenOver) else total
    )

    fun bill() = Bill(request, customer, id, total, takenOver, state == AttemptState.HELD)

    companion object {
        private const val GENERATION_SHIFT = 48
        private const val EPOCH_SHIFT = 16

        /** Returns a version higher than any that the dead router gave this attempt. */
        private fun versionAfterHandover(version: Long, epoch: Long): Long =
            (((version ushr GENERATION_SHIFT) + 1) shl GENERATION_SHIFT) + (epoch shl EPOCH_SHIFT)

        /**
         * Restores a dead router's attempt from its copy. An open attempt becomes a provisional
         * charge.
         */
        fun fromCopy(item: CopyItem, epoch: Long, now: Duration): Attempt {
            val report = item.report
            val attempt = Attempt(
                report.attempt,
                report.request,
                report.customer,
                report.digest,
                true,
                item.total
            )
            attempt.phase = Phase.ENDED
            attempt.state =
                if (report.state == AttemptState.OPEN) AttemptState.HELD else report.state
            attempt.version = versionAfterHandover(report.version, epoch)
            attempt.root = report.root
            attempt.chainEnded = report.chainEnded
            attempt.takenOverAttempts += report.takenOverAttempts
            attempt.movedTo = report.movedTo
            attempt.isMoveCopied = true
            attempt.total = item.total
            attempt.endedAt = now
            return attempt
        }
    }
}
