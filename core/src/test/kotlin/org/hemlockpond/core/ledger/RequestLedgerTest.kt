package org.hemlockpond.core.ledger

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

class RequestLedgerTest {
    private val request = RequestId("r")
    private val customer = CustomerId("c")
    private val self = RouterId("a1")
    private val peer = RouterId("a2")
    private val far = RouterId("b1")
    private val domain = FailureDomain("a")
    private val answer = RecordedAnswer(200, "text/plain", "hello")
    private var now = Now(Duration.ZERO, Instant.fromEpochMilliseconds(0))

    private fun RequestLedger.at(delay: Duration, event: LedgerEvent): List<LedgerAction> {
        now += delay
        return handle(event, now)
    }

    private fun RequestLedger.now(event: LedgerEvent) = at(Duration.ZERO, event)

    private fun begin(digest: String = "d", idempotent: Boolean = true, id: RequestId = request) =
        LedgerEvent.Begin(id, customer, digest, idempotent, 100)

    private fun alone(settings: LedgerSettings = LedgerSettings()) =
        RequestLedger(self, domain, settings).also { it.now(LedgerEvent.StoreReachable(false)) }

    /** Guards against a second run and a second bill when a caller repeats a finished request. */
    @Test
    fun repeatedRequestGetsRecordedAnswer() {
        val ledger = alone()
        assertEquals(listOf(LedgerAction.Proceed(request)), ledger.now(begin()))
        val release = ledger.now(LedgerEvent.Finish(request, 40, answer)).single()
        assertEquals(40, assertIs<LedgerAction.Release>(release).bill.tokens)
        assertEquals(listOf(LedgerAction.Replay(request, answer)), ledger.now(begin()))
        assertEquals(40, ledger.spent(customer))
    }

    /**
     * Guards against running a request twice at once, and against a key reused for other content.
     */
    @Test
    fun secondBeginIsRefusedWhileFirstRuns() {
        val ledger = alone()
        ledger.now(begin())
        assertEquals(
            listOf(LedgerAction.Reject(request, ErrorKind.KEY_IN_USE)),
            ledger.now(begin())
        )
        assertEquals(
            listOf(LedgerAction.Reject(request, ErrorKind.KEY_REUSED)),
            ledger.now(begin(digest = "other"))
        )
    }

    /** Guards against a second bill when the answer was too long to be stored. */
    @Test
    fun requestWithoutKeptAnswerRunsAgainUnderOneBill() {
        val ledger = alone(LedgerSettings(maxAnswerChars = 3))
        ledger.now(begin())
        ledger.now(LedgerEvent.Finish(request, 40, answer))
        ledger.now(LedgerEvent.Tick)
        assertEquals(listOf(LedgerAction.Proceed(request, 40)), ledger.now(begin()))
        val actions = ledger.now(LedgerEvent.Finish(request, 30))
        assertEquals(LedgerAction.CreditBill(request, customer, 10), actions.first())
        assertEquals(30, ledger.spent(customer))
    }

    /** Guards against blocking a request after an attempt that sent nothing. */
    @Test
    fun abandonedRequestMayBeginAgain() {
        val ledger = alone()
        ledger.now(begin())
        ledger.now(LedgerEvent.Abandon(request))
        ledger.now(LedgerEvent.Tick)
        assertEquals(listOf(LedgerAction.Proceed(request)), ledger.now(begin(digest = "new")))
        assertEquals(0, ledger.spent(customer))
    }

    /** Guards against memory use that grows with the number of requests served. */
    @Test
    fun endedRequestsAreForgottenAfterRetryWindow() {
        val ledger = alone()
        ledger.now(begin())
        ledger.now(LedgerEvent.Finish(request, 40, answer))
        ledger.now(LedgerEvent.Tick)
        ledger.at(9.minutes, LedgerEvent.Tick)
        assertTrue(ledger.entryCount > 0)
        ledger.at(2.minutes, LedgerEvent.Tick)
        assertEquals(0, ledger.entryCount)
        assertEquals(40, ledger.spent(customer))
    }

