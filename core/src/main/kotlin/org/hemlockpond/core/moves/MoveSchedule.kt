/*
 * The planned progress of a move. The schedule says how many endpoints run the new version. Within
 * a failure domain, traffic is split in proportion to these endpoints. Each of them is therefore
 * loaded as much as an old one from the first step on, while the new version's share of all traffic
 * is still small.
 */
package org.hemlockpond.core.moves

import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One step of a schedule.
 *
 * @property startFraction start of the step, as a fraction (0 to 1) of the time from the start of
 *   the move to its deadline
 * @property share fraction (0 to 1) of the route's endpoints that run the new version, rounded down
 *   but at least one endpoint
 */
@Serializable
@SerialName("org.hemlockpond.core.moves.CourseStep")
data class ScheduleStep(@SerialName("after") val startFraction: Double, val share: Double)

/**
 * The steps of a move in chronological order, with shares that never decrease. The share of the
 * last step is 1.
 *
 * @throws IllegalArgumentException if [steps] breaks one of these rules
 */
@Serializable
@SerialName("org.hemlockpond.core.moves.Course")
data class MoveSchedule(val steps: List<ScheduleStep>) {
    init {
        require(steps.isNotEmpty() && steps.last().share == 1.0) {
            "the share of the last step must be 1"
        }
        require(steps.all { it.startFraction in 0.0..1.0 && it.share in 0.0..1.0 }) {
            "step starts and shares must be between 0 and 1"
        }
        require(
            steps.zipWithNext().all { (a, b) ->
                a.startFraction < b.startFraction &&
                    a.share <= b.share
            }
        ) {
            "steps must be in chronological order and shares must not decrease"
        }
    }

    /** Returns the index of the step in force at [wall], or -1 before the first step. */
    fun stepAt(start: Instant, deadline: Instant, wall: Instant): Int {
        val part = (wall - start) / (deadline - start)
        return steps.indexOfLast { it.startFraction <= part }
    }

    /** Returns how many of [total] endpoints run the new version at [step]. */
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

/** The planned duration of the move. */
internal val MoveRecord.duration: Duration get() = deadline - start

/** Returns the index of the schedule step in force at [wall], or -1 before the first step. */
internal fun MoveRecord.stepAt(wall: Instant): Int = schedule.stepAt(start, deadline, wall)
