/*
 * The sequential comparison of two versions.
 *
 * Within one cell (failure domain, load level, period) both versions met the same conditions, whose
 * probability of a bad request isn't known. The hypothesis "not worse" says that both versions share
 * it but for chance differences between endpoints; the alternatives say that the new version's odds are higher by a fixed ratio in every cell. The
 * unknown probability is integrated out: it is probably the one that the old version has had in this
 * failure domain, or has had lately, and with a small probability, after a fault that both versions share, any other.
 */
package org.hemlockpond.core.moves

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.min
import org.hemlockpond.core.FailureDomain

/**
 * A Bayes factor for one metric, mixed over a grid of odds ratios, used as a test martingale.
 *
 * Sources: G. Shafer, A. Shen, N. Vereshchagin and V. Vovk, "Test Martingales, Bayes Factors and
 * p-Values" (Statistical Science, 2011) for the use of a Bayes factor under continuous monitoring;
 * H. Robbins, "Statistical Methods Related to the Law of the Iterated Logarithm" (1970) for the
 * mixture. By Ville's inequality the factor reaches a threshold t with probability at most 1/t,
 * averaged over the prior of the hypothesis. The prior is estimated from the old version, so the
 * bound is approximate; `MoveBench` measures the rate of false rollbacks.
 *
 * Known limit: of 8 versions that began to fail 30% of requests during an overload, 2 were rolled
 * back before the deadline.
 */
internal class SequentialTest(
    private val metric: Metric,
    private val maxPeriods: Int,
    private val overloadLevel: Int
) {
    /** The logarithms of the Bayes factors by period and odds ratio. */
    private val periodLogFactors = ArrayList<DoubleArray>()

    /** The logarithms of the factors up to each period, mixed over the period of the change. */
    private val cumulativeLogFactors = ArrayList<DoubleArray>()
    private var validPeriods = 0

    /** The prior before the first estimate; without one, nothing tells which latency is slow. */
    private val initialBaseline =
        if (metric == Metric.FAILURES) Baseline(0, logPrior(0, 0, 0, 0), emptyList()) else null
    private val contributions = HashMap<CellKey, CellContribution>()
    private val baselines = HashMap<FailureDomain, Baseline>()

    /** One cell's contribution. Its prior is fixed at its first sample and doesn't see the cell. */
    private class CellContribution(val baseline: Baseline) {
        val counts = IntArray(4)
        var logFactors = DoubleArray(oddsRatios.size)
    }

    /** What the old version showed in one failure domain: the limit of a slow request, the prior. */
    private class Baseline(
        val slowBucket: Int,
        val logPrior: DoubleArray,
        val recentSums: List<OutcomeCounts>
    )

    /** Estimates the usual conditions of later cells from the old version's sums by domain. */
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

    /** Takes the present sums of [cell] in place of the earlier ones. */
    fun update(key: CellKey, cell: Cell) {
        val newTotal = cell.new.totalCount(metric)
        if (newTotal == 0) return
        val part = contributions[key]
            ?: CellContribution(baselines[key.domain] ?: initialBaseline ?: return).also {
                contributions[key] =
                    it
            }
        // A slow request of the new version is slower by the tolerance.
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
     * The logarithm of the mixture's Bayes factor. A version may turn bad late, so the factor is
     * also mixed over the period in which the difference begins: half of the weight is on the start
     * of the move. Without that, the evidence of a long good time had to be outweighed first.
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

    /** The state of the test, for the operator. */
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

    /** The lowest bucket with at most [SLOW_FRACTION] of the old version's samples above it. */
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

        /** The grid of probabilities over which the unknown one is integrated, and its logarithms. */
        private val probabilityGrid = doubleArrayOf(
            0.0005, 0.001, 0.002, 0.004, 0.007, 0.012, 0.02, 0.035, 0.06, 0.1, 0.17, 0.27, 0.4,
            0.55, 0.7, 0.83, 0.92, 0.97, 0.99, 0.999, 0.9999
        )
        private val logBad = DoubleArray(probabilityGrid.size) { ln(probabilityGrid[it]) }
        private val logGood = DoubleArray(probabilityGrid.size) { ln(1 - probabilityGrid[it]) }
        private val alternativeGrids = oddsRatios.map { ShiftedGrid(it) }

        /**
         * The odds ratios of one cell that chance makes, and their weights: one endpoint is at times
         * busier than another. With equal odds alone, 5 of 16 good moves were rolled back in an
         * overload, in which endpoints over their capacity fail requests and others don't.
         */
        private val chanceOdds = listOf(1.0 to 0.6, 4.0 to 0.25, 0.25 to 0.15)
        private val chanceGrids = chanceOdds.map { (odds, weight) ->
            ShiftedGrid(odds) to ln(weight)
        }

        /**
         * The same near and over capacity, where small differences in speed decide which endpoint
         * fails requests. With the ratios above, 8 of 16 good moves of Ingabo were rolled back in an
         * overload.
         */
        private val overloadChanceOdds =
            listOf(1.0 to 0.4, 4.0 to 0.2, 16.0 to 0.2, 64.0 to 0.1, 0.25 to 0.1)
        private val overloadChanceGrids =
            overloadChanceOdds.map { (odds, weight) -> ShiftedGrid(odds) to ln(weight) }

        /** Grid points this far below the best one, in logarithms, don't matter. */
        private const val NEGLIGIBLE_LOG_DIFFERENCE = 40.0

        /** The logarithms of the grid's probabilities at odds raised by [ratio]. */
        private class ShiftedGrid(oddsRatio: Double) {
            val logBad: DoubleArray
            val logGood: DoubleArray

            init {
                val raised = probabilityGrid.map { p -> oddsRatio * p / (1 - p + oddsRatio * p) }
                logBad = DoubleArray(probabilityGrid.size) { ln(raised[it]) }
                logGood = DoubleArray(probabilityGrid.size) { ln(1 - raised[it]) }
            }
        }

        /** The prior probability that a cell doesn't have the usual conditions. */
        private const val UNUSUAL_PRIOR = 0.2

        /** The prior probability that a cell has the conditions of the whole move so far. */
        private const val WHOLE_MOVE_PRIOR = 0.5

        /** The old version's samples count for at most this many, so that conditions may drift. */
        private const val MAX_BASELINE_SAMPLES = 200.0
        private const val MAX_RECENT_SAMPLES = 40.0

        // Four sums at the repeat interval of 5 s span the last 15 s. Without recent conditions a
        // lasting shared fault counted as unusual in every cell anew, and 2 of 16 good moves were
        // rolled back during an unhealthy domain.
        private const val RECENT_SUM_COUNT = 4

        /** The part of the old version's requests that counts as slow. */
        private const val SLOW_FRACTION = 0.15

        // One bucket is a factor of 1.41. Endpoints of one version differ by some 20% in speed, and
        // with no tolerance 1 to 3 of 8 good moves were rolled back.
        private const val TOLERATED_BUCKETS = 1

        /** Mixes what the old version showed so far, what it showed lately, and anything. */
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

        /** The logarithms of the Bayes factors of one cell by odds ratio. */
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
