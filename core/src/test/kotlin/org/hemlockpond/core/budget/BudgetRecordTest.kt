package org.hemlockpond.core.budget

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlinx.serialization.json.Json
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouterId

class BudgetRecordTest {
    private val a = RouterId("a")
    private val b = RouterId("b")
    private val domain = FailureDomain("d")
    private val paid = BudgetRecord().withPayment("p1", 100)

    private fun slice(granted: Long, spent: Long = 0, lent: Long = 0, borrowed: Long = 0) =
        Slice(domain, granted, spent, lent, borrowed)

    /** Guards against a top-up that is applied twice after a retry. */
    @Test
    fun paymentCountsOnce() {
        val again = paid.withPayments(mapOf("p1" to 100L, "p2" to 5L)).withPayment("p2", 7)
        assertEquals(105, again.paid)
        assertEquals(9, again.missingTokens(mapOf("p2" to 5L, "p3" to 9L)))
    }

    /** Guards against payments that lower the budget below what was granted. */
    @Test
    fun paymentMustBePositive() {
        assertFailsWith<IllegalArgumentException> { paid.withPayment("p2", 0) }
    }

    /** Guards against grants beyond the payments. */
    @Test
    fun grantIsLimitedToAvailable() {
        val record = paid.withSlice(a, slice(70)).withSlice(b, slice(70))
        assertEquals(30, record.slices.getValue(b).granted)
        assertEquals(0, record.available)
    }

    /** Guards against a smaller grant for an existing slice because the record is overdrawn. */
    @Test
    fun overdrawnRecordKeepsGrant() {
        val record = paid.withSlice(a, slice(70)).copy(closedSpent = 50)
        assertEquals(70, record.withSlice(a, slice(70)).slices.getValue(a).granted)
    }

    /** Guards against losing unspent tokens when a slice is returned. */
    @Test
    fun returnedSliceIsChargedWhatItUsed() {
        val record = paid.withSlice(a, slice(70)).withReturned(a, slice(70, 20, 10, 5))
        assertEquals(25, record.closedSpent)
        assertEquals(75, record.available)
    }

    /** Guards against a charge below what a dead router spent, reserved and lent. */
    @Test
    fun copyChargesReservationsAndLoans() {
        val record = paid.withSlice(a, slice(70, spent = 15, lent = 5))
        val copy = SpendCopy(settled = 20, reserved = 10)
        assertEquals(38, record.withClosed(a, copy, lent = 8).closedSpent)
        assertEquals(35, record.withClosed(a, copy, lent = 0).closedSpent)
    }

    /** Guards against a stale copy that charges less than the router itself reported. */
    @Test
    fun staleCopyChargesReportedSpend() {
        val record = paid.withSlice(a, slice(70, spent = 40))
        assertEquals(40, record.withClosed(a, SpendCopy(10, 0)).closedSpent)
    }

    /** Guards against overspend after a death without a copy, and against double closing. */
    @Test
    fun withoutCopyWholeGrantIsCharged() {
        val closed = paid.withSlice(a, slice(70, spent = 10)).withClosed(a, null)
        assertEquals(70, closed.closedSpent)
        assertEquals(closed, closed.withClosed(a, null))
    }

    /** Guards against a stored format that the command line or an older router can't read. */
    @Test
    fun recordSurvivesJson() {
        val record = paid.withSlice(a, slice(70, 1, 2, 3).copy(sequence = 4, wanted = 5))
        val text = Json.encodeToString(BudgetRecord.serializer(), record)
        val expected = """{"payments":{"p1":100},"slices":{"a":{"domain":"d","granted":70,""" +
            """"spent":1,"lent":2,"borrowed":3,"sequence":4,"wanted":5}}}"""
        assertEquals(expected, text)
        assertEquals(record, Json.decodeFromString(BudgetRecord.serializer(), text))
    }
}
