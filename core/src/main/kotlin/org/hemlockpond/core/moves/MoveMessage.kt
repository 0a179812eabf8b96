/*
 * Messages between routers about moves. All are cumulative, so a repeated, late or lost message does
 * no harm.
 */
package org.hemlockpond.core.moves

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouteId

@Serializable
sealed interface MoveMessage {
    /** The sender's own counters of move [number], as far as they changed. */
    @Serializable
    data class EvidenceReport(val route: RouteId, val number: Long, val cells: List<CellReport>) :
        MoveMessage

    /** Move [number] must get no more traffic. */
    @Serializable
    data class Stop(val route: RouteId, val number: Long, val cause: RollbackCause) : MoveMessage

    /** A record as read from the store; serves routers that can't reach it. */
    @Serializable
    data class RecordNotice(val record: MoveRecord, val revision: Long) : MoveMessage
}

/**
 * The counters of one router for one cell and version.
 *
 * @property counts the nonzero counters by index, see [OutcomeCounts]
 */
@Serializable
data class CellReport(
    val cell: CellKey,
    @SerialName("new") val isNewVersion: Boolean,
    val counts: Map<Int, Int>
)

/**
 * The conditions under which requests are compared.
 *
 * @property period the number of the period since the start of the move
 * @property loadLevel the load level, from 0 (idle) to [MoveSettings.loadLevels] (overloaded)
 */
@Serializable
data class CellKey(
    @SerialName("step") val movedEndpoints: Int,
    val period: Int,
    val domain: FailureDomain,
    @SerialName("load") val loadLevel: Int
)
