/*
 * Carries out the store calls that the decision components ask for and reports their results to the
 * control thread.
 */
package org.hemlockpond.router.store

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.budget.BudgetAction
import org.hemlockpond.core.budget.BudgetEvent
import org.hemlockpond.core.budget.BudgetRecord
import org.hemlockpond.core.budget.WriteOutcome
import org.hemlockpond.core.ledger.LedgerAction
import org.hemlockpond.core.ledger.LedgerEvent
import org.hemlockpond.core.ledger.RunRead
import org.hemlockpond.core.ledger.RunRecord
import org.hemlockpond.core.ledger.RunWrite
import org.hemlockpond.core.ledger.RunWriteOutcome
import org.hemlockpond.core.moves.MoveAction
import org.hemlockpond.core.moves.MoveEvent
import org.hemlockpond.core.moves.MoveRecord
import org.hemlockpond.router.Decisions
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.RouterClock
import org.hemlockpond.router.decodeRecord
import org.hemlockpond.router.log
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.EtcdStore
import org.hemlockpond.store.LeaseId
import org.hemlockpond.store.LeaseResult
import org.hemlockpond.store.ReadResult
import org.hemlockpond.store.WriteResult

/**
 * The spend that a router committed while it had no copy peer, under `hemlockpond/spend/{router}`.
 *
 * @property epoch copies of an earlier epoch are out of date
 * @property spent cumulative net tokens by customer
 */
@Serializable
internal data class SpendRecord(val epoch: Long, val spent: Map<CustomerId, Long>)

/**
 * @param post runs code on the control thread
 * @param reachable told on the control thread when calls begin to fail or to succeed again
 */
