/*
 * What the version-move component asks the router to do.
 */
package org.hemlockpond.core.moves

import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.VersionId

/** An order to an endpoint. */
sealed interface EndpointOrder {
    /** Load [version] and serve it in place of the present one. */
    data class Load(val version: VersionId) : EndpointOrder

    /** Report the version that is served. */
    data object ReadVersion : EndpointOrder
}

sealed interface MoveAction {
    /** Read the record of [route] and answer with [MoveEvent.RecordRead]. */
    data class ReadRecord(val route: RouteId) : MoveAction

    /** Write by compare-and-swap on [expectedRevision]; answered by [MoveEvent.RecordWritten]. */
    data class WriteRecord(val route: RouteId, val expectedRevision: Long, val record: MoveRecord) :
        MoveAction

    /** Send [message] to every live peer. Messages may be lost, repeated or late. */
    data class SendToPeers(val message: MoveMessage) : MoveAction

    /** Send [order] with [fencing]; answered by [MoveEvent.OrderResult]. Drop it if it is late. */
    data class OrderEndpoint(
        val endpoint: EndpointId,
        val order: EndpointOrder,
        val fencing: Long
    ) : MoveAction

    /**
     * Tell the operator the end of a move. Sent at least once for each end; [number] identifies
     * repetitions. [cause] is set when [result] is [MoveState.ROLLED_BACK].
     */
    data class MoveEnded(
        val route: RouteId,
        val number: Long,
        val version: VersionId,
        val result: MoveState,
        val cause: RollbackCause?
    ) : MoveAction
}
