/*
 * The sequential comparison of two versions.
 *
 * Within one cell (failure domain, load level, period and number of moved endpoints) both versions
 * met the same conditions, under which the probability of a bad request is unknown. Under the
 * hypothesis "not worse", both versions have the same probability, apart from random differences
 * between endpoints. Under the alternatives, the odds of the new version are higher by a fixed
 * ratio in every cell.
 *
 * The unknown probability is integrated out over a prior. The prior puts most weight on the old
 * version's probability in this failure domain over the whole move and over the recent past. A
 * small weight on every other probability allows for a fault that affects both versions.
 */
package org.hemlockpond.core.moves

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.min
import org.hemlockpond.core.FailureDomain

/**
 * A test martingale for one metric: a Bayes factor averaged over a grid of odds ratios.
 *
 * Sources: G. Shafer, A. Shen, N. Vereshchagin and V. Vovk, "Test Martingales, Bayes Factors and
 * p-Values" (Statistical Science, 2011) for the use of a Bayes factor under continuous monitoring;
 * H. Robbins, "Statistical Methods Related to the Law of the Iterated Logarithm" (1970) for the
 * mixture. By Ville's inequality the factor reaches a threshold t with probability at most 1/t,
 * averaged over the prior of the hypothesis. The bound is approximate because the prior is
 * estimated from the old version. `MoveBench` measures the rate of false roll-backs.
 *
 * Known limitation: of 8 versions that began to fail 30% of requests during an overload, only 2
 * were rolled back before the deadline.
 */
