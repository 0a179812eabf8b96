/*
 * The evidence of one move: counters by version, failure domain, load level, period and number of
 * the domain's endpoints that run the new version. Each router counts its own requests. The table
 * holds a copy of every router's counters and their sums.
 */
package org.hemlockpond.core.moves

import kotlin.math.max
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouterId

/** The counters of both versions under the conditions of one [CellKey], summed over all routers. */
internal class Cell {
    val old = OutcomeCounts()
    val new = OutcomeCounts()

    fun countsOf(isNew: Boolean): OutcomeCounts = if (isNew) new else old
}

/** The counters of all routers for one move, with their sums. */
internal class Evidence {
    private data class CounterKey(val cell: CellKey, val isNew: Boolean)

    private val countsByRouter = HashMap<RouterId, HashMap<CounterKey, OutcomeCounts>>()
    private val cellSums = HashMap<CellKey, Cell>()
    private val oldDomainSums = HashMap<FailureDomain, OutcomeCounts>()
    private val changedCells = LinkedHashSet<CellKey>()

    /** The sums over all routers by cell. */
    val cells: Map<CellKey, Cell> get() = cellSums

    /** The old version's counters by failure domain, summed over all routers and cells. */
    val oldByDomain: Map<FailureDomain, OutcomeCounts> get() = oldDomainSums

    /** Returns the cells whose sums changed since the last call. */
    fun drainChangedCells(): List<CellKey> = changedCells.toList().also { changedCells.clear() }

    /** Counts one result that router [self] observed. */
    fun add(self: RouterId, cell: CellKey, isNew: Boolean, result: OutcomeResult) {
        countsFor(self, cell, isNew).add(result)
        cellSums.getOrPut(cell) { Cell() }.countsOf(isNew).add(result)
        if (!isNew) oldDomainSums.getOrPut(cell.domain) { OutcomeCounts() }.add(result)
        changedCells += cell
    }

    /**
     * Raises each counter of [router] to its reported value if that is larger. Reports with an
     * invalid period and counters with an invalid index are ignored.
     */
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

    /** Returns the counters of [router] for [cells], or for all its cells if [cells] is null. */
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
        /**
         * The highest period number; results of later periods are counted in this one. Reports with
         * a higher number are ignored, which limits the memory that a malformed report can
         * allocate.
         */
        const val MAX_PERIOD = 1023
    }
}
