package org.hemlockpond.core.ledger

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** The progress of an attempt on this router. */
internal enum class Phase { CLAIMING, RECORDING, TAKING_OVER, COPYING, RUNNING, ENDING, ENDED }

/** An attempt as its keeper holds it. */
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

    /** Whether the move or the credit is copied, so that others may rely on it. */
    var isMoveCopied = false

    /** Tokens charged for earlier attempts that this one took over. */
    var takenOver = 0L

    /** The part of [takenOver] that the router was told with Proceed. */
    var takenOverAtProceed = 0L

    /** What the customer pays for the request in all, once this attempt has ended. */
    var total = reserved
    var answer: RecordedAnswer? = null
    var endedAt: Duration = Duration.ZERO

    /** When the present phase times out. */
    var deadline: Duration = Duration.INFINITE

    /** The home that was asked last. */
    var lastAskedHome: RouterId? = null

    /** Homes that were asked and may hold this attempt. */
    val askedHomes = LinkedHashSet<RouterId>(1)

    /** The last state that is copied, so that homes may rely on it. */
    var publishedReport: AttemptReport? = null

    /** The home that the last report went to. */
    var home: RouterId? = null

    /** Earlier attempts whose keeper hasn't answered yet. */
    var pendingPriors: LinkedHashMap<AttemptId, Prior>? = null
    var pendingPriorsSince: Duration = Duration.ZERO
    var recordRevision = 0L

    /** The refusal of a non-idempotent attempt while the store can't be reached. */
    var storeFailureKind = ErrorKind.STORE_UNAVAILABLE

    /** Whether an entry for this attempt was ever queued for the copy peer. */
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

        /** A version that supersedes every version of the dead router for this attempt. */
        private fun versionAfterHandover(version: Long, epoch: Long): Long =
            (((version ushr GENERATION_SHIFT) + 1) shl GENERATION_SHIFT) + (epoch shl EPOCH_SHIFT)

        /** The attempt of a dead router, from its copy. An open one is charged provisionally. */
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
