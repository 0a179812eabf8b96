/*
 * What the budget component asks the router to do.
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

    /** [request] gets no tokens; it wasn't run. */
    data class Refused(val request: RequestId, val kind: ErrorKind) : BudgetAction

    /**
     * Read the customer's record and answer with [BudgetEvent.RecordRead] and the same [askedAt],
     * the time on the router's clock at which this was asked.
     */
    data class ReadRecord(val customer: CustomerId, val askedAt: Duration) : BudgetAction

    /**
     * Write [record] if the stored revision is still [expectedRevision] (0: doesn't exist), and
     * answer with [BudgetEvent.RecordWritten] and the same [sequence].
     */
    data class WriteRecord(
        val customer: CustomerId,
        val expectedRevision: Long,
        val record: BudgetRecord,
        val sequence: Long
    ) : BudgetAction

    /**
     * Store [mark], which was made [at] this time, in place of this router's last one and answer
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
