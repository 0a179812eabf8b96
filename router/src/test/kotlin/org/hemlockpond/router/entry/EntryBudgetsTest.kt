package org.hemlockpond.router.entry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.budget.BudgetRecord
import org.hemlockpond.core.budget.MarkedUse
import org.hemlockpond.core.budget.Slice
import org.hemlockpond.core.budget.SpendMark
import org.hemlockpond.core.entry.CallerLimits
import org.hemlockpond.core.entry.EntryConfig
import org.hemlockpond.core.entry.EntryCustomer
import org.hemlockpond.core.entry.entryBudgetSettings
import org.hemlockpond.router.decodeRecord
import org.hemlockpond.router.encodeRecord

@OptIn(ExperimentalCoroutinesApi::class)
class EntryBudgetsTest {
    private val store = MemoryStore()
    private val self = RouterId("edge-1/a")
    private val domain = FailureDomain("d")
    private var now = Now(Duration.ZERO, Instant.fromEpochSeconds(1_000))

    private object Listener : BudgetListener {
        override fun reserved(request: RequestId) = Unit

        override fun refused(request: RequestId, kind: ErrorKind) = Unit

        override fun fenced() = error("fenced")

        override fun drained() = Unit
    }

    private object Machine : MachineClock {
        override val bootId = "boot-1"

        override fun steadyMillis() = 0L

        override fun wallMillis() = 0L
    }

    private fun TestScope.budgets(): EntryBudgets {
        val marks = HostMarks(self, "10.0.0.1:80", store, { now }, Machine)
        val settings = entryBudgetSettings
        val parts = PartSupervisor(this, now = { Duration.ZERO })
        return EntryBudgets(self, domain, settings, store, parts, { now }, marks, Listener)
    }

    private fun config(customers: Int): EntryConfig {
        val limits = CallerLimits(1_000, 1_000, 1.seconds, 1.seconds)
        val list = List(customers) { EntryCustomer(CustomerId("c$it"), emptyList(), null, PAID) }
        return EntryConfig(1, emptyList(), emptyList(), limits, list)
    }

    private fun EntryBudgets.expectAll(customers: Int) {
        val next = config(customers)
        configChanged(next)
        next.customers.forEach { expect(it.id) }
    }

    private fun TestScope.runFor(budgets: EntryBudgets, span: Duration) {
        val end = now.elapsed + span
        while (now.elapsed < end) {
            now += STEP
            budgets.tick()
            runCurrent()
        }
    }

    private fun key(customer: Int) = BudgetRecord.key(CustomerId("c$customer"))

    private fun record(customer: Int): BudgetRecord {
        val text = store.values.getValue(key(customer)).value
        return decodeRecord(BudgetRecord.serializer(), key(customer), text)!!
    }

    /** Guards against one store call per customer where a single call reads all records. */
    @Test
    fun recordsNeededTogetherAreReadInOneCall() = runTest {
        val budgets = budgets()
        budgets.start()
        budgets.expectAll(customers = 10)
        runCurrent()
        val marksAndRecords = 2
        assertEquals(marksAndRecords, store.reads)
        assertTrue((0 until 10).all { self in record(it).slices })
        runFor(budgets, 30.seconds)
        val storeCalls = budgets.storeCalls
        runFor(budgets, 6.seconds)
        val marks = 6
        val reports = 2
        assertTrue(
            budgets.storeCalls - storeCalls <= marks + 2 * reports,
            "${budgets.storeCalls - storeCalls} calls"
        )
    }

    /** Guards against writes that all fail because another host writes one of the records often. */
    @Test
    fun conflictOfOneRecordDoesNotDelayTheOthers() = runTest {
        var attempts = 0
        var attemptsForOthers: Int? = null
        store.beforeCommit = {
            val records = (0 until 10).map { if (key(it) in store.values) record(it) else null }
            if (records.all { it != null && it.paid > 0 }) {
                attempts++
                val others = records.drop(1)
                if (others.all { self in it!!.slices }) {
                    attemptsForOthers = attemptsForOthers ?: (attempts - 1)
                }
                if (attempts <= 20) writeAsAnotherHost(records.first()!!, attempts)
            }
        }
        val budgets = budgets()
        budgets.start()
        budgets.expectAll(customers = 10)
        runFor(budgets, 100.milliseconds)
        // The first attempt conflicts, and the second one leaves out the record that conflicted.
        assertEquals(2, attemptsForOthers)
    }

