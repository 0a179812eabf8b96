/*
 * Writes this host's crash records, one transaction at a time. A partition looks like crashes of many
 * endpoints: what is reported while a call is on its way, or in the pause after several, goes into the next one,
 * and retries are those of one writer, however many records wait.
 */
package org.hemlockpond.router.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.hemlockpond.router.encodeRecord
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.KeyValueStore
import org.hemlockpond.store.LeaseId
import org.hemlockpond.store.WriteResult

/**
 * @param lease returns the lease of the records; null if the store didn't grant one
 * @param leaseEnded the lease may have ended
 * @param written a record is in the store under the key
 */
internal class CrashWriter(
    private val store: KeyValueStore,
    private val parts: PartSupervisor,
    retryDelay: Duration,
    private val now: () -> Duration,
    private val lease: suspend () -> LeaseId?,
    private val leaseEnded: () -> Unit,
    private val written: (key: String, record: StoredCrashRecord) -> Unit
) {
    /** @property replaces whether a stored record is bound to the new lease */
    private class Waiting(
        val record: StoredCrashRecord,
        val end: Duration,
        val replaces: Boolean,
        var expectedRevision: Long = 0
    )

    private val waiting = LinkedHashMap<String, Waiting>()
    private val retry = StoreRetry(retryDelay)
    private var isRunning = false

    /** The transactions that may follow each other without a pause; one more comes with each [PAUSE]. */
    private var allowance = MAX_BURST
    private var refilledAt = Duration.ZERO

    /**
     * Writes [record] until the store has it, or until [end], when it no longer counts.
     *
     * @param replaces whether a record that is stored under [key] is written again
     */
    fun write(key: String, record: StoredCrashRecord, end: Duration, replaces: Boolean = false) {
        waiting[key] = Waiting(record, end, replaces)
        if (isRunning) return
        isRunning = true
        parts.keepUntilDone("crash records") { caughtUp ->
            caughtUp()
            while (waiting.isNotEmpty()) {
                writeNext()
                waiting.values.removeIf { it.end <= now() }
            }
            isRunning = false
        }
    }

    private suspend fun writeNext() {
        val batch = LinkedHashMap<String, Waiting>()
        for ((key, next) in waiting.entries.take(MAX_RECORDS)) batch[key] = next
        val result = lease()?.let { id -> store.commit(batch.map { write(it.key, it.value, id) }) }
        when (result) {
            is WriteResult.Applied -> stored(batch)

            // Only this router writes the keys, so those that exist show an earlier attempt's success,
            // unless they are replaced.
            is WriteResult.Conflict -> {
                val known = result.current.associate { it.key to it.revision }
                stored(batch.filter { it.key in known && !it.value.replaces })
                for ((key, next) in batch) next.expectedRevision = known[key] ?: 0
                if (known.isEmpty()) delay(retry.next())
                return
            }

            is WriteResult.NotSent -> {
                leaseEnded()
                // The revision may be of an earlier era of the store.
                batch.values.forEach { it.expectedRevision = 0 }
            }

            is WriteResult.Unknown, null -> Unit
        }
        if (result is WriteResult.Applied) {
            retry.answered()
            delay(pause())
        } else {
            delay(retry.next())
        }
    }

    /** The other hosts need each crash at once, except where many come together. */
    private fun pause(): Duration {
        val refilled = allowance + (now() - refilledAt) / PAUSE
        refilledAt = now()
        allowance = (refilled - 1).coerceIn(0.0, MAX_BURST)
        return if (refilled >= 1) Duration.ZERO else PAUSE
    }

    private fun write(key: String, next: Waiting, lease: LeaseId) = ConditionalWrite(
        key,
        next.expectedRevision,
        encodeRecord(StoredCrashRecord.serializer(), next.record),
        lease
    )

    private fun stored(batch: Map<String, Waiting>) {
        for ((key, next) in batch) {
            waiting -= key
            written(key, next.record)
        }
    }

    private companion object {
        /** The store accepts 32 entries in a transaction; a record may have many suspects. */
        const val MAX_RECORDS = 16

        /** The mean time between two transactions of one host in a partition. */
        val PAUSE = 250.milliseconds

        /** More than the crashes and clearances of one content that crashes its endpoints. */
        const val MAX_BURST = 8.0
    }
}
