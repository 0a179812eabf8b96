/*
 * The actions that the version-move component requests from the router.
 */
package org.hemlockpond.core.moves

import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.VersionId

/** A command to an endpoint. */
sealed interface EndpointOrder {
    /** Load [version] and serve it instead of the current version. */
    data class Load(val version: VersionId) : EndpointOrder

    /** Report the version that the endpoint serves. */
    data object ReadVersion : EndpointOrder
}

/** An action that the router performs for the version-move component. */
sealed interface MoveAction {
    /** Read the record of [route] and answer with [MoveEvent.RecordRead]. */
    data class ReadRecord(val route: RouteId) : MoveAction

    /**
     * Write [record] by compare-and-swap on [expectedRevision]; answered by
     * [MoveEvent.RecordWritten].
     */
    data class WriteRecord(val route: RouteId, val expectedRevision: Long, val record: MoveRecord) :
        MoveAction

    /** Send [message] to every live peer. Messages may be lost, duplicated or delayed. */
    data class SendToPeers(val message: MoveMessage) : MoveAction

    /**
     * Send [order] to [endpoint] with the fencing number [fencing]; answered by
     * [MoveEvent.OrderResult]. An order that can't be sent in time must be dropped.
     */
    data class OrderEndpoint(
        val endpoint: EndpointId,
        val order: EndpointOrder,
        val fencing: Long
    ) : MoveAction

    /**
     * Report the end of move [number] of [route] to the operator. Sent at least once for each end;
     * duplicates have the same [number] and [result].
     *
     * @property version the version that is in force after the move
     * @property cause the reason for the roll-back if [result] is [MoveState.ROLLED_BACK]
     */
    data class MoveEnded(
        val route: RouteId,
        val number: Long,
        val version: VersionId,
        val result: MoveState,
        val cause: RollbackCause?
    ) : MoveAction
}
