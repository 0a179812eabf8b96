/*
 * Connects the budget component to the store. Writes that are requested together are batched into
 * one transaction. Recently read records are served from a cache: a conditional write against an
 * outdated revision fails harmlessly and returns the current record.
 */
package org.hemlockpond.router.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.EraRevision
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.budget.BudgetAction
import org.hemlockpond.core.budget.BudgetEvent
import org.hemlockpond.core.budget.BudgetHolder
import org.hemlockpond.core.budget.BudgetRecord
import org.hemlockpond.core.budget.BudgetSettings
import org.hemlockpond.core.budget.BudgetState
import org.hemlockpond.core.budget.WriteOutcome
import org.hemlockpond.core.entry.EntryConfig
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.RouterClock
import org.hemlockpond.router.decodeRecord
import org.hemlockpond.router.encodeRecord
import org.hemlockpond.router.log
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.KeyValueStore
import org.hemlockpond.store.ReadResult
import org.hemlockpond.store.ScanResult
import org.hemlockpond.store.StoredValue
import org.hemlockpond.store.WriteResult

/** Receives the decisions of [EntryBudgets]; all calls are on the event loop. */
internal interface BudgetListener {
    fun reserved(request: RequestId)

    fun refused(request: RequestId, kind: ErrorKind)

    /** Another run of this host's router has taken over. */
    fun fenced()

    /** All unspent tokens have been returned to the store. */
    fun drained()
}

/**
 * @param self the id of this run of the router: the host name, a slash and a run id
 * @param marks the spend marks of this host, which bound the use of earlier runs that ended without
 *   returning their slices
 */
