/*
 * Messages between routers about moves. All of them are cumulative, so duplicated, delayed and lost
 * messages do no harm.
 */
package org.hemlockpond.core.moves

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouteId

/** A message about the latest move of a route. */
@Serializable
sealed interface MoveMessage {
    /** The sender's own counters of move [number] of [route] that changed or are sent again. */
    @Serializable
    data class EvidenceReport(val route: RouteId, val number: Long, val cells: List<CellReport>) :
        MoveMessage

    /** The new version of move [number] of [route] must get no more traffic. */
    @Serializable
    data class Stop(val route: RouteId, val number: Long, val cause: RollbackCause) : MoveMessage

    /** A record as read from the store, for routers that can't reach the store. */
    @Serializable
    data class RecordNotice(val record: MoveRecord, val revision: Long) : MoveMessage
}

/**
 * The counters of one router for one cell and version.
 *
 * @property isNewVersion whether the counters are of the new version
 * @property counts the nonzero counters by their index in [OutcomeCounts]
 */
@Serializable
data class CellReport(
    val cell: CellKey,
    @SerialName("new") val isNewVersion: Boolean,
    val counts: Map<Int, Int>
)

/**
 * The conditions under which requests of the two versions are compared.
 *
 * @property movedEndpoints how many of the route's endpoints in [domain] run the new version
 * @property period the number of the period, counted from 0 at the start of the move
 * @property loadLevel the load level, from 0 (idle) to [MoveSettings.loadLevels] (overloaded)
 */
@Serializable
data class CellKey(
    @SerialName("step") val movedEndpoints: Int,
    val period: Int,
    val domain: FailureDomain,
    @SerialName("load") val loadLevel: Int
)
