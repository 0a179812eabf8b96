package org.hemlockpond.core.budget

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

class BudgetHolderTest {
    private val customer = CustomerId("c")
    private val domain = FailureDomain("d")
    private val self = RouterId("self")
    private val peer = RouterId("peer")
    private val request = RequestId("q")
    private val holder = BudgetHolder(self, domain)
    private var now = Now(Duration.ZERO, Instant.fromEpochSeconds(1_000))
    private var requests = 0

    /** Time of the holder's last read request. */
    private var askedAt = Duration.ZERO

    private fun handle(event: BudgetEvent) = holder.handle(event, now).onEach {
        if (it is BudgetAction.ReadRecord) askedAt = it.askedAt
    }

    private fun reserve(tokens: Long, id: RequestId = RequestId("q${requests++}")) =
        handle(BudgetEvent.Reserve(id, customer, tokens))

    private fun read(revision: Long, record: BudgetRecord) =
        handle(BudgetEvent.RecordRead(customer, askedAt, revision, record))

    private fun written(write: BudgetAction.WriteRecord, outcome: WriteOutcome) =
        handle(BudgetEvent.RecordWritten(customer, write.sequence, outcome))

    private fun List<BudgetAction>.write() = filterIsInstance<BudgetAction.WriteRecord>().single()

    private fun List<BudgetAction>.reservations() = count { it is BudgetAction.Reserved }

    /** Reads a record with [paid] tokens, takes a grant and reserves [tokens] as [request]. */
    private fun granted(paid: Long, tokens: Long = 10): BudgetAction.WriteRecord {
        handle(BudgetEvent.LeaseRenewed(now))
        reserve(tokens, request)
        val write = read(1, BudgetRecord().withPayment("p", paid)).write()
        assertEquals(1, written(write, WriteOutcome.Applied(2)).reservations())
        return write
    }

    /** Guards against spend without a lease, whose expiry other routers couldn't wait for. */
    @Test
    fun nothingIsReservedWithoutLease() {
        reserve(10)
        assertTrue(read(1, BudgetRecord().withPayment("p", 100)).isEmpty())
    }

    /** Guards against spend after the wall clock shows that the lease ran out. */
    @Test
    fun suspendedHolderStopsByWallClock() {
        granted(1_000)
        now = now.copy(wall = now.wall + 6.hours)
        assertEquals(0, reserve(10).reservations())
    }

    /** Guards against spend after the monotonic clock shows that the lease ran out. */
    @Test
    fun holderStopsByMonotonicClockWhenWallIsSetBack() {
        granted(1_000)
        now = Now(now.elapsed + 6.hours - 1.minutes, now.wall - 1.hours)
        assertEquals(0, reserve(10).reservations())
    }

    /** Guards against a late renewal answer that shortens a lease with a newer renewal. */
    @Test
    fun olderRenewalIsIgnored() {
        granted(1_000)
        val first = now
        now += 5.hours
        handle(BudgetEvent.LeaseRenewed(now))
        handle(BudgetEvent.LeaseRenewed(first))
        now += 2.hours
        assertEquals(1, reserve(10).reservations())
    }

    /** Guards against tokens that stay reserved, and against charges beyond the reservation. */
    @Test
    fun settlementFreesUnusedTokens() {
        val free = granted(1_000, tokens = 100).record.slices.getValue(self).granted
        assertEquals(0, reserve(free - 99).reservations())
        assertEquals(1, handle(BudgetEvent.Settle(request, 20)).reservations())
    }

    /** Guards against a grant for every request, which would load the store. */
    @Test
    fun grantCoversLaterRequests() {
        granted(10_000)
        repeat(20) { assertEquals(1, reserve(10).size) }
    }

    /** Guards against an endless wait and against an early refusal. */
    @Test
    fun requestWaitsForGrantWait() {
        handle(BudgetEvent.LeaseRenewed(now))
        handle(BudgetEvent.StoreReachable(false))
        reserve(10, request)
        now += 199.milliseconds
        assertTrue(handle(BudgetEvent.Tick).isEmpty())
        now += 1.milliseconds
        val expected = BudgetAction.Refused(request, ErrorKind.BUDGET_UNREACHABLE)
        assertEquals(listOf<BudgetAction>(expected), handle(BudgetEvent.Tick))
    }