internal class EntryBudgets(
    private val self: RouterId,
    domain: FailureDomain,
    settings: BudgetSettings,
    private val store: KeyValueStore,
    private val parts: PartSupervisor,
    private val clock: RouterClock,
    private val marks: HostMarks,
    private val listener: BudgetListener
) {
    /**
     * @property requestedAt when the read or write that returned the record was started
     * @property answeredAt when its answer was handled
     */
    private class CachedRecord(
        val revision: Long,
        val record: BudgetRecord,
        val requestedAt: Duration,
        val answeredAt: Duration
    )

    /** A stored record; null if it can't be read. */
    private class StoredRecord(val revision: Long, val record: BudgetRecord?)

    private val holder = BudgetHolder(self, domain, settings)
    private val cachedRecords = HashMap<CustomerId, CachedRecord>()
    private val pendingWrites = ArrayList<BudgetAction.WriteRecord>()
    private var writeScheduled = false
    private val pendingReads = ArrayList<BudgetAction.ReadRecord>()
    private var readScheduled = false

    /** Whether the store answered the last call. */
    var isStoreReachable = true
        private set
    private var prepaidTokens: Map<CustomerId, Long> = emptyMap()
    private val reportedRuns = HashSet<RouterId>()
    private var era: Long? = null
    private val absentRevision: Long get() = EraRevision.of(store.era ?: 0, 0)

    /** The number of store calls since the start. */
    var storeCalls = 0L
        private set

    /**
     * Starts the budget component and reads the marks of earlier runs. No store lease protects the
     * slices, so the lease always counts as renewed; only the next run on this host closes them.
     */
    fun start() {
        handle(BudgetEvent.LeaseRenewed(clock.now()))
        parts.keepUntilDone("marks of earlier runs") {
            storeCalls++
            val retry = StoreRetry(MARKS_RETRY_DELAY)
            while (!marks.read()) {
                delay(retry.next())
                storeCalls++
            }
            // Their slices are closed even if their customers' requests now come to other hosts.
            marks.markedRuns.forEach { reportEarlierRun(it) }
            cachedRecords.values.toList().forEach { reportEarlierRuns(it.record) }
        }
    }

    fun configChanged(config: EntryConfig) {
        prepaidTokens =
            config.customers.mapNotNull { c -> c.prepaidTokens?.let { c.id to it } }.toMap()
    }

    /** Reads the budget of [customer] and takes a slice before its first request. */
    fun expect(customer: CustomerId) = handle(BudgetEvent.Expect(customer))

    /** Whether [customer] has a prepaid budget, so that its requests need tokens. */
    fun isPrepaid(customer: CustomerId): Boolean = customer in prepaidTokens

    /** The current budget state of [customer]. */
    fun state(customer: CustomerId): BudgetState = holder.state(customer)

    /** @param sliceOnly whether only the present slice may cover the request */
    fun reserve(
        request: RequestId,
        customer: CustomerId,
        tokens: Long,
        sliceOnly: Boolean = false
    ) = handle(BudgetEvent.Reserve(request, customer, tokens, sliceOnly))

    /** Other routers whose slices have at least [tokens] of [customer] left, the largest first. */
    fun holdersWith(customer: CustomerId, tokens: Long): List<RouterId> =
        holder.holdersWith(customer, tokens)

    fun settle(request: RequestId, used: Long) = handle(BudgetEvent.Settle(request, used))

    fun storeReachabilityChanged(next: Boolean) {
        if (next == isStoreReachable) return
        isStoreReachable = next
        handle(BudgetEvent.StoreReachable(next))
    }

    fun tick() {
        handle(BudgetEvent.LeaseRenewed(clock.now()))
        handle(BudgetEvent.Tick)
    }

    fun drain() = handle(BudgetEvent.Drain)

    /** Tells the budget holder of the store's era before anything else that was read in it. */
    private fun checkEra() {
        val next = store.era ?: return
        if (next == era) return
        era = next
        cachedRecords.clear()
        handle(BudgetEvent.StoreEra(next))
    }

    private fun handle(event: BudgetEvent) {
        checkEra()
        for (action in holder.handle(event, clock.now())) {
            when (action) {
                is BudgetAction.Reserved -> listener.reserved(action.request)

                is BudgetAction.Refused -> listener.refused(action.request, action.kind)

                is BudgetAction.ReadRecord -> readRecord(action)

                is BudgetAction.WriteRecord -> writeRecord(action)

                is BudgetAction.WriteMark -> parts.runOnce(
                    "spend marks",
                    failed = { handle(BudgetEvent.MarkWritten(action.sequence, false)) }
                ) { writeMark(action) }

                // Entry routers have no peers: they share tokens only through the budget record.
                is BudgetAction.SendToPeer -> Unit

                BudgetAction.Fenced -> listener.fenced()

                BudgetAction.Drained -> listener.drained()
            }
        }
    }

    /** Queues a read; reads that are requested together are batched. */
    private fun readRecord(action: BudgetAction.ReadRecord) {
        pendingReads += action
        if (readScheduled) return
        readScheduled = true
        // The budget holder requests reads that weren't answered again.
        parts.runOnce("budget reads") {
            readScheduled = false
            val batch = pendingReads.toList()
            pendingReads.clear()
            val (reused, asked) = batch.partition {
                cachedRecords[it.customer]?.let(::isReusable)
                    ?: false
            }
            for (read in reused) {
                cachedRecords.getValue(read.customer).let {
                    reportRecord(read, it)
                }
            }
            if (asked.isNotEmpty()) fetch(asked)
        }
    }

    /**
     * Whether a cached record can replace a read: it has just been answered, or it is older but has so
     * many unassigned tokens that the only risk is a write conflict. On a slow host a record is old when
     * its answer is handled, but another read would be so, too.
     */
    private fun isReusable(cached: CachedRecord): Boolean {
        val now = clock.now().elapsed
        val plenty = cached.record.available > cached.record.paid / PLENTY_FRACTION
        return now - cached.answeredAt < FRESH_AGE ||
            (plenty && now - cached.requestedAt < MAX_REUSE_AGE)
    }

    private suspend fun fetch(asked: List<BudgetAction.ReadRecord>) {
        storeCalls++
        val all = asked.size > 1 && asked.size * PREFIX_READ_FRACTION >= prepaidTokens.size
        val part = if (all) asked else asked.take(1)
        val keys = part.mapTo(HashSet()) { BudgetRecord.key(it.customer) }
        val stored = HashMap<String, StoredRecord>()
        val isAnswered = readRecords(all, keys.first()) {
            if (it.key in keys) stored[it.key] = StoredRecord(it.revision, decode(it))
        }
        storeReachabilityChanged(isAnswered)
        if (!isAnswered) return
        for (action in part) {
            val value = stored[BudgetRecord.key(action.customer)]
            val record = if (value == null) BudgetRecord() else value.record ?: continue
            enterPayments(action, value?.revision ?: absentRevision, record)
        }
        if (!all && asked.size > 1) fetch(asked.drop(1))
    }

    /** Passes on all records, or that of [key]; returns whether the store answered. */
    private suspend fun readRecords(
        all: Boolean,
        key: String,
        found: (StoredValue) -> Unit
    ): Boolean {
        if (all) return store.scanPrefix(BudgetRecord.PREFIX, found) is ScanResult.Complete
        val read = store.read(key) as? ReadResult.Values ?: return false
        read.values.forEach(found)
        return true
    }

    /** Adds payments that the record doesn't contain yet, then reports the record. */
    private suspend fun enterPayments(
        action: BudgetAction.ReadRecord,
        revision: Long,
        record: BudgetRecord
    ) {
        val customer = action.customer
        val total = prepaidTokens[customer] ?: 0
        val missing = total - record.paid
        if (missing <= 0) {
            reportFetched(action, revision, record)
            return
        }
        // The id contains the total, so concurrent hosts enter the same payment only once.
        val entered =
            record.enterEra(EraRevision.era(revision), EraRevision.stored(revision))
        // Holders may still restore what a copy of the store lacks.
        val mayLack = EraRevision.stored(revision) > 0 && entered.era != record.era
        val next = entered.withPayment("total-$total", missing)
            .copy(isRestoring = record.isRestoring || mayLack)
        storeCalls++
        when (val result = store.commit(listOf(conditionalWrite(customer, revision, next)))) {
            is WriteResult.Applied -> {
                log(LogEvent.PAYMENT_ENTERED, "customer" to customer, "tokens" to missing)
                reportFetched(action, result.revision, next)
            }

            is WriteResult.Conflict -> {
                val current = result.current.firstOrNull() ?: return
                enterPayments(action, current.revision, decode(current) ?: return)
            }

            // The budget holder requests the read again.
            is WriteResult.NotSent, is WriteResult.Unknown -> Unit
        }
    }

    private fun reportFetched(
        action: BudgetAction.ReadRecord,
        revision: Long,
        record: BudgetRecord
    ) {
        val next = CachedRecord(revision, record, action.askedAt, clock.now().elapsed)
        cache(action.customer, next)
        reportRecord(action, next)
    }

    /** Caches a record unless a newer revision is cached; answers can arrive out of order. */
    private fun cache(customer: CustomerId, next: CachedRecord) {
        val last = cachedRecords[customer]
        if (last == null || last.revision <= next.revision) cachedRecords[customer] = next
    }

    private fun reportRecord(action: BudgetAction.ReadRecord, cached: CachedRecord) {
        reportEarlierRuns(cached.record)
        handle(
            BudgetEvent.RecordRead(
                action.customer,
                action.askedAt,
                cached.revision,
                cached.record,
                asOf = minOf(action.askedAt, cached.requestedAt)
            )
        )
    }

    private suspend fun writeMark(action: BudgetAction.WriteMark) {
        storeCalls++
        val result = marks.write(action.mark, action.at)
        if (result == MarkResult.TAKEN_OVER) listener.fenced()
        handle(BudgetEvent.MarkWritten(action.sequence, result == MarkResult.APPLIED))
    }

    /** Reports the earlier runs of this host that still have slices; they ended before this one. */
    private fun reportEarlierRuns(record: BudgetRecord) {
        if (!marks.isRead) return
        val host = self.value.substringBefore('/') + "/"
        for (router in record.slices.keys) {
            if (router != self && router.value.startsWith(host)) reportEarlierRun(router)
        }
    }

    private fun reportEarlierRun(router: RouterId) {
        if (!reportedRuns.add(router)) return
        val used = marks.usedAtMost(router)
        handle(
            if (used == null) {
                BudgetEvent.RouterDied(router, copies = null)
            } else {
                BudgetEvent.RunEnded(router, used)
            }
        )
    }

    private fun writeRecord(action: BudgetAction.WriteRecord) {
        pendingWrites += action
        if (writeScheduled) return
        writeScheduled = true
        var batch = emptyList<BudgetAction.WriteRecord>()
        parts.runOnce("budget writes", failed = { writesFailed(batch) }) {
            writeScheduled = false
            batch = pendingWrites.take(MAX_BATCHED_WRITES)
            pendingWrites.subList(0, batch.size).clear()
            commit(batch)
        }
    }

    /** Outcomes that were reported before are ignored by their sequence numbers. */
    private fun writesFailed(batch: List<BudgetAction.WriteRecord>) {
        for (action in batch) {
            cachedRecords -= action.customer
            val unknown = WriteOutcome.Unknown
            handle(BudgetEvent.RecordWritten(action.customer, action.sequence, unknown))
        }
    }

    /** Writes [batch] in one transaction; a conflict of some records doesn't hold up the others. */
    private suspend fun commit(batch: List<BudgetAction.WriteRecord>) {
        storeCalls++
        val now = clock.now().elapsed
        val result =
            store.commit(
                batch.map {
                    conditionalWrite(it.customer, it.expectedRevision, it.record)
                }
            )
        val rest = if (result is WriteResult.Conflict) {
            result.current.forEach { cacheStored(it, now) }
            withoutConflict(batch, result.current)
        } else {
            emptyList()
        }
        for (action in batch - rest.toSet()) {
            val outcome = when (result) {
                is WriteResult.Applied -> {
                    if (action.record.isRestoring) logRestored(action)
                    cache(action.customer, CachedRecord(result.revision, action.record, now, now))
                    WriteOutcome.Applied(result.revision)
                }

                is WriteResult.Conflict -> WriteOutcome.Conflict

                is WriteResult.NotSent, is WriteResult.Unknown -> {
                    cachedRecords -= action.customer
                    WriteOutcome.Unknown
                }
            }
            handle(BudgetEvent.RecordWritten(action.customer, action.sequence, outcome))
        }
        if (rest.isNotEmpty()) commit(rest)
    }

    private fun logRestored(action: BudgetAction.WriteRecord) = log(
        LogEvent.BUDGET_RESTORED,
        "customer" to action.customer,
        "era" to action.record.era,
        "slices" to action.record.slices.size,
        "granted" to action.record.slices.values.sumOf { it.granted },
        "charged" to action.record.closedSpent
    )

    private fun cacheStored(stored: StoredValue, requestedAt: Duration) {
        val record = decode(stored) ?: return
        val customer = CustomerId(stored.key.removePrefix(BudgetRecord.PREFIX))
        cache(customer, CachedRecord(stored.revision, record, requestedAt, clock.now().elapsed))
    }

    /** Returns the writes that [current] doesn't contradict; none if it contradicts none of them. */
    private fun withoutConflict(
        batch: List<BudgetAction.WriteRecord>,
        current: List<StoredValue>
    ): List<BudgetAction.WriteRecord> {
        val revisions = current.associate { it.key to it.revision }
        val rest = batch.filter {
            it.expectedRevision == (revisions[BudgetRecord.key(it.customer)] ?: absentRevision)
        }
        return if (rest.size < batch.size) rest else emptyList()
    }

    private fun conditionalWrite(customer: CustomerId, revision: Long, record: BudgetRecord) =
        ConditionalWrite(
            BudgetRecord.key(customer),
            revision,
            encodeRecord(BudgetRecord.serializer(), record)
        )

    private fun decode(stored: StoredValue): BudgetRecord? =
        decodeRecord(BudgetRecord.serializer(), stored.key, stored.value)

    private companion object {
        /** The maximum number of records in one transaction; the store accepts 32 entries. */
        const val MAX_BATCHED_WRITES = 16

        /** All records are read with one call if at least one in this many is needed. */
        const val PREFIX_READ_FRACTION = 8

        /** A record has plenty of tokens if more than one in this many paid ones is unassigned. */
        const val PLENTY_FRACTION = 5

        /** The age up to which any record is reused; covers the write that follows a conflict. */
        val FRESH_AGE = 50.milliseconds

        /** The age up to which a record with plenty of tokens is reused. */
        val MAX_REUSE_AGE = 2.seconds

        /** The first delay before the marks are read again if the store didn't answer. */
        val MARKS_RETRY_DELAY = 200.milliseconds
    }
}
