/*
 * Actions that the budget component requests from the router.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** An output of [BudgetHolder]. */
sealed interface BudgetAction {
    /** The tokens of [request] are reserved until it is settled. */
    data class Reserved(val request: RequestId) : BudgetAction

    /** [request] gets no tokens and must not run. */
    data class Refused(val request: RequestId, val kind: ErrorKind) : BudgetAction

    /**
     * Read the customer's record and answer with [BudgetEvent.RecordRead] and the same [askedAt],
     * the monotonic time at which the read was requested.
     */
    data class ReadRecord(val customer: CustomerId, val askedAt: Duration) : BudgetAction

    /**
     * Write [record] if the stored revision is still [expectedRevision] (0: no record exists), and
     * answer with [BudgetEvent.RecordWritten] and the same [sequence].
     */
    data class WriteRecord(
        val customer: CustomerId,
        val expectedRevision: Long,
        val record: BudgetRecord,
        val sequence: Long
    ) : BudgetAction

    /**
     * Store [mark], which was created at time [at], in place of this router's last mark and answer
     * with [BudgetEvent.MarkWritten] and the same [sequence].
     */
    data class WriteMark(val mark: SpendMark, val at: Duration, val sequence: Long) : BudgetAction

    /** Send [message] to another router; it may get lost. */
    data class SendToPeer(val to: RouterId, val message: BudgetMessage) : BudgetAction

    /** Another router closed a slice of this router: it must stop spending and restart. */
    data object Fenced : BudgetAction

    /** After [BudgetEvent.Drain]: every slice has been returned. */
    data object Drained : BudgetAction
}
