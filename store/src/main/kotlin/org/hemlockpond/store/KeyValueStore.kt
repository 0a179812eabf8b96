/*
 * What the product needs of a metadata store. [EtcdStore] speaks the product's own protocol; a
 * deployment with another store brings an implementation of its own.
 */
package org.hemlockpond.store

import kotlin.time.Duration
import kotlinx.coroutines.flow.Flow

/** A linearizable key-value store. All functions may be called from any coroutine. */
interface KeyValueStore : AutoCloseable {
    /**
     * The latest era of the store that an answer has named; null if none has. A store that returns from
     * an older copy of itself begins a new era: what was written since the copy is lost, and its own
     * revisions are used again. The revisions of this interface carry their era
     * ([org.hemlockpond.core.EraRevision]) and always increase. A write that expects a revision of an
     * earlier era isn't sent, and one during which the era changes is [WriteResult.Unknown]. Revision 0
     * stands for a key that is absent in any era.
     */
    val era: Long? get() = null

    /** Reads one key. */
    suspend fun read(key: String): ReadResult

    /**
     * Reads one key at the lowest cost; the value may be seconds old. Shows that the store answers.
     */
    suspend fun readStale(key: String): ReadResult = read(key)

    /** Reads all keys that start with [prefix]. */
    suspend fun readPrefix(prefix: String): ReadResult

    /**
     * Reads all keys that start with [prefix] and passes each to [entry]. A store that answers in
     * pages holds one page at a time.
     */
    suspend fun scanPrefix(prefix: String, entry: (StoredValue) -> Unit): ScanResult =
        when (val read = readPrefix(prefix)) {
            is ReadResult.Values -> {
                read.values.forEach(entry)
                ScanResult.Complete(read.revision)
            }

            is ReadResult.Unavailable -> ScanResult.Unavailable(read.cause)
        }

    /** Applies all [writes] or none of them. */
    suspend fun commit(writes: List<ConditionalWrite>): WriteResult

    /** Grants a new lease of [ttl]. */
    suspend fun grantLease(ttl: Duration): LeaseResult

    /** Renews a lease. */
    suspend fun keepAlive(lease: LeaseId): LeaseResult

    /**
     * Watches all keys that start with [prefix] from [fromRevision] on. An empty list shows that
     * the watch still stands. The flow ends when the connection does or the history is gone; the
     * caller then reads the prefix again and opens a new watch.
     */
    fun watch(prefix: String, fromRevision: Long): Flow<List<StoreChange>>
}
