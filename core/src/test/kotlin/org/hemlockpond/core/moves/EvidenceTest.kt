package org.hemlockpond.core.moves

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.DoubleRange
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.StringLength
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

class EvidenceTest {
    /** A report with the number of the router that sent it. */
    data class SentReport(val router: Int, val cell: CellReport)

    @Provide
    fun sent(): Arbitrary<List<SentReport>> {
        val counts = Arbitraries.maps(
            Arbitraries.integers().between(0, OutcomeCounts.SIZE - 1),
            Arbitraries.integers().between(1, 50)
        ).ofMaxSize(4)
        return Combinators.combine(
            Arbitraries.integers().between(0, 2),
            Arbitraries.integers().between(0, 2),
            Arbitraries.of(true, false),
            counts
        ).`as` { router, period, new, map ->
            SentReport(router, CellReport(CellKey(0, period, domainOf(period), 0), new, map))
        }.list().ofMaxSize(12)
    }

    private fun merged(reports: List<SentReport>): Map<CellKey, Pair<List<Int>, List<Int>>> {
        val evidence = Evidence()
        for (sent in reports) evidence.merge(RouterId("r${sent.router}"), listOf(sent.cell))
        return evidence.cells.mapValues { (_, cell) ->
            cell.old.counts.toList() to cell.new.counts.toList()
        }
    }

    /** Guards against evidence that depends on the order or duplication of messages. */
    @Property(seed = "42", tries = 300)
    fun mergeIsCommutativeAndIdempotent(@ForAll("sent") reports: List<SentReport>) {
        val once = merged(reports)
        assertEquals(once, merged(reports.reversed()))
        assertEquals(once, merged(reports + reports))
        assertEquals(once, merged(reports.sortedBy { it.router } + reports.take(3)))
    }

    /**
     * Guards against a split that returns a request to the old version as the schedule advances.
     */
    @Property(seed = "42", tries = 300)
    fun splitIsStableAndMonotone(
        @ForAll @StringLength(min = 1, max = 40) id: String,
        @ForAll @DoubleRange(min = 0.0, max = 1.0) a: Double,
        @ForAll @DoubleRange(min = 0.0, max = 1.0) b: Double
    ) {
        val fleet = MoveFleet()
        val record = fleet.record.copy(
            reportedVersions = fleet.endpoints.associate {
                it.config.id to
                    v2
            }
        )
        val point = splitPoint(RequestId(id), record.number)
        assertEquals(point, splitPoint(RequestId(id), record.number))
        val (early, late) = listOf(minOf(a, b), maxOf(a, b)).map {
            scheduledShare(record, fleet.config.endpoints, domainOf(0), epoch + fleet.length * it)
        }
        assertTrue(early <= late)
        assertTrue(point >= early || point < late)
    }

    /** Guards against a split that sends far more or less traffic than the share. */
    @Property(seed = "42", tries = 50)
    fun splitIsUniform(@ForAll @IntRange(min = 1, max = 1_000_000) number: Int) {
        val points = List(4000) { splitPoint(RequestId("req-$it"), number.toLong()) }
        assertEquals(0.125, points.count { it < 0.125 } / 4000.0, 0.03)
        assertEquals(0.5, points.average(), 0.03)
    }

    /**
     * Guards against a failure rate of both versions that counts as evidence against the new one.
     */
    @Property(seed = "42", tries = 100)
    fun sharedFailureRateIsNoEvidence(@ForAll @IntRange(min = 0, max = 60) bad: Int) {
        val prior = SequentialTest.logPrior(5, 1000, 0, 0)
        val logs = SequentialTest.logBayesFactors(prior, bad, 60, 2 * bad, 120)
        assertTrue(logs.all { it < 0.5 }, logs.joinToString())
    }

    /** Guards against a split that sends traffic to the new version before the move starts. */
    @Property(seed = "42", tries = 20)
    fun newVersionGetsNoTrafficBeforeTheStart(@ForAll @IntRange(min = 1, max = 1000) before: Int) {
        val fleet = MoveFleet()
        val wall = epoch - before.seconds
        assertEquals(
            0.0,
            scheduledShare(fleet.record, fleet.config.endpoints, domainOf(0), wall)
        )
    }
}