internal class StoreWorker(
    private val self: RouterId,
    private val client: EtcdStore,
    private val scope: CoroutineScope,
    private val clock: RouterClock,
    private val decisions: Decisions,
    private val post: (() -> Unit) -> Unit,
    private val reachable: (Boolean) -> Unit
) {
    private val failures = AtomicInteger()
    private val callCount = AtomicLong()
    private var spend = SpendRecord(0, emptyMap())
    private var spendRevision = 0L

    @Volatile
    private var runLease: LeaseId? = null

    @Volatile
    private var runLeaseSince = Duration.ZERO

    /** Store calls since the start. */
    val calls: Long get() = callCount.get()

    fun readBudget(action: BudgetAction.ReadRecord) = scope.launch {
        val read = client.read(BudgetRecord.key(action.customer))
        seen(read !is ReadResult.Unavailable)
        val values = (read as? ReadResult.Values)?.values ?: return@launch
        val stored = values.firstOrNull()
        val record = stored?.let { decodeRecord(BudgetRecord.serializer(), it.key, it.value) }
        if (stored != null && record == null) return@launch
        val event = BudgetEvent.RecordRead(
            action.customer,
            action.askedAt,
            stored?.revision ?: 0,
            record ?: BudgetRecord()
        )
        post { decisions.budget(event) }
    }

    fun writeBudget(action: BudgetAction.WriteRecord) = scope.launch {
        val value = json.encodeToString(BudgetRecord.serializer(), action.record)
        val write =
            ConditionalWrite(BudgetRecord.key(action.customer), action.expectedRevision, value)
        val result = client.commit(listOf(write))
        seen(result.answered)
        val outcome = when (result) {
            is WriteResult.Applied -> WriteOutcome.Applied(result.revision)
            is WriteResult.Conflict -> WriteOutcome.Conflict
            is WriteResult.NotSent, is WriteResult.Unknown -> WriteOutcome.Unknown
        }
        val event = BudgetEvent.RecordWritten(action.customer, action.sequence, outcome)
        post { decisions.budget(event) }
    }

    fun writeRuns(action: LedgerAction.WriteRunRecords) = scope.launch {
        val lease = runLease()
        val results = if (lease == null) {
            action.writes.map { WriteResult.NotSent("no lease for run records") }
        } else {
            client.commitEach(action.writes.map { runWrite(it, lease) })
        }
        seen(results.all { it.answered })
        val outcomes = action.writes.zip(results).associate { (write, result) ->
            write.request to when (result) {
                is WriteResult.Applied -> RunWriteOutcome.Applied(result.revision)
                is WriteResult.Conflict -> RunWriteOutcome.Conflict
                is WriteResult.NotSent, is WriteResult.Unknown -> RunWriteOutcome.Unknown
            }
        }
        post { decisions.ledger(LedgerEvent.RunRecordsWritten(action.number, outcomes)) }
    }

    private fun runWrite(write: RunWrite, lease: LeaseId): ConditionalWrite {
        val value = json.encodeToString(RunRecord.serializer(), write.record)
        return ConditionalWrite(runKey(write.request), write.expectedRevision, value, lease)
    }

    /** Run records end with a lease; without one they would fill the store. */
    private suspend fun runLease(): LeaseId? {
        val now = clock.now().elapsed
        val known = runLease
        if (known != null && now - runLeaseSince < RUN_LEASE_USE) return known
        val granted = client.grantLease(RUN_LEASE) as? LeaseResult.Held ?: return known
        runLease = granted.id
        runLeaseSince = now
        return granted.id
    }

    fun readRun(action: LedgerAction.ReadRunRecord) = scope.launch {
        val read = client.read(runKey(action.request))
        seen(read !is ReadResult.Unavailable)
        val result = when (read) {
            is ReadResult.Unavailable -> RunRead.Failed

            is ReadResult.Values -> {
                val stored = read.values.firstOrNull()
                val record = stored?.let { decodeRecord(RunRecord.serializer(), it.key, it.value) }
                when {
                    stored == null -> RunRead.Absent
                    record == null -> RunRead.Failed
                    else -> RunRead.Found(record, stored.revision)
                }
            }
        }
        post { decisions.ledger(LedgerEvent.RunRecordRead(action.request, result)) }
    }

    fun readMove(action: MoveAction.ReadRecord) = scope.launch {
        val read = client.read(MoveRecord.key(action.route))
        seen(read !is ReadResult.Unavailable)
        val values = (read as? ReadResult.Values)?.values ?: return@launch
        moveRead(action.route, values.firstOrNull()?.value, values.firstOrNull()?.revision ?: 0)
    }

    /** A move record from a read or a watch. */
    fun moveRead(route: RouteId, value: String?, revision: Long) {
        val record = value?.let { decodeRecord(MoveRecord.serializer(), MoveRecord.key(route), it) }
        if (value != null && record == null) return
        post { decisions.moves(MoveEvent.RecordRead(route, record, revision)) }
    }

    fun writeMove(action: MoveAction.WriteRecord) = scope.launch {
        val value = json.encodeToString(MoveRecord.serializer(), action.record)
        val write = ConditionalWrite(MoveRecord.key(action.route), action.expectedRevision, value)
        val result = client.commit(listOf(write))
        seen(result.answered)
        val event = when (result) {
            is WriteResult.Applied -> MoveEvent.RecordWritten(
                action.route,
                org.hemlockpond.core.moves.WriteOutcome.APPLIED,
                result.revision
            )

            is WriteResult.Conflict -> MoveEvent.RecordWritten(
                action.route,
                org.hemlockpond.core.moves.WriteOutcome.CONFLICT
            )

            is WriteResult.NotSent, is WriteResult.Unknown -> MoveEvent.RecordWritten(
                action.route,
                org.hemlockpond.core.moves.WriteOutcome.UNKNOWN
            )
        }
        post { decisions.moves(event) }
    }

    /** Writes the spend that no copy peer holds. The ledger sends one of these at a time. */
    fun commitSpend(action: LedgerAction.CommitSpend) = scope.launch {
        val merged = SpendRecord(action.epoch, spend.spent + action.spent)
        val value = json.encodeToString(SpendRecord.serializer(), merged)
        var result = client.commit(listOf(ConditionalWrite(spendKey(self), spendRevision, value)))
        if (result is WriteResult.Conflict) {
            // An earlier write took effect although its answer was lost.
            spendRevision = result.current.firstOrNull()?.revision ?: 0
            result = client.commit(listOf(ConditionalWrite(spendKey(self), spendRevision, value)))
        }
        seen(result.answered)
        if (result is WriteResult.Applied) {
            spend = merged
            spendRevision = result.revision
        }
        val committed = result is WriteResult.Applied
        post { decisions.ledger(LedgerEvent.SpendCommitted(action.number, committed)) }
    }

    /**
     * Passes [done], on the control thread, the epoch of the last spend that a dead router
     * committed by itself; 0 if there is none. Tries until the store answers: the slices can't be
     * closed before that anyway.
     */
    fun readSpendEpoch(router: RouterId, done: (Long) -> Unit) = scope.launch {
        var read = client.read(spendKey(router))
        while (read !is ReadResult.Values) {
            delay(RETRY)
            read = client.read(spendKey(router))
        }
        val stored = read.values.firstOrNull()
        val record = stored?.let { decodeRecord(SpendRecord.serializer(), it.key, it.value) }
        val epoch = if (stored == null) 0 else record?.epoch ?: Long.MAX_VALUE
        post { done(epoch) }
    }

    /** Notes whether a store call was answered; other users of the store report here too. */
    fun seen(answered: Boolean) {
        callCount.incrementAndGet()
        val before = failures.get()
        val after = if (answered) 0 else before + 1
        failures.set(after)
        if (before < FAILURES_UNREACHABLE && after >= FAILURES_UNREACHABLE) {
            log(LogEvent.STORE_UNREACHABLE)
            post { reachable(false) }
        } else if (before >= FAILURES_UNREACHABLE && after == 0) {
            log(LogEvent.STORE_REACHABLE)
            post { reachable(true) }
        }
    }

    private val WriteResult.answered: Boolean
        get() = this is WriteResult.Applied || this is WriteResult.Conflict

    companion object {
        /** One lost answer is common; two in a row are an outage. */
        private const val FAILURES_UNREACHABLE = 2

        private val json = Json { encodeDefaults = true }

        private val RETRY = 1.seconds

        /** A retry after this time may run the call again; docs/administration.md says so. */
        private val RUN_LEASE = 8.days

        /** One lease serves the records of a day, so each record lasts 7 days at least. */
        private val RUN_LEASE_USE = 1.days

        fun runKey(request: RequestId): String = "hemlockpond/runs/$request"

        fun spendKey(router: RouterId): String = "hemlockpond/spend/$router"
    }
}
