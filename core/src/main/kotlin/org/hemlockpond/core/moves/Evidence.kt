/*
 * The evidence of one move: counters by version, failure domain, load level, period and share of
 * the domain's endpoints that run the new version. Each router counts its own requests; the table
 * holds a copy of every router's counters and their sum.
 */
package org.hemlockpond.core.moves

import kotlin.math.max
import org.hemlockpond.core.RouterId

/** The sums of both versions under one set of conditions. */
internal class Cell {
    val old = Tally()
    val new = Tally()

    fun side(new: Boolean): Tally = if (new) this.new else old
}

internal class Evidence {
    private data class Source(val router: RouterId, val cell: CellKey, val new: Boolean)

    private val sources = HashMap<Source, Tally>()
    private val sums = HashMap<CellKey, Cell>()
    private val changed = LinkedHashSet<CellKey>()

    val cells: Map<CellKey, Cell> get() = sums

    /** The cells whose sums changed since the last call. */
    fun takeChanged(): List<CellKey> = changed.toList().also { changed.clear() }

    /** Counts one result of router [self]. */
    fun add(self: RouterId, cell: CellKey, new: Boolean, result: OutcomeResult) {
        sources.getOrPut(Source(self, cell, new)) { Tally() }.add(result)
        sums.getOrPut(cell) { Cell() }.side(new).add(result)
        changed += cell
    }

    /** Takes the larger of the present and the reported value of each of [router]'s counters. */
    fun merge(router: RouterId, reports: List<CellReport>) {
        for (report in reports) {
            val mine = sources.getOrPut(Source(router, report.cell, report.new)) { Tally() }
            val sum = sums.getOrPut(report.cell) { Cell() }.side(report.new)
            for ((index, count) in report.counts) {
                if (index !in 0 until Tally.SIZE) continue
                val growth = max(0, count - mine.counts[index])
                if (growth == 0) continue
                mine.counts[index] += growth
                sum.counts[index] += growth
                changed += report.cell
            }
        }
    }

    /** The counters of [router], of the cells that [select] accepts. */
    fun reports(router: RouterId, select: (CellKey) -> Boolean = { true }): List<CellReport> =
        sources.filter { (source, _) -> source.router == router && select(source.cell) }
            .map { (source, tally) -> CellReport(source.cell, source.new, tally.toMap()) }
            .sortedWith(
                compareBy({ it.cell.period }, { it.cell.domain.value }, { it.cell.load }, {
                    it.cell.step
                }, { it.new })
            )
}
