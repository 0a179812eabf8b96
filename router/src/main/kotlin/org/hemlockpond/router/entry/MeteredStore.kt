/*
 * Counts the calls of an entry router to the store by purpose and outcome. The purpose is the first
 * part of the key, or the first two of the product's own keys; a transaction counts for its first key.
 */
package org.hemlockpond.router.entry

import kotlin.time.Duration
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.onEach
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.KeyValueStore
import org.hemlockpond.store.LeaseId
import org.hemlockpond.store.LeaseResult
import org.hemlockpond.store.ReadResult
import org.hemlockpond.store.ScanResult
import org.hemlockpond.store.StoreChange
import org.hemlockpond.store.StoredValue
import org.hemlockpond.store.WriteResult

/** How a call to the store ended. */
internal enum class StoreOutcome(val label: String) {
    APPLIED("applied"),
    CONFLICT("conflict"),
    UNANSWERED("unanswered")
}

/** @param count is called once for each call, with its purpose and outcome */
internal class MeteredStore(
    private val store: KeyValueStore,
    private val count: (purpose: String, outcome: StoreOutcome) -> Unit
) : KeyValueStore by store {
    override suspend fun read(key: String): ReadResult =
        store.read(key).also { count(purpose(key), outcome(it)) }

    override suspend fun readStale(key: String): ReadResult =
        store.readStale(key).also { count(purpose(key) + STALE_SUFFIX, outcome(it)) }

    override suspend fun readPrefix(prefix: String): ReadResult =
        store.readPrefix(prefix).also { count(purpose(prefix), outcome(it)) }

    override suspend fun scanPrefix(prefix: String, entry: (StoredValue) -> Unit): ScanResult =
        store.scanPrefix(prefix, entry).also { count(purpose(prefix), outcome(it)) }

    override suspend fun commit(writes: List<ConditionalWrite>): WriteResult =
        store.commit(writes).also { count(purpose(writes.first().key), outcome(it)) }

    override suspend fun grantLease(ttl: Duration): LeaseResult =
        store.grantLease(ttl).also { count(LEASES, outcome(it)) }

    override suspend fun keepAlive(lease: LeaseId): LeaseResult =
        store.keepAlive(lease).also { count(LEASES, outcome(it)) }

    /** Counts the answers of the watch; its unanswered calls end the flow and aren't counted. */
    override fun watch(prefix: String, fromRevision: Long): Flow<List<StoreChange>> =
        store.watch(prefix, fromRevision)
            .onEach { count(purpose(prefix) + WATCH_SUFFIX, StoreOutcome.APPLIED) }

    private fun purpose(key: String): String {
        val parts = key.split('/')
        return parts.take(if (parts.first() == PRODUCT) 2 else 1).joinToString("/")
    }

    private fun outcome(read: ReadResult) = when (read) {
        is ReadResult.Values -> StoreOutcome.APPLIED
        is ReadResult.Unavailable -> StoreOutcome.UNANSWERED
    }

    private fun outcome(scan: ScanResult) = when (scan) {
        is ScanResult.Complete -> StoreOutcome.APPLIED
        is ScanResult.Unavailable -> StoreOutcome.UNANSWERED
    }

    private fun outcome(write: WriteResult) = when (write) {
        is WriteResult.Applied -> StoreOutcome.APPLIED
        is WriteResult.Conflict -> StoreOutcome.CONFLICT
        is WriteResult.NotSent, is WriteResult.Unknown -> StoreOutcome.UNANSWERED
    }

    private fun outcome(lease: LeaseResult) = when (lease) {
        is LeaseResult.Held, LeaseResult.Lapsed -> StoreOutcome.APPLIED
        is LeaseResult.Unavailable -> StoreOutcome.UNANSWERED
    }

    private companion object {
        const val PRODUCT = "hemlockpond"
        const val LEASES = "leases"
        const val WATCH_SUFFIX = " watch"
        const val STALE_SUFFIX = " stale"
    }
}
