/*
 * The durable record of a version move and the pure functions that change it. Every change is
 * written by compare-and-swap on the revision that was read, so the store decides races between
 * operators, and between an operator and the controller.
 */
package org.hemlockpond.core.moves

import kotlin.time.Instant
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.VersionId

/** States of a move. A state is only ever replaced by a later one, so a rollback is permanent. */
@Serializable
enum class MoveState { RUNNING, DONE, ROLLED_BACK }

/** Why a move was rolled back, with the evidence. */
@Serializable
sealed interface RollbackCause {
    /** An operator took the move back. */
    @Serializable
    data class Operator(val reason: String) : RollbackCause

    /** The sequential test found the new version worse than the old one. */
    @Serializable
    data class Worse(val finding: Finding) : RollbackCause
}

/** What a sequential test compares. */
@Serializable
enum class Metric { FAILURES, FIRST_TOKEN, TOKEN_GAP }

/**
 * The result of a sequential test that reached its threshold.
 *
 * @property eValue evidence against "the new version isn't worse"; under that hypothesis its
 *   expectation is at most 1
 * @property newBad failed or slow requests of the new version, out of [newTotal]
 * @property oldBad failed or slow requests of the old version, out of [oldTotal], over the same
 *   periods, failure domains and load
 * @property domains the failure domains whose cells speak against the new version
 */
@Serializable
data class Finding(
    val metric: Metric,
    val eValue: Double,
    val newBad: Long,
    val newTotal: Long,
    val oldBad: Long,
    val oldTotal: Long,
    val domains: List<FailureDomain> = emptyList()
)

/**
 * The record of one route's latest move, kept under `hemlockpond/moves/{route}`.
 *
 * @property number the moves of this route so far; identifies the move in messages
 * @property deadline when a good version must have taken over
 * @property fencing the fencing number of the last controller that wrote the record
 * @property reportedVersions the version that each ordered endpoint runs, as read back from it
 * @property rejected versions that were rolled back on this route
 * @property endAnnounced whether the operator has been told the end of the move
 */
@Serializable
data class MoveRecord(
    val route: RouteId,
    val number: Long,
    val from: VersionId,
    val to: VersionId,
    val start: Instant,
    val deadline: Instant,
    @SerialName("course") val schedule: MoveSchedule = MoveSchedule.default,
    val state: MoveState = MoveState.RUNNING,
    val fencing: Long = 0,
    @SerialName("placed") val reportedVersions: Map<EndpointId, VersionId> = emptyMap(),
    val cause: RollbackCause? = null,
    val rejected: Set<VersionId> = emptySet(),
    @SerialName("announced") val endAnnounced: Boolean = false
) {
    /** The version that an ended move left in force; null while the move runs. */
    val versionInForce: VersionId?
        get() = when (state) {
            MoveState.RUNNING -> null
            MoveState.DONE -> to
            MoveState.ROLLED_BACK -> from
        }

    companion object {
        /** The store key of the record of [route]. */
        fun key(route: RouteId): String = "hemlockpond/moves/$route"
    }
}

/** The outcome of a change to a record. */
sealed interface RecordChange {
    /** Write [record] by compare-and-swap on the revision that was read. */
    data class Write(val record: MoveRecord) : RecordChange

    /** The record already says so; there is nothing to write. */
    data object Unchanged : RecordChange

    /** The change isn't allowed; [reason] is for the operator. */
    data class Refused(val reason: String) : RecordChange
}

/**
 * Starts a move of [route]. [previous] is the route's record as read, or null.
 *
 * A version that was rolled back on this route is refused unless [allowRejected] is set.
 */
fun startMove(
    previous: MoveRecord?,
    route: RouteId,
    from: VersionId,
    to: VersionId,
    start: Instant,
    deadline: Instant,
    schedule: MoveSchedule = MoveSchedule.default,
    allowRejected: Boolean = false
): RecordChange {
    val rejected = previous?.rejected.orEmpty()
    val inForce = previous?.versionInForce
    return when {
        previous != null && previous.state == MoveState.RUNNING ->
            RecordChange.Refused(
                "move ${previous.number} of route $route to ${previous.to} is under way"
            )

        from == to -> RecordChange.Refused("route $route already runs version $to")

        // A version of neither kind was declared since, and the declaration applies.
        previous != null && from != inForce && (from == previous.from || from == previous.to) ->
            RecordChange.Refused("version $inForce is in force on route $route, not $from")

        deadline <= start -> RecordChange.Refused("the deadline isn't after the start")

        to in rejected && !allowRejected ->
            RecordChange.Refused("version $to was rolled back on route $route")

        else -> RecordChange.Write(
            MoveRecord(
                route = route,
                number = (previous?.number ?: 0) + 1,
                from = from,
                to = to,
                start = start,
                deadline = deadline,
                schedule = schedule,
                fencing = previous?.fencing ?: 0,
                reportedVersions = previous?.reportedVersions.orEmpty(),
                rejected = if (allowRejected) rejected - to else rejected
            )
        )
    }
}

/**
 * Rolls a move back. This is also allowed after [MoveState.DONE], because a failure domain that was
 * partitioned may report badness after the controller completed the move.
 */
fun rollBack(record: MoveRecord, cause: RollbackCause): RecordChange = when (record.state) {
    MoveState.ROLLED_BACK -> RecordChange.Unchanged

    else -> RecordChange.Write(
        record.copy(
            state = MoveState.ROLLED_BACK,
            cause = cause,
            rejected = record.rejected + record.to,
            endAnnounced = false
        )
    )
}

/** Completes a move. A rolled-back move is never completed. */
fun completeMove(record: MoveRecord): RecordChange = when (record.state) {
    MoveState.RUNNING -> RecordChange.Write(
        record.copy(state = MoveState.DONE, endAnnounced = false)
    )

    MoveState.DONE -> RecordChange.Unchanged

    MoveState.ROLLED_BACK -> RecordChange.Refused("move ${record.number} was rolled back")
}
