/*
 * The counters of one version under one set of conditions. Counters only grow, so two copies of the
 * same router's counters are merged by taking the larger value of each.
 */
package org.hemlockpond.core.moves

import kotlin.math.ceil
import kotlin.math.log2
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Counters by index: completed attempts, failed attempts, times to first token by bucket, mean
 * times between tokens by bucket. The upper bound of a bucket is sqrt(2) times that of the one
 * before it.
 */
internal class OutcomeCounts(val counts: IntArray = IntArray(SIZE)) {
    fun add(result: OutcomeResult) {
        counts[indexOf(result)]++
    }

    fun add(other: OutcomeCounts) {
        for (i in counts.indices) counts[i] += other.counts[i]
    }

    /** Returns the bad samples of [metric]. A latency is bad if its bucket is above [bucket]. */
    fun badCount(metric: Metric, bucket: Int): Int = when (metric) {
        Metric.FAILURES -> counts[FAILED_INDEX]
        else -> (bucket + 1 until BUCKETS).sumOf { counts[firstIndex(metric) + it] }
    }

    /** Returns all samples of [metric]. */
    fun totalCount(metric: Metric): Int = when (metric) {
        Metric.FAILURES -> counts[COMPLETED_INDEX] + counts[FAILED_INDEX]
        else -> (0 until BUCKETS).sumOf { counts[firstIndex(metric) + it] }
    }

    fun bucketCount(metric: Metric, bucket: Int): Int = counts[firstIndex(metric) + bucket]

    /** Returns the nonzero counters by index. */
    fun toMap(): Map<Int, Int> =
        counts.indices.filter { counts[it] != 0 }.associateWith { counts[it] }

    companion object {
        const val BUCKETS = 24
        const val SIZE = 2 + 2 * BUCKETS
        private const val COMPLETED_INDEX = 0
        const val FAILED_INDEX = 1

        // The upper bounds of the lowest buckets. The highest bucket begins at 2^11 times these
        // bounds.
        private val lowestFirstTokenBound = 10.milliseconds
        private val lowestTokenGapBound = 1.milliseconds

        private fun firstIndex(metric: Metric): Int = when (metric) {
            Metric.FAILURES -> 0
            Metric.FIRST_TOKEN -> 2
            Metric.TOKEN_GAP -> 2 + BUCKETS
        }

        private fun bucketOf(value: Duration, lowest: Duration): Int {
            val ratio = value.toDouble(DurationUnit.NANOSECONDS) /
                lowest.toDouble(DurationUnit.NANOSECONDS)
            if (ratio <= 1.0) return 0
            return ceil(2 * log2(ratio)).toInt().coerceAtMost(BUCKETS - 1)
        }

        fun indexOf(result: OutcomeResult): Int = when (result) {
            OutcomeResult.Completed -> COMPLETED_INDEX

            OutcomeResult.Failed -> FAILED_INDEX

            is OutcomeResult.FirstToken ->
                firstIndex(Metric.FIRST_TOKEN) + bucketOf(result.after, lowestFirstTokenBound)

            is OutcomeResult.TokenGap ->
                firstIndex(Metric.TOKEN_GAP) + bucketOf(result.mean, lowestTokenGapBound)
        }
    }
}
