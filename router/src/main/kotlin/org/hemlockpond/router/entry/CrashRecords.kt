/*
 * Shares crashes of endpoints, and the suspects that turned out to be sound, between the hosts through
 * the store. Records are bound to a lease, so that the store drops them when they no longer count.
 * Hosts apply them in the order of their revisions.
 */
package org.hemlockpond.router.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.entry.CrashEvidence
import org.hemlockpond.core.entry.CrashReport
import org.hemlockpond.core.entry.EndpointProcess
import org.hemlockpond.core.entry.ServiceId
import org.hemlockpond.core.entry.Suspect
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.RouterClock
import org.hemlockpond.router.log
import org.hemlockpond.store.KeyValueStore
import org.hemlockpond.store.LeaseId
import org.hemlockpond.store.LeaseResult
import org.hemlockpond.store.StoredValue

/** A process of an endpoint, with its start in Unix milliseconds. */
@Serializable
internal data class StoredProcess(val endpoint: EndpointId, val started: Long) {
    fun toProcess() = EndpointProcess(endpoint, started)

    companion object {
        fun of(process: EndpointProcess) = StoredProcess(process.endpoint, process.startedMillis)
    }
}

/** Suspects by kind. */
@Serializable
internal data class StoredSuspects(
    val parts: Set<String> = emptySet(),
    val contents: Set<Long> = emptySet()
) {
    fun toSuspects(): List<Suspect> =
        parts.map { Suspect.Part(it) } + contents.map { Suspect.Content(it) }

    companion object {
        fun of(suspects: Collection<Suspect>) = StoredSuspects(
            suspects.filterIsInstance<Suspect.Part>().mapTo(LinkedHashSet()) { it.id },
            suspects.filterIsInstance<Suspect.Content>().mapTo(LinkedHashSet()) { it.digest }
        )
    }
}

/**
 * A record of one host: suspects of a crash, or suspects that an endpoint began to answer.
 *
 * @property endpoint the endpoint that crashed; null if the suspects are [cleared]
 * @property started the start of the crashed process in Unix milliseconds
 * @property earlier crashes after which an answer had begun before this one
 */
@Serializable
internal data class StoredCrashRecord(
    val service: ServiceId,
    val endpoint: EndpointId? = null,
    val started: Long = 0,
    val answering: StoredSuspects = StoredSuspects(),
    val unanswered: StoredSuspects = StoredSuspects(),
    val cleared: StoredSuspects = StoredSuspects(),
    val earlier: Set<StoredProcess> = emptySet()
) {
    fun toReport(): CrashReport? = endpoint?.let { id ->
        CrashReport(
            service,
            EndpointProcess(id, started),
            unanswered.toSuspects().associateWith { CrashEvidence.UNANSWERED } +
                answering.toSuspects().associateWith { CrashEvidence.ANSWERING },
            earlier.mapTo(LinkedHashSet()) { it.toProcess() }
        )
    }
}

/** A record of another host that was stored under [key] at [revision]. */
internal class ReceivedCrash(val key: String, val record: StoredCrashRecord, val revision: Long)

/** Receives the records of other hosts. */
internal interface CrashListener {
    fun crashReported(report: CrashReport)

    fun suspectsCleared(service: ServiceId, suspects: List<Suspect>)
}

