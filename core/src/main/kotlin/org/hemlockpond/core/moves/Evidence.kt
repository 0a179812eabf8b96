/*
 * The evidence of one move: counters by version, failure domain, load level, period and share of
 * the domain's endpoints that run the new version. Each router counts its own requests; the table
 * holds a copy of every router's counters and their sum.
 */
package org.hemlockpond.core.moves

import kotlin.math.max
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouterId

/** The sums of both versions under one set of conditions. */
internal class Cell {
    val old = OutcomeCounts()
    val new = OutcomeCounts()

    fun countsOf(isNew: Boolean): OutcomeCounts = if (isNew) new else old
}

internal class Evidence {
    private data class CounterKey(val cell: CellKey, val isNew: Boolean)

    private val countsByRouter = HashMap<RouterId, HashMap<CounterKey, OutcomeCounts>>()
    private val cellSums = HashMap<CellKey, Cell>()
    private val oldDomainSums = HashMap<FailureDomain, OutcomeCounts>()
    private val changedCells = LinkedHashSet<CellKey>()

    val cells: Map<CellKey, Cell> get() = cellSums

    /** The old version's sums by failure domain. */
    val oldByDomain: Map<FailureDomain, OutcomeCounts> get() = oldDomainSums

    /** The cells whose sums changed since the last call. */
    fun drainChangedCells(): List<CellKey> = changedCells.toList().also { changedCells.clear() }

    /** Counts one result of router [self]. */
    fun add(self: RouterId, cell: CellKey, isNew: Boolean, result: OutcomeResult) {
        countsFor(self, cell, isNew).add(result)
        cellSums.getOrPut(cell) { Cell() }.countsOf(isNew).add(result)
        if (!isNew) oldDomainSums.getOrPut(cell.domain) { OutcomeCounts() }.add(result)
        changedCells += cell
    }

    /** Takes the larger of the present and the reported value of each of [router]'s counters. */
    fun merge(router: RouterId, reports: List<CellReport>) {
        for (report in reports) {
            if (report.cell.period !in 0..MAX_PERIOD) continue
            val mine = countsFor(router, report.cell, report.isNewVersion)
            val sum = cellSums.getOrPut(report.cell) { Cell() }.countsOf(report.isNewVersion)
            val old = oldDomainSums.getOrPut(report.cell.domain) { OutcomeCounts() }
            for ((index, count) in report.counts) {
                if (index !in 0 until OutcomeCounts.SIZE) continue
                val growth = max(0, count - mine.counts[index])
                if (growth == 0) continue
                mine.counts[index] += growth
                sum.counts[index] += growth
                if (!report.isNewVersion) old.counts[index] += growth
                changedCells += report.cell
            }
        }
    }

    /** The counters of [router], of [cells] or of all its cells. */
    fun reports(router: RouterId, cells: Collection<CellKey>? = null): List<CellReport> {
        val own = countsByRouter[router].orEmpty()
        val wanted =
            cells?.flatMap { listOf(CounterKey(it, false), CounterKey(it, true)) } ?: own.keys
        return wanted.mapNotNull { source ->
            own[source]?.let { CellReport(source.cell, source.isNew, it.toMap()) }
        }
    }

    private fun countsFor(router: RouterId, cell: CellKey, isNew: Boolean): OutcomeCounts =
        countsByRouter.getOrPut(router) {
            HashMap()
        }.getOrPut(CounterKey(cell, isNew)) { OutcomeCounts() }

    companion object {
        /** Later periods count as this one; it bounds what a malformed report can allocate. */
        const val MAX_PERIOD = 1023
    }
}
