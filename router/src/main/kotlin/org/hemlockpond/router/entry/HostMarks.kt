/*
 * Keeps the spend marks of one host in the store. Only the host's router writes them. A new run
 * first reads the marks of earlier runs. An earlier run on the same address has ended, because the
 * new run has bound that address.
 */
package org.hemlockpond.router.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.Serializable
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.EraRevision
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.budget.SpendMark
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.RouterClock
import org.hemlockpond.router.decodeRecord
import org.hemlockpond.router.encodeRecord
import org.hemlockpond.router.log
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.KeyValueStore
import org.hemlockpond.store.ReadResult
import org.hemlockpond.store.StoredValue
import org.hemlockpond.store.WriteResult

/**
 * The spend mark of one run of the router.
 *
 * @property at when the mark was made, in milliseconds of the machine's monotonic clock
 * @property wall when the mark was made, in milliseconds of the wall clock
 * @property era the store's era that the run knew; a later mark of that era may have been lost since
 */
@Serializable
internal data class RunMark(val at: Long, val wall: Long, val mark: SpendMark, val era: Long = 0)

/**
 * The stored spend marks of one host.
 *
 * @property address the address on which its router listens for callers
 * @property boot the boot id of the machine; [RunMark.at] is comparable only within one boot
 */
@Serializable
internal data class StoredMarks(
    val address: String,
    val boot: String? = null,
    val runs: Map<RouterId, RunMark> = emptyMap()
)

/** The outcome of [HostMarks.write]. */
internal enum class MarkResult { APPLIED, UNKNOWN, TAKEN_OVER }

internal class HostMarks(
    private val self: RouterId,
    private val address: String,
    private val store: KeyValueStore,
    private val clock: RouterClock,
    private val machine: MachineClock
) {
    private val era: Long get() = store.era ?: 0
    private val key = PREFIX + self.value.substringBefore('/')
    private var revision: Long? = null

    /** Whether a mark of this run is known to have been stored. */
    private var ownMarkStored = false
    private var earlierRuns: Map<RouterId, RunMark> = emptyMap()

    /** Whether the marks of earlier runs have been read. */
    val isRead: Boolean get() = revision != null

    /** The earlier runs whose marks are known. */
    val markedRuns: Set<RouterId> get() = earlierRuns.keys

    /** Reads the marks of earlier runs; false if the store didn't answer. */
    suspend fun read(): Boolean {
        val read = store.read(key) as? ReadResult.Values ?: return false
        load(read.values.firstOrNull { it.key == key })
        return true
    }

    private fun load(value: StoredValue?) {
        earlierRuns = value?.let { decode(it) }?.let { boundEndedRuns(it) }.orEmpty()
        revision = value?.revision ?: EraRevision.of(era, 0)
    }

    /** The upper bound of the tokens used by an earlier run, by customer; null if unknown. */
    fun usedAtMost(run: RouterId): Map<CustomerId, Long>? =
        earlierRuns[run]?.mark?.use?.mapValues { it.value.used }

    /** Bounds the use of earlier runs, which have ended by now; the bounds don't grow any more. */
    private fun boundEndedRuns(marks: StoredMarks): Map<RouterId, RunMark> {
        if (marks.address != address) return emptyMap()
        val steady = machine.steadyMillis()
        val wall = machine.wallMillis()
        // The run may have passed a mark of an earlier era by a later one that the store has lost.
        val trusted = marks.runs.entries.filter { it.value.era == era }
        return trusted.takeLast(MAX_RUNS).associate { (run, mark) ->
            // A monotonic clock that is behind the mark shows a restart of the machine, too.
            val isComparable = marks.boot == machine.bootId && steady >= mark.at
            val elapsed = if (isComparable) {
                maxOf(steady - mark.at, wall - mark.wall).milliseconds
            } else {
                Duration.INFINITE
            }
            log(LogEvent.RUN_ENDED, "router" to run, "mark age" to elapsed)
            run to RunMark(steady, wall, mark.mark.ended(elapsed), era)
        }
    }

    /** Stores [mark], which was made at [at] of the router's clock. */
    suspend fun write(mark: SpendMark, at: Duration): MarkResult {
        val known = revision ?: return MarkResult.UNKNOWN
        val expected =
            if (EraRevision.era(known) ==
                era
            ) {
                known
            } else {
                revisionOfEra() ?: return MarkResult.UNKNOWN
            }
        val age = (clock.now().elapsed - at).inWholeMilliseconds + 1
        val own = RunMark(machine.steadyMillis() - age, machine.wallMillis() - age, mark, era)
        // What is known of the earlier runs holds in any era.
        val earlier = earlierRuns.mapValues { it.value.copy(era = era) }
        val next = StoredMarks(address, machine.bootId, earlier + (self to own))
        val text = encodeRecord(StoredMarks.serializer(), next)
        return when (val result = store.commit(listOf(ConditionalWrite(key, expected, text)))) {
            is WriteResult.Applied -> {
                revision = result.revision
                ownMarkStored = true
                MarkResult.APPLIED
            }

            is WriteResult.Conflict -> resolveConflict(result.current.firstOrNull())

            is WriteResult.NotSent, is WriteResult.Unknown -> MarkResult.UNKNOWN
        }
    }

    /** Reads the revision after the store has returned from an older copy, which may lack this run. */
    private suspend fun revisionOfEra(): Long? {
        val read = store.read(key) as? ReadResult.Values ?: return null
        ownMarkStored = false
        revision = read.values.firstOrNull { it.key == key }?.revision ?: EraRevision.of(era, 0)
        return revision
    }

    private fun resolveConflict(current: StoredValue?): MarkResult {
        // The last entry is that of the run which wrote the marks.
        val writer = current?.let { decode(it) }?.runs?.keys?.lastOrNull()
        when {
            // An earlier write of this run was applied, but its result didn't arrive.
            writer == self -> {
                ownMarkStored = true
                revision = current?.revision
            }

            ownMarkStored -> return MarkResult.TAKEN_OVER

            // A late write of the previous run was applied after this run's read.
            else -> load(current)
        }
        return MarkResult.UNKNOWN
    }

    private fun decode(value: StoredValue): StoredMarks? =
        decodeRecord(StoredMarks.serializer(), value.key, value.value)

    private companion object {
        const val PREFIX = "hemlockpond/marks/"

        /**
         * Earlier runs whose marks are kept, as their slices may not be closed yet; a store outage
         * can span several restarts.
         */
        const val MAX_RUNS = 4
    }
}