    /** Guards against unbounded memory under load, and against evicting a running request. */
    @Test
    fun fullLedgerEvictsEndedRequestsOnly() {
        val ledger = alone(LedgerSettings(maxEntries = 2))
        val ids = (0..3).map { RequestId("r$it") }
        ledger.now(begin(id = ids[0]))
        ledger.now(LedgerEvent.Finish(ids[0], 1))
        ledger.now(LedgerEvent.Tick)
        ledger.now(begin(id = ids[1]))
        assertEquals(listOf(LedgerAction.Proceed(ids[2])), ledger.now(begin(id = ids[2])))
        assertEquals(
            listOf(LedgerAction.Reject(ids[3], ErrorKind.OVERLOADED)),
            ledger.now(begin(id = ids[3]))
        )
    }

    /** Guards against running a call without a durable record while the store is unreachable. */
    @Test
    fun nonIdempotentCallIsRefusedWithoutStore() {
        val actions = alone().now(begin(idempotent = false))
        assertEquals(
            listOf(LedgerAction.Reject(request, ErrorKind.STORE_UNAVAILABLE)),
            actions
        )
    }

    private fun recording(): Pair<RequestLedger, LedgerAction.WriteRunRecords> {
        val ledger = RequestLedger(self, domain)
        ledger.now(begin(idempotent = false))
        val write = ledger.at(20.milliseconds, LedgerEvent.Tick).single()
        return ledger to assertIs<LedgerAction.WriteRunRecords>(write)
    }

    /**
     * Guards against refusing a recorded call, or running it twice, when a store answer is lost.
     */
    @Test
    fun lostStoreAnswerIsReadBack() {
        val (ledger, write) = recording()
        val unknown = mapOf(request to RunWriteOutcome.Unknown)
        assertEquals(
            listOf(LedgerAction.ReadRunRecord(request)),
            ledger.now(LedgerEvent.RunRecordsWritten(write.number, unknown))
        )
        val found = RunRead.Found(write.writes.single().record, 7)
        assertEquals(
            listOf(LedgerAction.Proceed(request)),
            ledger.now(LedgerEvent.RunRecordRead(request, found))
        )
    }

    /** Guards against a second run when the record names another incarnation. */
    @Test
    fun recordOfAnotherIncarnationMeansOutcomeUnknown() {
        val (ledger, write) = recording()
        val conflict = mapOf(request to RunWriteOutcome.Conflict)
        ledger.now(LedgerEvent.RunRecordsWritten(write.number, conflict))
        val other = write.writes.single().record.copy(attempt = AttemptId(RouterId("a1-old"), 1))
        assertEquals(
            listOf(LedgerAction.Reject(request, ErrorKind.OUTCOME_UNKNOWN)),
            ledger.now(LedgerEvent.RunRecordRead(request, RunRead.Found(other, 7)))
        )
    }

    /**
     * Guards against a call that hangs on an unresponsive store, and a record that blocks retries.
     */
    @Test
    fun callIsRefusedAndMarkedNotRunWhenStoreStaysSilent() {
        val (ledger, _) = recording()
        val actions = ledger.at(1.minutes, LedgerEvent.Tick)
        assertTrue(LedgerAction.Reject(request, ErrorKind.STORE_UNAVAILABLE) in actions)
        val writes = actions + ledger.at(1.minutes, LedgerEvent.Tick)
        val mark = writes.filterIsInstance<LedgerAction.WriteRunRecords>().last().writes.single()
        assertEquals(RunState.NOT_RUN, mark.record.state)
    }

    private fun withPeer(): RequestLedger {
        val ledger = RequestLedger(self, domain)
        ledger.now(LedgerEvent.PeersChanged(listOf(Peer(peer, domain))))
        return ledger
    }

