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
    private val periods: Int,
    private val overloaded: Int
) {
    /** The logarithms of the Bayes factors by period and odds ratio. */
    private val byPeriod = ArrayList<DoubleArray>()

    /** The logarithms of the factors up to each period, mixed over the period of the change. */
    private val running = ArrayList<DoubleArray>()
    private var valid = 0

    /** The prior before the first estimate; without one, nothing tells which latency is slow. */
    private val unknown =
        if (metric == Metric.FAILURES) Usual(0, logPrior(0, 0, 0, 0), emptyList()) else null
    private val parts = HashMap<CellKey, Part>()
    private val usual = HashMap<FailureDomain, Usual>()

    /** One cell's contribution. Its prior is fixed at its first sample and doesn't see the cell. */
    private class Part(val usual: Usual) {
        val counts = IntArray(4)
        var logs = DoubleArray(oddsRatios.size)
    }

    /** What the old version showed in one failure domain: the limit of a slow request, the prior. */
    private class Usual(val bucket: Int, val logPrior: DoubleArray, val sums: List<Tally>)

    /** Estimates the usual conditions of later cells from the old version's sums by domain. */
    fun rebase(old: Map<FailureDomain, Tally>) {
        for ((domain, tally) in old) {
            val bucket = if (metric == Metric.FAILURES) 0 else slowBucket(tally)
            val sums = (usual[domain]?.sums.orEmpty() + Tally(tally.counts.copyOf()))
                .takeLast(RECENT_SUMS)
            val bad = tally.bad(metric, bucket)
            val total = tally.total(metric)
            val prior = logPrior(
                bad,
                total,
                bad - sums.first().bad(metric, bucket),
                total - sums.first().total(metric)
            )
            usual[domain] = Usual(bucket, prior, sums)
        }
    }

    /** Takes the present sums of [cell] in place of the earlier ones. */
    fun update(key: CellKey, cell: Cell) {
        val newTotal = cell.new.total(metric)
        if (newTotal == 0) return
        val part = parts[key]
            ?: Part(usual[key.domain] ?: unknown ?: return).also { parts[key] = it }
        // A slow request of the new version is slower by the tolerance.
        val shift = if (metric == Metric.FAILURES) 0 else TOLERATED_BUCKETS
        val newBad = cell.new.bad(metric, part.usual.bucket + shift)
        val oldBad = cell.old.bad(metric, part.usual.bucket)
        val counts = intArrayOf(newBad, newTotal, oldBad, cell.old.total(metric))
        if (counts.contentEquals(part.counts)) return
        counts.copyInto(part.counts)
        while (byPeriod.size <= key.period) byPeriod += DoubleArray(oddsRatios.size)
        val sums = byPeriod[key.period]
        val logs = logRatios(
            part.usual.logPrior,
            newBad,
            newTotal,
            oldBad,
            counts[OLD_TOTAL],
            key.load >= overloaded
        )
        for (i in sums.indices) sums[i] += logs[i] - part.logs[i]
        part.logs = logs
        valid = min(valid, key.period)
    }

    /**
     * The logarithm of the mixture's Bayes factor. A version may turn bad late, so the factor is
     * also mixed over the period in which the difference begins: half of the weight is on the start
     * of the move. Without that, the evidence of a long good time had to be outweighed first.
     */
    fun logEValue(): Double {
        for (period in valid until byPeriod.size) {
            val weight = if (period == 0) 0.5 else 0.5 / periods
            val before = running.getOrNull(period - 1)
            val now = DoubleArray(oddsRatios.size) {
                addLogs(before?.get(it) ?: Double.NEGATIVE_INFINITY, ln(weight)) +
                    byPeriod[period][it]
            }
            if (period < running.size) running[period] = now else running += now
        }
        valid = byPeriod.size
        val last = running.lastOrNull() ?: return 0.0
        return logSumExp(last) - ln(last.size.toDouble())
    }

    /** The state of the test, for the operator. */
    fun finding(): Finding {
        val eValue = exp(logEValue())
        val last = running.lastOrNull() ?: DoubleArray(oddsRatios.size)
        val best = last.indices.maxBy { last[it] }
        val domains = HashMap<FailureDomain, Double>()
        for ((key, part) in parts) domains.merge(key.domain, part.logs[best], Double::plus)
        return Finding(
            metric = metric,
            eValue = eValue,
            newBad = sumOf(NEW_BAD),
            newTotal = sumOf(NEW_TOTAL),
            oldBad = sumOf(OLD_BAD),
            oldTotal = sumOf(OLD_TOTAL),
            domains = domains.filterValues { it > 0 }.keys.sortedBy { it.value }
        )
    }

    private fun sumOf(index: Int): Long = parts.values.sumOf { it.counts[index].toLong() }

    /** The lowest bucket with at most [SLOW_PART] of the old version's samples above it. */
    private fun slowBucket(old: Tally): Int {
        val total = old.total(metric)
        var above = 0
        for (bucket in Tally.BUCKETS - 1 downTo 1) {
            above += old.bucket(metric, bucket)
            if (above > SLOW_PART * total) return bucket
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
        private val grid = doubleArrayOf(
            0.0005, 0.001, 0.002, 0.004, 0.007, 0.012, 0.02, 0.035, 0.06, 0.1, 0.17, 0.27, 0.4,
            0.55, 0.7, 0.83, 0.92, 0.97, 0.99, 0.999, 0.9999
        )
        private val logBad = DoubleArray(grid.size) { ln(grid[it]) }
        private val logGood = DoubleArray(grid.size) { ln(1 - grid[it]) }
        private val raisedByOdds = oddsRatios.map { Raised(it) }

        /**
         * The odds ratios of one cell that chance makes, and their weights: one endpoint is at times
         * busier than another. With equal odds alone, 5 of 16 good moves were rolled back in an
         * overload, in which endpoints over their capacity fail requests and others don't.
         */
        private val chance = listOf(1.0 to 0.6, 4.0 to 0.25, 0.25 to 0.15)
        private val raisedByChance = chance.map { (odds, weight) -> Raised(odds) to ln(weight) }

        /**
         * The same near and over capacity, where small differences in speed decide which endpoint
         * fails requests. With the ratios above, 8 of 16 good moves of Ingabo were rolled back in an
         * overload.
         */
        private val overloadChance =
            listOf(1.0 to 0.4, 4.0 to 0.2, 16.0 to 0.2, 64.0 to 0.1, 0.25 to 0.1)
        private val raisedByOverload =
            overloadChance.map { (odds, weight) -> Raised(odds) to ln(weight) }

        /** Grid points this far below the best one, in logarithms, don't matter. */
        private const val NEGLIGIBLE = 40.0

        /** The logarithms of the grid's probabilities at odds raised by [ratio]. */
        private class Raised(ratio: Double) {
            val logBad: DoubleArray
            val logGood: DoubleArray

            init {
                val raised = grid.map { p -> ratio * p / (1 - p + ratio * p) }
                logBad = DoubleArray(grid.size) { ln(raised[it]) }
                logGood = DoubleArray(grid.size) { ln(1 - raised[it]) }
            }
        }

        /** The prior probability that a cell doesn't have the usual conditions. */
        private const val UNUSUAL = 0.2

        /** The prior probability that a cell has the conditions of the whole move so far. */
        private const val LONG = 0.5

        /** The old version's samples count for at most this many, so that conditions may drift. */
        private const val MOST_SAMPLES = 200.0
        private const val MOST_RECENT_SAMPLES = 40.0

        // Four sums at the repeat interval of 5 s span the last 15 s. Without recent conditions a
        // lasting shared fault counted as unusual in every cell anew, and 2 of 16 good moves were
        // rolled back during an unhealthy domain.
        private const val RECENT_SUMS = 4

        /** The part of the old version's requests that counts as slow. */
        private const val SLOW_PART = 0.15

        // One bucket is a factor of 1.41. Endpoints of one version differ by some 20% in speed, and
        // with no tolerance 1 to 3 of 8 good moves were rolled back.
        private const val TOLERATED_BUCKETS = 1

        /** Mixes what the old version showed so far, what it showed lately, and anything. */
        fun logPrior(bad: Int, total: Int, recentBad: Int, recentTotal: Int): DoubleArray {
            val long = likelihood(bad, total, MOST_SAMPLES)
            val recent = likelihood(recentBad, recentTotal, MOST_RECENT_SAMPLES)
            return DoubleArray(grid.size) {
                ln(LONG * long[it] + (1 - LONG - UNUSUAL) * recent[it] + UNUSUAL / grid.size)
            }
        }

        private fun likelihood(bad: Int, total: Int, most: Double): DoubleArray {
            val weight = if (total == 0) 0.0 else min(total.toDouble(), most) / total
            val logs = DoubleArray(grid.size) {
                weight * (bad * logBad[it] + (total - bad) * logGood[it])
            }
            val norm = logSumExp(logs)
            return DoubleArray(grid.size) { exp(logs[it] - norm) }
        }

        /** The logarithms of the Bayes factors of one cell by odds ratio. */
        fun logRatios(
            logPrior: DoubleArray,
            newBad: Int,
            newTotal: Int,
            oldBad: Int,
            oldTotal: Int,
            overloaded: Boolean = false
        ): DoubleArray {
            val newGood = newTotal - newBad
            val old = DoubleArray(grid.size) {
                logPrior[it] + oldBad * logBad[it] + (oldTotal - oldBad) * logGood[it]
            }
            val least = old.max() - NEGLIGIBLE
            val points = grid.indices.filter { old[it] >= least }
            val terms = DoubleArray(points.size)
            fun likelihood(raised: Raised): Double {
                for ((i, g) in points.withIndex()) {
                    terms[i] = old[g] + newBad * raised.logBad[g] + newGood * raised.logGood[g]
                }
                return logSumExp(terms)
            }
            val byChance = if (overloaded) raisedByOverload else raisedByChance
            val same = logSumExp(
                DoubleArray(byChance.size) {
                    val (raised, logWeight) = byChance[it]
                    likelihood(raised) + logWeight
                }
            )
            return DoubleArray(oddsRatios.size) { likelihood(raisedByOdds[it]) - same }
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