    /** Guards against a wait for tokens that the whole budget doesn't have. */
    @Test
    fun exhaustedBudgetRefusesAtOnce() {
        handle(BudgetEvent.LeaseRenewed(now))
        reserve(101, request)
        val actions = read(1, BudgetRecord().withPayment("p", 100))
        assertTrue(BudgetAction.Refused(request, ErrorKind.BUDGET_EXHAUSTED) in actions)
    }

    /** Guards against spend from a grant that wasn't written. */
    @Test
    fun unknownWriteIsReadBackBeforeItCounts() {
        handle(BudgetEvent.LeaseRenewed(now))
        reserve(10)
        val write = read(1, BudgetRecord().withPayment("p", 100)).write()
        val actions = written(write, WriteOutcome.Unknown)
        assertEquals(listOf<BudgetAction>(BudgetAction.ReadRecord(customer, now.elapsed)), actions)
        assertEquals(1, read(2, write.record).reservations())
    }

    /** Guards against late answers that are treated as new and hide a payment. */
    @Test
    fun lateAnswersAreDatedByTheirReadRequests() {
        handle(BudgetEvent.LeaseRenewed(now))
        val old = BudgetRecord(mapOf("p" to 5), closedSpent = 5)
        reserve(10)
        read(2, old)
        val readTimes = List(2) {
            now += 2.seconds
            reserve(10)
            askedAt
        }
        now += 2.seconds
        reserve(10, request)
        val answers = handle(BudgetEvent.RecordRead(customer, readTimes[0], 1, old)) +
            handle(BudgetEvent.RecordRead(customer, readTimes[1], 2, old))
        val refusals = answers.filterIsInstance<BudgetAction.Refused>()
        assertTrue(refusals.none { it.request == request }, "$refusals")
    }

    /** Guards against spending tokens that an unanswered write may still return. */
    @Test
    fun outstandingReturnLowersFreeTokens() {
        val write = granted(100_000, tokens = 1_000)
        handle(BudgetEvent.Settle(request, 0))
        now += 2.minutes
        handle(BudgetEvent.LeaseRenewed(now))
        val other = Slice(domain, granted = 5_000, wanted = 9_000_000)
        val busier = write.record.withSlice(peer, other)
        assertIs<BudgetAction.ReadRecord>(handle(BudgetEvent.Tick).single())
        val shrink = read(3, busier).write()
        val kept = shrink.record.slices.getValue(self).granted
        written(shrink, WriteOutcome.Unknown)
        read(3, busier)
        assertEquals(0, reserve(kept + 1).reservations())
    }

    /** Guards against a delayed return of tokens after a write conflict. */
    @Test
    fun conflictingReportIsRepeatedAtOnce() {
        val write = granted(100_000, tokens = 1_000)
        handle(BudgetEvent.Settle(request, 0))
        now += 2.minutes
        handle(BudgetEvent.LeaseRenewed(now))
        val busier = write.record.withSlice(
            peer,
            Slice(domain, granted = 5_000, wanted = 9_000_000)
        )
        handle(BudgetEvent.Tick)
        val shrink = read(3, busier).write()
        written(shrink, WriteOutcome.Conflict)
        val again = read(4, busier).write()
        val kept = { written: BudgetAction.WriteRecord ->
            written.record.slices.getValue(self).granted
        }
        assertEquals(kept(shrink), kept(again))
    }

    /** Guards against spending from a closed slice. */
    @Test
    fun removedSliceFencesHolder() {
        val write = granted(1_000)
        now += 1.minutes
        handle(BudgetEvent.Tick)
        val closed = write.record.withClosed(self, null)
        assertTrue(BudgetAction.Fenced in read(3, closed))
        val refusal = reserve(1, RequestId("late")).single()
        assertEquals(ErrorKind.ROUTER_STOPPING, assertIs<BudgetAction.Refused>(refusal).kind)
    }

