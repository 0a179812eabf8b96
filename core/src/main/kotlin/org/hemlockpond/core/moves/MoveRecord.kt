/*
 * The stored record of a version move and the pure functions that change it. Every change is
 * written by compare-and-swap on the revision that was read. The store therefore decides between
 * concurrent writes of operators and the controller.
 */
package org.hemlockpond.core.moves

import kotlin.time.Instant
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.VersionId

/** The state of a move. It only changes to a later entry, so a roll-back is permanent. */
@Serializable
enum class MoveState { RUNNING, DONE, ROLLED_BACK }

/** The reason why a move was rolled back. */
@Serializable
sealed interface RollbackCause {
    /** An operator rolled the move back. */
    @Serializable
    data class Operator(val reason: String) : RollbackCause

    /** The sequential test found the new version worse than the old one. */
    @Serializable
    data class Worse(val finding: Finding) : RollbackCause
}

/** A metric that a sequential test compares. */
@Serializable
enum class Metric { FAILURES, FIRST_TOKEN, TOKEN_GAP }

/**
 * The state of a sequential test. A move is rolled back when it reaches the threshold.
 *
 * @property eValue evidence against the hypothesis that the new version isn't worse; its expected
 *   value under that hypothesis is at most 1
 * @property newBad failed or slow requests of the new version, out of [newTotal]
 * @property oldBad failed or slow requests of the old version, out of [oldTotal], over the same
 *   periods, failure domains and load levels
 * @property domains the failure domains whose cells are evidence against the new version
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
 * @property number the sequence number of the move on its route, from 1; identifies it in messages
 * @property from the old version
 * @property to the new version
 * @property deadline the time by which a good version must serve the whole route
 * @property fencing the fencing number of the last controller that wrote the record
 * @property reportedVersions the versions that endpoints reported to a controller, if they
 *   differed from the declared or the last reported version
 * @property cause why the move was rolled back
 * @property rejected versions that were rolled back on this route
 * @property endAnnounced whether the end of the move has been reported to the operator
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
    /** The version that the ended move left in force, or null while the move is running. */
    val versionInForce: VersionId?
        get() = when (state) {
            MoveState.RUNNING -> null
            MoveState.DONE -> to
            MoveState.ROLLED_BACK -> from
        }

    companion object {
        /** Returns the store key of the record of [route]. */
        fun key(route: RouteId): String = "hemlockpond/moves/$route"
    }
}

/** The result of a requested change to a record. */
sealed interface RecordChange {
    /** Write [record] by compare-and-swap on the revision that was read. */
    data class Write(val record: MoveRecord) : RecordChange

    /** The record already has the requested state; nothing needs to be written. */
    data object Unchanged : RecordChange

    /** The change isn't allowed; [reason] is shown to the operator. */
    data class Refused(val reason: String) : RecordChange
}

/**
 * Returns the record of a new move of [route], or why it is refused. [previous] is the route's
 * record as read, or null if there is none.
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

        // Any other version was declared after the previous move, so the declaration applies.
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
 * partitioned may report a bad version after the controller completed the move.
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