internal class CrashRecords(
    self: RouterId,
    private val store: KeyValueStore,
    private val settings: EntryRouterSettings,
    private val parts: PartSupervisor,
    private val clock: RouterClock,
    private val listener: CrashListener
) : CrashReporter {
    private data class CrashOf(val service: ServiceId, val crashed: EndpointProcess)

    private val pendingCrashes = HashMap<CrashOf, HashMap<Suspect, CrashEvidence>>()
    private val pendingClearances = HashMap<ServiceId, LinkedHashSet<Suspect>>()
    private val router = self.value.replace('/', '.')
    private var lastNumber = 0
    private var appliedRevision = 0L

    /** The keys of applied records, the oldest first; after a return of the store they come again. */
    private val appliedKeys = LinkedHashSet<String>()

    /** Own records that were stored, by key, with the time until which they count. */
    private val written = LinkedHashMap<String, Pair<StoredCrashRecord, Duration>>()
    private var lease: LeaseId? = null
    private var leaseGrantedAt = -Duration.INFINITE
    private val writer = CrashWriter(
        store,
        parts,
        settings.storeRetryDelay,
        ::now,
        lease = ::currentLease,
        leaseEnded = { lease = null },
        written = ::recordWritten
    )

    /** Writes a crash after a short delay, together with the suspects of this host's other requests. */
    override fun reportCrash(report: CrashReport) {
        val of = CrashOf(report.service, report.crashed)
        val known = pendingCrashes[of]
        if (known != null) {
            report.suspects.forEach { (suspect, evidence) ->
                known.merge(suspect, evidence, ::maxOf)
            }
            return
        }
        pendingCrashes[of] = HashMap(report.suspects)
        parts.runOnce("crash records") {
            delay(CRASH_DELAY)
            val all = pendingCrashes.remove(of).orEmpty()
            write(
                StoredCrashRecord(
                    report.service,
                    report.crashed.endpoint,
                    report.crashed.startedMillis,
                    StoredSuspects.of(all.filterValues { it == CrashEvidence.ANSWERING }.keys),
                    StoredSuspects.of(all.filterValues { it == CrashEvidence.UNANSWERED }.keys),
                    earlier = report.earlier.mapTo(LinkedHashSet()) { StoredProcess.of(it) }
                )
            )
        }
    }

    /** Writes that suspects are sound after a delay, in which most crashes have been reported. */
    override fun reportCleared(service: ServiceId, suspects: Collection<Suspect>) {
        val known = pendingClearances[service]
        if (known != null) {
            known += suspects
            return
        }
        pendingClearances[service] = LinkedHashSet(suspects)
        parts.runOnce("crash records") {
            delay(CLEARANCE_DELAY)
            val all = pendingClearances.remove(service).orEmpty()
            write(StoredCrashRecord(service, cleared = StoredSuspects.of(all)))
        }
    }

    private fun write(record: StoredCrashRecord) {
        val key = "$PREFIX$router/${++lastNumber}"
        val end = now() + settings.entry.crashes.retention
        written.values.removeIf { it.second <= now() }
        written[key] = record to end
        writer.write(key, record, end)
    }

    /**
     * The store has returned from an older copy, which may lack this host's records and their leases;
     * those that still count are written again.
     */
    fun storeReturned() {
        lease = null
        for ((key, value) in written) {
            val (record, end) = value
            if (end > now()) writer.write(key, record, end, replaces = true)
        }
    }

    private fun recordWritten(key: String, record: StoredCrashRecord) = log(
        LogEvent.CRASH_RECORDED,
        "key" to key,
        "endpoint" to record.endpoint,
        "answering" to record.answering.toSuspects(),
        "unanswered" to record.unanswered.toSuspects(),
        "cleared" to record.cleared.toSuspects(),
        "earlier" to record.earlier.map { it.endpoint }
    )

    /** Returns a lease that lasts long enough; null if the store didn't grant one. */
    private suspend fun currentLease(): LeaseId? {
        lease?.let { if (now() - leaseGrantedAt < LEASE_REUSE) return it }
        val sentAt = now()
        val result = store.grantLease(LEASE_TTL) as? LeaseResult.Held ?: return null
        lease = result.id
        leaseGrantedAt = sentAt
        return result.id
    }

    private fun now() = clock.now().elapsed

    /** Whether [entry] is a record of another host that hasn't been applied. */
    fun isNew(entry: StoredValue): Boolean =
        entry.revision > appliedRevision && entry.key !in appliedKeys &&
            !entry.key.startsWith("$PREFIX$router/")

    fun decode(entry: StoredValue, skipped: SkippedEntries): ReceivedCrash? =
        skipped.decode(StoredCrashRecord.serializer(), entry)
            ?.let { ReceivedCrash(entry.key, it, entry.revision) }

    /** Applies new records of other hosts. */
    fun apply(crashes: List<ReceivedCrash>) {
        for (crash in crashes.sortedBy { it.revision }) {
            if (crash.revision <= appliedRevision) continue
            val before = appliedRevision
            appliedRevision = crash.revision
            try {
                apply(crash.record)
                appliedKeys += crash.key
                if (appliedKeys.size > MAX_APPLIED_KEYS) appliedKeys -= appliedKeys.first()
            } catch (e: Error) {
                // The records are read again after an error.
                appliedRevision = before
                throw e
            }
        }
    }

    private fun apply(record: StoredCrashRecord) {
        record.toReport()?.let { listener.crashReported(it) }
        val cleared = record.cleared.toSuspects()
        if (cleared.isNotEmpty()) listener.suspectsCleared(record.service, cleared)
    }

    companion object {
        const val PREFIX = "hemlockpond/shared/suspects/"

        /** The requests to a crashed endpoint fail within a few milliseconds of each other. */
        private val CRASH_DELAY = 10.milliseconds
        private val CLEARANCE_DELAY = 100.milliseconds

        /** Bounds the memory; records last for minutes. */
        private const val MAX_APPLIED_KEYS = 4_096

        /** The longest lease that the platform's store grants. */
        private val LEASE_TTL = 10.minutes
        private val LEASE_REUSE = 2.minutes
    }
}
