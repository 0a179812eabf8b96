/*
 * The planned progress of a move. The course counts endpoints, and traffic follows the endpoints
 * that run the new version in the same failure domain: each of them is loaded as fully as an old
 * one from the first step on, while their share of all traffic is small.
 */
package org.hemlockpond.core.moves

import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One step of a course.
 *
 * @property startFraction when the step begins, as a part of the time between start and deadline
 * @property share the part of the route's endpoints that run the new version; at least one does
 */
@Serializable
@SerialName("org.hemlockpond.core.moves.CourseStep")
data class ScheduleStep(@SerialName("after") val startFraction: Double, val share: Double)

/** Steps in order of time, with shares that never fall. The last share is 1. */
@Serializable
@SerialName("org.hemlockpond.core.moves.Course")
data class MoveSchedule(val steps: List<ScheduleStep>) {
    init {
        require(steps.isNotEmpty() && steps.last().share == 1.0) { "the last share must be 1" }
        require(steps.all { it.startFraction in 0.0..1.0 && it.share in 0.0..1.0 }) {
            "times and shares must be between 0 and 1"
        }
        require(
            steps.zipWithNext().all { (a, b) ->
                a.startFraction < b.startFraction &&
                    a.share <= b.share
            }
        ) {
            "steps must be in order of time and shares must not fall"
        }
    }

    /** The index of the step in force at [wall], or -1 before the first step. */
    fun stepAt(start: Instant, deadline: Instant, wall: Instant): Int {
        val part = (wall - start) / (deadline - start)
        return steps.indexOfLast { it.startFraction <= part }
    }

    /** The endpoints out of [total] that run the new version at [step]. */
    fun endpointCount(step: Int, total: Int): Int = when {
        step < 0 || total == 0 -> 0
        step == steps.lastIndex -> total
        else -> (steps[step].share * total).toInt().coerceIn(1, total)
    }

    companion object {
        val default = MoveSchedule(
            listOf(
                ScheduleStep(0.0, 0.0),
                ScheduleStep(0.4, 0.25),
                ScheduleStep(0.55, 0.4),
                ScheduleStep(0.7, 0.65),
                ScheduleStep(0.9, 1.0)
            )
        )
    }
}

/** The planned length of the move. */
internal val MoveRecord.duration: Duration get() = deadline - start

/** The step of the course in force at [wall]. */
internal fun MoveRecord.stepAt(wall: Instant): Int = schedule.stepAt(start, deadline, wall)
