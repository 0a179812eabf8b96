package org.hemlockpond.router.entry

import kotlin.time.Duration
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.KeyValueStore
import org.hemlockpond.store.LeaseId
import org.hemlockpond.store.LeaseResult
import org.hemlockpond.store.ReadResult
import org.hemlockpond.store.StoredValue
import org.hemlockpond.store.WriteResult

/**
 * An in-memory store. While [loseAnswers] is set, writes are applied but their result is unknown.
 */
internal class MemoryStore : KeyValueStore {
    val values = HashMap<String, StoredValue>()
    private var revision = 10L
    var loseAnswers = false

    /** Called before each write. */
    var beforeCommit: () -> Unit = {}
    var reads = 0
        private set

    /** Writes a value as another client of the store. */
    fun put(key: String, value: String) {
        revision++
        values[key] = StoredValue(key, value, revision)
    }

    override suspend fun read(key: String): ReadResult {
        reads++
        return ReadResult.Values(listOfNotNull(values[key]), revision)
    }

    override suspend fun readPrefix(prefix: String): ReadResult {
        reads++
        return ReadResult.Values(values.values.filter { it.key.startsWith(prefix) }, revision)
    }

    override suspend fun commit(writes: List<ConditionalWrite>): WriteResult {
        beforeCommit()
        val current = writes.associateWith { values[it.key] }
        if (current.any { (write, value) -> (value?.revision ?: 0) != write.expectedRevision }) {
            return WriteResult.Conflict(current.values.filterNotNull())
        }
        revision++
        for (write in writes) {
            values[write.key] = StoredValue(write.key, write.value!!, revision)
        }
        return if (loseAnswers) WriteResult.Unknown("lost") else WriteResult.Applied(revision)
    }

    override suspend fun grantLease(ttl: Duration): LeaseResult = error("no leases")

    override suspend fun keepAlive(lease: LeaseId): LeaseResult = error("no leases")

    override fun watch(prefix: String, fromRevision: Long): Flow<List<Nothing>> = emptyFlow()

    override fun close() = Unit
}