    private fun writeAsAnotherHost(record: BudgetRecord, number: Int) {
        val slice = Slice(domain, wanted = number.toLong())
        val changed = record.withSlice(RouterId("edge-2/a"), slice)
        store.put(key(0), encodeRecord(BudgetRecord.serializer(), changed))
    }

    /** Guards against an idle host that doesn't notice the tokens used by other hosts. */
    @Test
    fun idleHostGivesBackTokensAsTheBudgetShrinks() = runTest {
        val budgets = budgets()
        budgets.start()
        budgets.expectAll(customers = 1)
        runFor(budgets, 5.seconds)
        val held = record(0).slices.getValue(self).granted
        val others = Slice(domain, granted = PAID / 2, spent = PAID / 2, wanted = 1_000)
        val changed = record(0).withSlice(RouterId("edge-2/a"), others)
        val text = encodeRecord(BudgetRecord.serializer(), changed)
        store.put(key(0), text)
        runFor(budgets, 8.seconds)
        val kept = record(0).slices.getValue(self).granted
        assertTrue(kept < held / 2, "$kept of $held tokens kept")
    }

    /** Guards against tokens that stay in the slice of an ended run until its customer comes again. */
    @Test
    fun sliceOfAnEarlierRunIsClosedThoughItsCustomerDoesNotCome() = runTest {
        val earlier = RouterId("edge-1/0")
        val slice = Slice(domain, granted = PAID / 2)
        val record = BudgetRecord().withPayment("total-$PAID", PAID).withSlice(earlier, slice)
        store.put(key(0), encodeRecord(BudgetRecord.serializer(), record))
        val mark = SpendMark(mapOf(CustomerId("c0") to MarkedUse(used = 100, pace = 0)))
        val marks = StoredMarks("10.0.0.1:80", "boot-1", mapOf(earlier to RunMark(0, 0, mark)))
        store.put("hemlockpond/marks/edge-1", encodeRecord(StoredMarks.serializer(), marks))
        val budgets = budgets()
        budgets.start()
        budgets.configChanged(config(customers = 3))
        runFor(budgets, 1.seconds)
        assertEquals(emptySet(), record(0).slices.keys)
        assertEquals(100, record(0).closedSpent)
        // The host takes a slice as before once the customer comes.
        budgets.expect(CustomerId("c0"))
        runFor(budgets, 5.seconds)
        assertTrue(record(0).slices.getValue(self).granted > PAID / 100)
    }

    /** Guards against a slow host whose writes all conflict, as it reads again before each of them. */
    @Test
    fun writeThatConflictedIsRepeatedFromTheAnswer() = runTest {
        // With more tokens left, a record is used for longer.
        val used = BudgetRecord(mapOf("total-$PAID" to PAID), closedSpent = PAID * 9 / 10)
        store.put(key(0), encodeRecord(BudgetRecord.serializer(), used))
        val budgets = budgets()
        budgets.start()
        var readsAtConflict: Int? = null
        store.beforeCommit = {
            if (readsAtConflict == null) {
                readsAtConflict = store.reads
                writeAsAnotherHost(record(0), number = 1)
                now += SLOW_CALL
            }
        }
        budgets.expectAll(customers = 1)
        runFor(budgets, 100.milliseconds)
        assertTrue(self in record(0).slices)
        assertEquals(readsAtConflict, store.reads)
    }

    private companion object {
        /** Longer than a record counts as fresh. */
        val SLOW_CALL = 200.milliseconds
        const val PAID = 1_000_000L
        val STEP = 25.milliseconds
    }
}
