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
    val old = Tally()
    val new = Tally()

    fun side(new: Boolean): Tally = if (new) this.new else old
}

internal class Evidence {
    private data class Source(val cell: CellKey, val new: Boolean)

    private val sources = HashMap<RouterId, HashMap<Source, Tally>>()
    private val sums = HashMap<CellKey, Cell>()
    private val oldSums = HashMap<FailureDomain, Tally>()
    private val changed = LinkedHashSet<CellKey>()

    val cells: Map<CellKey, Cell> get() = sums

    /** The old version's sums by failure domain. */
    val oldByDomain: Map<FailureDomain, Tally> get() = oldSums

    /** The cells whose sums changed since the last call. */
    fun takeChanged(): List<CellKey> = changed.toList().also { changed.clear() }

    /** Counts one result of router [self]. */
    fun add(self: RouterId, cell: CellKey, new: Boolean, result: OutcomeResult) {
        source(self, cell, new).add(result)
        sums.getOrPut(cell) { Cell() }.side(new).add(result)
        if (!new) oldSums.getOrPut(cell.domain) { Tally() }.add(result)
        changed += cell
    }

    /** Takes the larger of the present and the reported value of each of [router]'s counters. */
    fun merge(router: RouterId, reports: List<CellReport>) {
        for (report in reports) {
            if (report.cell.period !in 0..LAST_PERIOD) continue
            val mine = source(router, report.cell, report.new)
            val sum = sums.getOrPut(report.cell) { Cell() }.side(report.new)
            val old = oldSums.getOrPut(report.cell.domain) { Tally() }
            for ((index, count) in report.counts) {
                if (index !in 0 until Tally.SIZE) continue
                val growth = max(0, count - mine.counts[index])
                if (growth == 0) continue
                mine.counts[index] += growth
                sum.counts[index] += growth
                if (!report.new) old.counts[index] += growth
                changed += report.cell
            }
        }
    }

    /** The counters of [router], of [cells] or of all its cells. */
    fun reports(router: RouterId, cells: Collection<CellKey>? = null): List<CellReport> {
        val own = sources[router].orEmpty()
        val wanted = cells?.flatMap { listOf(Source(it, false), Source(it, true)) } ?: own.keys
        return wanted.mapNotNull { source ->
            own[source]?.let { CellReport(source.cell, source.new, it.toMap()) }
        }
    }

    private fun source(router: RouterId, cell: CellKey, new: Boolean): Tally =
        sources.getOrPut(router) { HashMap() }.getOrPut(Source(cell, new)) { Tally() }

    companion object {
        /** Later periods count as this one; it bounds what a malformed report can allocate. */
        const val LAST_PERIOD = 1023
    }
}