    /** Guards against a loan that is unknown to a router that may close the lender's slice. */
    @Test
    fun loanWaitsForConfirmedLentTotals() {
        granted(1_000)
        handle(BudgetEvent.PeersChanged(mapOf(peer to domain)))
        val announced = BudgetMessage.LentTotalsNoted(emptyMap(), complete = true)
        handle(BudgetEvent.PeerReceived(peer, announced))
        val borrower = RouterId("borrower")
        val ask = BudgetMessage.LoanRequest(customer, tokens = 5, received = 0)
        val notice = handle(BudgetEvent.PeerReceived(borrower, ask)).single()
        val totals = BudgetMessage.LentTotals(mapOf(customer to 5L), complete = false)
        assertEquals(BudgetAction.SendToPeer(peer, totals), notice)
        val noted = BudgetMessage.LentTotalsNoted(totals.totals, complete = false)
        val loan = handle(BudgetEvent.PeerReceived(peer, noted)).single()
        assertEquals(BudgetAction.SendToPeer(borrower, BudgetMessage.Loan(customer, 5)), loan)
        val repeated = handle(BudgetEvent.PeerReceived(borrower, ask)).single()
        assertEquals(loan, repeated)
    }

    /** Guards against a repeated loan that is counted twice. */
    @Test
    fun loanCountsOnce() {
        handle(BudgetEvent.LeaseRenewed(now))
        handle(BudgetEvent.StoreReachable(false))
        reserve(5)
        reserve(5)
        val loan = BudgetEvent.PeerReceived(peer, BudgetMessage.Loan(customer, 5))
        assertEquals(1, handle(loan).reservations())
        assertEquals(0, handle(loan).reservations())
    }

    /** Guards against releasing tokens of a dead router that it may have lent. */
    @Test
    fun onlyRouterWithLentTotalsClosesFromCopy() {
        val write = granted(1_000)
        val record = write.record.withSlice(peer, Slice(domain, granted = 20, spent = 3))
        val copies = mapOf(customer to SpendCopy(settled = 4, reserved = 2))
        handle(BudgetEvent.RouterDied(peer, copies))
        val kept = read(3, record).filterIsInstance<BudgetAction.WriteRecord>()
        assertTrue(kept.all { peer in it.record.slices })

        val informedRouter = BudgetHolder(RouterId("witness"), domain)
        informedRouter.handle(BudgetEvent.LeaseRenewed(now), now)
        val totals = BudgetMessage.LentTotals(mapOf(customer to 5L), complete = true)
        informedRouter.handle(BudgetEvent.PeerReceived(peer, totals), now)
        informedRouter.handle(BudgetEvent.RouterDied(peer, copies), now)
        val close = informedRouter.handle(
            BudgetEvent.RecordRead(customer, now.elapsed, 3, record),
            now
        ).write()
        assertFalse(peer in close.record.slices)
        assertEquals(11, close.record.closedSpent)
    }

    /** Guards against a slice that remains after a shutdown or is returned while in use. */
    @Test
    fun drainReturnsSliceAfterLastSettlement() {
        val write = granted(1_000)
        assertTrue(handle(BudgetEvent.Drain).none { it is BudgetAction.Drained })
        val shrink = read(2, write.record).write()
        assertEquals(10, shrink.record.slices.getValue(self).granted)
        written(shrink, WriteOutcome.Applied(3))
        handle(BudgetEvent.Settle(request, 7))
        now += 1.seconds
        handle(BudgetEvent.Tick)
        val removal = read(3, shrink.record).write()
        assertEquals(7, removal.record.closedSpent)
        val actions = written(removal, WriteOutcome.Applied(4))
        assertEquals(listOf<BudgetAction>(BudgetAction.Drained), actions)
    }

    /** Guards against a credit that never reaches the record of a router without a slice. */
    @Test
    fun creditWithoutSliceIsReported() {
        handle(BudgetEvent.LeaseRenewed(now))
        handle(BudgetEvent.Credit(customer, 11))
        now += 30.seconds
        assertTrue(handle(BudgetEvent.Tick).any { it is BudgetAction.ReadRecord })
        val stored = BudgetRecord(closedSpent = 214).withPayment("p", 1_000)
        val written = read(5, stored).write().record
        assertEquals(1_000L - 214 + 11, written.remaining)
        assertEquals(-11, written.slices.getValue(self).spent)
    }
}
