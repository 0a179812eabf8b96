/*
 * The store as commands see it: blocking calls that try each address, and writes whose outcome is
 * known when they return.
 */
package org.hemlockpond.cli

import java.net.InetSocketAddress
import kotlinx.coroutines.runBlocking
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.EtcdStore
import org.hemlockpond.store.ReadResult
import org.hemlockpond.store.StoredValue
import org.hemlockpond.store.WriteResult

/** The store's calls; each is one attempt. */
internal interface Store : AutoCloseable {
    /** The attempts that reach every address at least once. */
    val attempts: Int

    fun read(key: String): ReadResult

    fun readPrefix(prefix: String): ReadResult

    fun commit(writes: List<ConditionalWrite>): WriteResult
}

internal class PlatformStore(addresses: List<InetSocketAddress>) : Store {
    private val client = EtcdStore(addresses)

    override val attempts = addresses.size + 1

    override fun read(key: String) = runBlocking { client.read(key) }

    override fun readPrefix(prefix: String) = runBlocking { client.readPrefix(prefix) }

    override fun commit(writes: List<ConditionalWrite>) = runBlocking { client.commit(writes) }

    override fun close() = client.close()
}

/** The value of [key], or null if it is absent. Ends the command if the store can't be reached. */
internal fun Store.get(key: String): StoredValue? =
    repeatRead { read(key) }.firstOrNull { it.key == key }

/** All values whose keys start with [prefix], by key. */
internal fun Store.list(prefix: String): Map<String, StoredValue> =
    repeatRead { readPrefix(prefix) }.associateBy { it.key }

private fun Store.repeatRead(read: () -> ReadResult): List<StoredValue> {
    var cause = ""
    repeat(attempts) {
        when (val result = read()) {
            is ReadResult.Values -> return result.values
            is ReadResult.Unavailable -> cause = result.cause
        }
    }
    fail(ExitCode.UNREACHABLE, unreachable(cause))
}

internal fun unreachable(cause: String) = "the store can't be reached: $cause"

internal sealed interface Commit {
    data class Applied(val revision: Long) : Commit

    /** Nothing was written; [keys] are at other revisions than expected. */
    data class Conflict(val keys: List<String>) : Commit

    /** Nothing was written, because the store can't be reached. */
    data class NotSent(val cause: String) : Commit

    /** The writes may have been applied or not. */
    data class Unresolved(val cause: String) : Commit
}

/**
 * Sends [writes] in one transaction. After a lost answer the keys are read back, and the same
 * writes are sent again if they aren't found: their expected revisions make the repetition harmless,
 * even if the first transaction takes effect late.
 */
internal fun Store.commitResolved(writes: List<ConditionalWrite>): Commit {
    var cause = ""
    var uncertain = false
    repeat(maxOf(attempts, MIN_COMMIT_ATTEMPTS)) {
        when (val result = commit(writes)) {
            is WriteResult.Applied -> return Commit.Applied(result.revision)

            is WriteResult.NotSent -> cause = result.cause

            is WriteResult.Unknown -> {
                cause = result.cause
                uncertain = true
                foundRevision(writes)?.let { return Commit.Applied(it) }
            }

            is WriteResult.Conflict -> {
                if (uncertain) foundRevision(writes)?.let { return Commit.Applied(it) }
                val current = result.current.associate { it.key to it.revision }
                val others = writes.filter { (current[it.key] ?: 0) != it.expectedRevision }
                return Commit.Conflict(others.map { it.key })
            }
        }
    }
    return if (uncertain) Commit.Unresolved(cause) else Commit.NotSent(cause)
}

/** The revision of [writes] if the store holds all of their values, or null. */
private fun Store.foundRevision(writes: List<ConditionalWrite>): Long? {
    var revision = 0L
    for (write in writes) {
        val result = read(write.key) as? ReadResult.Values ?: return null
        val stored = result.values.firstOrNull { it.key == write.key }
        if (stored?.value != write.value) return null
        revision = maxOf(revision, stored?.revision ?: result.revision)
    }
    return revision
}

private const val MIN_COMMIT_ATTEMPTS = 4