internal class SequentialTest(
    private val metric: Metric,
    private val maxPeriods: Int,
    private val overloadLevel: Int
) {
    /** The logarithms of the Bayes factors of the single periods, by period and odds ratio. */
    private val periodLogFactors = ArrayList<DoubleArray>()

    /**
     * The logarithms of the factors up to each period, by period and odds ratio, averaged over the
     * period in which the difference begins.
     */
    private val cumulativeLogFactors = ArrayList<DoubleArray>()

    /** The number of leading periods whose [cumulativeLogFactors] are up to date. */
    private var validPeriods = 0

    /**
     * The baseline before the first estimate. Latencies have none, because the limit of a slow
     * request isn't known yet.
     */
    private val initialBaseline =
        if (metric == Metric.FAILURES) Baseline(0, logPrior(0, 0, 0, 0), emptyList()) else null
    private val contributions = HashMap<CellKey, CellContribution>()
    private val baselines = HashMap<FailureDomain, Baseline>()

    /**
     * One cell's contribution to the test. Its baseline is fixed when the new version's first
     * sample arrives, so that the cell's later samples don't affect it.
     */
    private class CellContribution(val baseline: Baseline) {
        val counts = IntArray(4)
        var logFactors = DoubleArray(oddsRatios.size)
    }

    /**
     * What is expected in one failure domain, estimated from the old version.
     *
     * @property slowBucket the bucket above which a latency is slow
     * @property recentSums the last sums of the old version, oldest first
     */
    private class Baseline(
        val slowBucket: Int,
        val logPrior: DoubleArray,
        val recentSums: List<OutcomeCounts>
    )

    /** Estimates the baselines of cells that start later from the old version's sums by domain. */
    fun updateBaselines(old: Map<FailureDomain, OutcomeCounts>) {
        for ((domain, tally) in old) {
            val bucket = if (metric == Metric.FAILURES) 0 else slowBucket(tally)
            val sums = (
                baselines[domain]?.recentSums.orEmpty() +
                    OutcomeCounts(tally.counts.copyOf())
                )
                .takeLast(RECENT_SUM_COUNT)
            val bad = tally.badCount(metric, bucket)
            val total = tally.totalCount(metric)
            val prior = logPrior(
                bad,
                total,
                bad - sums.first().badCount(metric, bucket),
                total - sums.first().totalCount(metric)
            )
            baselines[domain] = Baseline(bucket, prior, sums)
        }
    }

    /** Replaces the earlier sums of the cell [key] by those of [cell]. */
    fun update(key: CellKey, cell: Cell) {
        val newTotal = cell.new.totalCount(metric)
        if (newTotal == 0) return
        val part = contributions[key]
            ?: CellContribution(baselines[key.domain] ?: initialBaseline ?: return).also {
                contributions[key] =
                    it
            }
        // For the new version, the limit of a slow request is higher by the tolerance.
        val shift = if (metric == Metric.FAILURES) 0 else TOLERATED_BUCKETS
        val newBad = cell.new.badCount(metric, part.baseline.slowBucket + shift)
        val oldBad = cell.old.badCount(metric, part.baseline.slowBucket)
        val counts = intArrayOf(newBad, newTotal, oldBad, cell.old.totalCount(metric))
        if (counts.contentEquals(part.counts)) return
        counts.copyInto(part.counts)
        while (periodLogFactors.size <= key.period) periodLogFactors += DoubleArray(oddsRatios.size)
        val sums = periodLogFactors[key.period]
        val logs = logBayesFactors(
            part.baseline.logPrior,
            newBad,
            newTotal,
            oldBad,
            counts[OLD_TOTAL],
            key.loadLevel >= overloadLevel
        )
        for (i in sums.indices) sums[i] += logs[i] - part.logFactors[i]
        part.logFactors = logs
        validPeriods = min(validPeriods, key.period)
    }

    /**
     * Returns the natural logarithm of the e-value. A version may turn bad late, so the Bayes
     * factor is also averaged over the period in which the difference begins, with half of the
     * weight on the start of the move. Otherwise, late failures would first have to outweigh the
     * evidence of a long time without a difference.
     */
    fun logEValue(): Double {
        for (period in validPeriods until periodLogFactors.size) {
            val weight = if (period == 0) 0.5 else 0.5 / maxPeriods
            val before = cumulativeLogFactors.getOrNull(period - 1)
            val now = DoubleArray(oddsRatios.size) {
                addLogs(before?.get(it) ?: Double.NEGATIVE_INFINITY, ln(weight)) +
                    periodLogFactors[period][it]
            }
            if (period <
                cumulativeLogFactors.size
            ) {
                cumulativeLogFactors[period] = now
            } else {
                cumulativeLogFactors +=
                    now
            }
        }
        validPeriods = periodLogFactors.size
        val last = cumulativeLogFactors.lastOrNull() ?: return 0.0
        return logSumExp(last) - ln(last.size.toDouble())
    }

    /** Returns the current state of the test, for the operator. */
    fun finding(): Finding {
        val eValue = exp(logEValue())
        val last = cumulativeLogFactors.lastOrNull() ?: DoubleArray(oddsRatios.size)
        val best = last.indices.maxBy { last[it] }
        val domains = HashMap<FailureDomain, Double>()
        for ((key, part) in contributions) {
            domains.merge(
                key.domain,
                part.logFactors[best],
                Double::plus
            )
        }
        return Finding(
            metric = metric,
            eValue = eValue,
            newBad = totalOf(NEW_BAD),
            newTotal = totalOf(NEW_TOTAL),
            oldBad = totalOf(OLD_BAD),
            oldTotal = totalOf(OLD_TOTAL),
            domains = domains.filterValues { it > 0 }.keys.sortedBy { it.value }
        )
    }

    private fun totalOf(index: Int): Long = contributions.values.sumOf { it.counts[index].toLong() }

    /**
     * Returns the lowest bucket with at most [SLOW_FRACTION] of the old version's samples above it.
     */
    private fun slowBucket(old: OutcomeCounts): Int {
        val total = old.totalCount(metric)
        var above = 0
        for (bucket in OutcomeCounts.BUCKETS - 1 downTo 1) {
            above += old.bucketCount(metric, bucket)
            if (above > SLOW_FRACTION * total) return bucket
        }
        return 0
    }

    internal companion object {
        private const val NEW_BAD = 0
        private const val NEW_TOTAL = 1
        private const val OLD_BAD = 2
        private const val OLD_TOTAL = 3

        private val oddsRatios = doubleArrayOf(8.0, 25.0, 100.0, 1000.0)

        /** The grid of probabilities over which the unknown probability is integrated. */
        private val probabilityGrid = doubleArrayOf(
            0.0005, 0.001, 0.002, 0.004, 0.007, 0.012, 0.02, 0.035, 0.06, 0.1, 0.17, 0.27, 0.4,
            0.55, 0.7, 0.83, 0.92, 0.97, 0.99, 0.999, 0.9999
        )
        private val logBad = DoubleArray(probabilityGrid.size) { ln(probabilityGrid[it]) }
        private val logGood = DoubleArray(probabilityGrid.size) { ln(1 - probabilityGrid[it]) }
        private val alternativeGrids = oddsRatios.map { ShiftedGrid(it) }

        /**
         * The odds ratios with weights that occur in one cell by chance, because one endpoint can
         * be busier than another. With a ratio of 1 only, 5 of 16 good moves were rolled back in an
         * overload, in which only the endpoints over their capacity fail requests.
         */
        private val chanceOdds = listOf(1.0 to 0.6, 4.0 to 0.25, 0.25 to 0.15)
        private val chanceGrids = chanceOdds.map { (odds, weight) ->
            ShiftedGrid(odds) to ln(weight)
        }

        /**
         * The same for overloaded failure domains, where small differences in speed decide which
         * endpoint fails requests. With [chanceOdds], 8 of 16 good moves of the benchmark
         * deployment Ingabo were rolled back in an overload.
         */
        private val overloadChanceOdds =
            listOf(1.0 to 0.4, 4.0 to 0.2, 16.0 to 0.2, 64.0 to 0.1, 0.25 to 0.1)
        private val overloadChanceGrids =
            overloadChanceOdds.map { (odds, weight) -> ShiftedGrid(odds) to ln(weight) }

        /** Grid points whose log likelihood is this far below the highest are skipped. */
        private const val NEGLIGIBLE_LOG_DIFFERENCE = 40.0

        /**
         * The logarithms of the grid's probabilities after multiplying their odds by [oddsRatio].
         */
        private class ShiftedGrid(oddsRatio: Double) {
            val logBad: DoubleArray
            val logGood: DoubleArray

            init {
                val raised = probabilityGrid.map { p -> oddsRatio * p / (1 - p + oddsRatio * p) }
                logBad = DoubleArray(probabilityGrid.size) { ln(raised[it]) }
                logGood = DoubleArray(probabilityGrid.size) { ln(1 - raised[it]) }
            }
        }

        /** The prior probability that a cell's conditions differ from the baseline. */
        private const val UNUSUAL_PRIOR = 0.2

        /** The prior probability that a cell has the average conditions of the move so far. */
        private const val WHOLE_MOVE_PRIOR = 0.5

        /** The old version's samples are weighted as at most this many, as conditions may drift. */
        private const val MAX_BASELINE_SAMPLES = 200.0
        private const val MAX_RECENT_SAMPLES = 40.0

        // Four sums at the resend interval of 5 s span the last 15 s. Without recent sums, a
        // lasting fault of both versions was unexpected in every new cell, and 2 of 16 good moves
        // were rolled back while a failure domain was unhealthy.
        private const val RECENT_SUM_COUNT = 4

        /** The largest fraction of the old version's requests that counts as slow. */
        private const val SLOW_FRACTION = 0.15

        // One bucket is a factor of 1.41. Endpoints of one version differ by about 20% in speed,
        // and without a tolerance 1 to 3 of 8 good moves were rolled back.
        private const val TOLERATED_BUCKETS = 1

        /**
         * Returns the logarithms of the prior over the grid: a mixture of the likelihoods of the
         * old version's samples of the whole move and of the recent past, and a uniform part.
         */
        fun logPrior(bad: Int, total: Int, recentBad: Int, recentTotal: Int): DoubleArray {
            val long = likelihood(bad, total, MAX_BASELINE_SAMPLES)
            val recent = likelihood(recentBad, recentTotal, MAX_RECENT_SAMPLES)
            return DoubleArray(probabilityGrid.size) {
                ln(
                    WHOLE_MOVE_PRIOR * long[it] +
                        (1 - WHOLE_MOVE_PRIOR - UNUSUAL_PRIOR) * recent[it] +
                        UNUSUAL_PRIOR / probabilityGrid.size
                )
            }
        }

        private fun likelihood(bad: Int, total: Int, most: Double): DoubleArray {
            val weight = if (total == 0) 0.0 else min(total.toDouble(), most) / total
            val logs = DoubleArray(probabilityGrid.size) {
                weight * (bad * logBad[it] + (total - bad) * logGood[it])
            }
            val norm = logSumExp(logs)
            return DoubleArray(probabilityGrid.size) { exp(logs[it] - norm) }
        }

        /** Returns the logarithms of the Bayes factors of one cell, by odds ratio. */
        fun logBayesFactors(
            logPrior: DoubleArray,
            newBad: Int,
            newTotal: Int,
            oldBad: Int,
            oldTotal: Int,
            overloaded: Boolean = false
        ): DoubleArray {
            val newGood = newTotal - newBad
            val old = DoubleArray(probabilityGrid.size) {
                logPrior[it] + oldBad * logBad[it] + (oldTotal - oldBad) * logGood[it]
            }
            val least = old.max() - NEGLIGIBLE_LOG_DIFFERENCE
            val points = probabilityGrid.indices.filter { old[it] >= least }
            val terms = DoubleArray(points.size)
            fun likelihood(raised: ShiftedGrid): Double {
                for ((i, g) in points.withIndex()) {
                    terms[i] = old[g] + newBad * raised.logBad[g] + newGood * raised.logGood[g]
                }
                return logSumExp(terms)
            }
            val byChance = if (overloaded) overloadChanceGrids else chanceGrids
            val same = logSumExp(
                DoubleArray(byChance.size) {
                    val (raised, logWeight) = byChance[it]
                    likelihood(raised) + logWeight
                }
            )
            return DoubleArray(oddsRatios.size) { likelihood(alternativeGrids[it]) - same }
        }

        private fun addLogs(a: Double, b: Double): Double {
            val top = max(a, b)
            return top + ln(exp(a - top) + exp(b - top))
        }

        private fun logSumExp(logs: DoubleArray): Double {
            val top = logs.max()
            return top + ln(logs.sumOf { exp(it - top) })
        }
    }
}
