/*
 * The sequential comparison of two versions.
 *
 * Within one cell (failure domain, load level, period) both versions met the same conditions. Given
 * how many requests were bad there, the number of bad requests of the new version has Fisher's
 * noncentral hypergeometric distribution, which depends on the odds ratio alone: a fault that both
 * versions share changes the number of bad requests and not the odds ratio.
 */
package org.hemlockpond.core.moves

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.min
import org.hemlockpond.core.FailureDomain

/**
 * A mixture sequential probability ratio test on the odds ratio of bad requests.
 *
 * The likelihood ratio of each cell is conditional on its number of bad requests, as in J. ter
 * Schure, M. F. Perez-Ortiz, A. Ly and P. Grunwald, "The Safe Logrank Test: Error Control under
 * Continuous Monitoring with Unlimited Horizon" (2020); the mixture over a grid of alternatives
 * follows H. Robbins, "Statistical Methods Related to the Law of the Iterated Logarithm" (1970). The
 * product over complete cells is an e-process for "the odds ratio is at most the tolerance", and
 * Ville's inequality bounds how often it reaches a threshold for a good version. The open cell is
 * included so that badness shows without delay; this makes the bound approximate, and `MoveBench`
 * measures the rate of false rollbacks.
 */
internal class SequentialTest(private val metric: Metric, settings: MoveSettings) {
    private val tolerance = when (metric) {
        Metric.FAILURES -> settings.failureTolerance
        else -> settings.latencyTolerance
    }
    private val alternatives = when (metric) {
        Metric.FAILURES -> failureAlternatives
        else -> latencyAlternatives
    }
    private val sums = DoubleArray(alternatives.size)
    private val parts = HashMap<CellKey, Part>()

    private class Part(val logs: DoubleArray, val bad: Pair<Int, Int>, val total: Pair<Int, Int>)

    /** Takes the present sums of [cell] in place of the earlier ones. */
    fun update(key: CellKey, cell: Cell) {
        val bucket = if (metric == Metric.FAILURES) 0 else slowBucket(cell)
        val newTotal = cell.new.total(metric)
        val oldTotal = cell.old.total(metric)
        if (newTotal == 0 || oldTotal == 0) return
        val newBad = cell.new.bad(metric, bucket)
        val oldBad = cell.old.bad(metric, bucket)
        val null0 = logWeight(newTotal, oldTotal, newBad + oldBad, tolerance)
        val logs = DoubleArray(alternatives.size) { i ->
            newBad * (ln(alternatives[i]) - ln(tolerance)) -
                logWeight(newTotal, oldTotal, newBad + oldBad, alternatives[i]) + null0
        }
        val before = parts.put(key, Part(logs, newBad to oldBad, newTotal to oldTotal))
        for (i in sums.indices) sums[i] += logs[i] - (before?.logs?.get(i) ?: 0.0)
    }

    /** The logarithm of the mixture's e-value. */
    fun logEValue(): Double {
        val top = sums.max()
        return top + ln(sums.sumOf { exp(it - top) } / sums.size)
    }

    /** The state of the test, for the operator. */
    fun finding(): Finding {
        val best = sums.indices.maxBy { sums[it] }
        val domains = HashMap<FailureDomain, Double>()
        for ((key, part) in parts) domains.merge(key.domain, part.logs[best], Double::plus)
        return Finding(
            metric = metric,
            eValue = exp(logEValue()),
            newBad = parts.values.sumOf { it.bad.first.toLong() },
            newTotal = parts.values.sumOf { it.total.first.toLong() },
            oldBad = parts.values.sumOf { it.bad.second.toLong() },
            oldTotal = parts.values.sumOf { it.total.second.toLong() },
            domains = domains.filterValues { it > 0 }.keys.sortedBy { it.value }
        )
    }

    /**
     * The lowest bucket with at most [SLOW_PART] of both versions' samples above it. It depends on
     * the pooled samples alone, so the choice doesn't favour a version.
     */
    private fun slowBucket(cell: Cell): Int {
        val total = cell.new.total(metric) + cell.old.total(metric)
        var above = 0
        for (bucket in Tally.BUCKETS - 1 downTo 1) {
            above += cell.new.bucket(metric, bucket) + cell.old.bucket(metric, bucket)
            if (above > SLOW_PART * total) return bucket
        }
        return 0
    }

    private companion object {
        // The test keeps most of its power when the true odds ratio lies between two of these.
        val failureAlternatives = doubleArrayOf(3.0, 10.0, 40.0, 400.0)
        val latencyAlternatives = doubleArrayOf(4.0, 8.0, 20.0, 100.0)

        const val SLOW_PART = 0.4

        /** The logarithm of the sum over j of C(new, j) C(old, bad - j) odds^j. */
        fun logWeight(new: Int, old: Int, bad: Int, odds: Double): Double {
            val from = max(0, bad - old)
            val to = min(new, bad)
            val logOdds = ln(odds)
            var top = Double.NEGATIVE_INFINITY
            var sum = 0.0
            for (j in from..to) {
                val term = LogFactorial.choose(new, j) + LogFactorial.choose(old, bad - j) +
                    j * logOdds
                if (term > top) {
                    sum = sum * exp(top - term) + 1
                    top = term
                } else {
                    sum += exp(term - top)
                }
            }
            return top + ln(sum)
        }
    }
}

/** Logarithms of factorials: a table, and Stirling's series beyond it. */
internal object LogFactorial {
    private const val TABLE = 4096
    private val table = DoubleArray(TABLE).also {
        for (i in 2 until TABLE) it[i] = it[i - 1] + ln(i.toDouble())
    }

    fun of(n: Int): Double {
        if (n < TABLE) return table[n]
        val x = n + 1.0
        return (x - 0.5) * ln(x) - x + 0.5 * ln(2 * Math.PI) + 1 / (12 * x)
    }

    fun choose(n: Int, k: Int): Double = of(n) - of(k) - of(n - k)
}