    private fun batches(actions: List<LedgerAction>) =
        actions.filterIsInstance<LedgerAction.SendToPeer>()
            .mapNotNull { it.message as? LedgerMessage.CopyBatch }

    private fun RequestLedger.acknowledge(batch: LedgerMessage.CopyBatch) = now(
        LedgerEvent.PeerReceived(peer, LedgerMessage.CopySeen(batch.epoch, batch.sequence))
    )

    private fun homedAt(home: RouterId): RequestId {
        val directory = Directory(self, domain)
        directory.update(listOf(Peer(peer, domain)))
        return (0..99).map { RequestId("r$it") }.first { directory.home(it) == home }
    }

    /**
     * Guards against a lost bill: a request starts, and its answer is released, only when copied.
     */
    @Test
    fun requestStartsAndEndsOnlyWhenCopied() {
        val ledger = withPeer()
        val id = homedAt(self)
        assertTrue(ledger.now(begin(id = id)).none { it is LedgerAction.Proceed })
        val open = batches(ledger.at(10.milliseconds, LedgerEvent.Tick)).last()
        assertEquals(100, open.items.single().held)
        assertEquals(listOf(LedgerAction.Proceed(id)), ledger.acknowledge(open))
        assertTrue(ledger.now(LedgerEvent.Finish(id, 40)).isEmpty())
        val done = batches(ledger.at(10.milliseconds, LedgerEvent.Tick)).last()
        assertEquals(mapOf(customer to 40L), done.spent)
        assertIs<LedgerAction.Release>(ledger.acknowledge(done).single())
    }

    /** Guards against a request that waits forever for a home that doesn't answer. */
    @Test
    fun silentHomeIsReplacedWithinFailureDomain() {
        val ledger = RequestLedger(self, domain)
        ledger.now(LedgerEvent.PeersChanged(listOf(Peer(far, FailureDomain("b")))))
        val directory = Directory(self, domain)
        directory.update(listOf(Peer(far, FailureDomain("b"))))
        val id = (0..99).map { RequestId("r$it") }.first { directory.home(it) == far }
        val claim = assertIs<LedgerAction.SendToPeer>(ledger.now(begin(id = id)).single())
        assertEquals(far, claim.to)
        assertTrue(
            LedgerAction.Proceed(id) in ledger.at(100.milliseconds, LedgerEvent.Tick)
        )
    }

    /** Guards against closing a dead router's slice with less than was spent or reserved. */
    @Test
    fun copiesShowSettledSpendAndOpenReservations() {
        val holder = RequestLedger(peer, domain)
        holder.now(LedgerEvent.StoreReachable(false))
        val open = AttemptReport(
            request,
            AttemptId(self, 1),
            customer,
            "d",
            AttemptState.OPEN,
            1
        )
        val batch = LedgerMessage.CopyBatch(
            1,
            1,
            listOf(CopyItem(open, 100, 100)),
            mapOf(customer to 40L)
        )
        holder.now(LedgerEvent.PeersChanged(listOf(Peer(self, domain))))
        holder.now(LedgerEvent.PeerReceived(self, batch))
        holder.now(LedgerEvent.RouterDied(self))
        val copies = assertNotNull(holder.copiesOf(self))
        assertTrue(copies.complete)
        assertEquals(mapOf(customer to 40L), copies.settled)
        assertEquals(mapOf(customer to 100L), copies.open)
        assertTrue(copies.provisional.single().provisional)
        holder.now(LedgerEvent.Tick)
        // The retry takes over the reservation; the unused part is credited to the budget.
        assertEquals(LedgerAction.Proceed(request, 100), holder.now(begin()).last())
        val actions = holder.now(LedgerEvent.Finish(request, 30, answer))
        val later = actions + holder.at(1.hours, LedgerEvent.Tick)
        assertTrue(LedgerAction.CreditBill(request, customer, 70) in later)
    }
}
