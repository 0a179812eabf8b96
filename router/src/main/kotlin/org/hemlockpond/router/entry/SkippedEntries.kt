/*
 * Entries of the store that this host doesn't use: those that can't be decoded, and those over the
 * bounds of a list. Other entries hold.
 */
package org.hemlockpond.router.entry

import kotlinx.serialization.KSerializer
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.decodeRecord
import org.hemlockpond.router.log
import org.hemlockpond.store.StoredValue

internal class SkippedEntries {
    private val loggedKeys = HashSet<String>()

    /** How often an entry was skipped; each read counts. */
    var count = 0L
        private set

    /**
     * Counts an entry and logs it once, because lists are read again after every outage.
     *
     * @param once entries with the same value are logged once
     */
    fun skip(event: LogEvent, key: String, revision: Long, reason: String?, once: String = key) {
        count++
        if (loggedKeys.size >= MAX_LOGGED_KEYS || !loggedKeys.add(once)) return
        log(event, "key" to key, "revision" to revision, "reason" to reason)
    }

    /** The entry of [key] can be read, so that a later fault is logged again. */
    fun readable(key: String) {
        loggedKeys -= key
    }

    /** The record in [entry]; null if it can't be read. */
    fun <T> decode(type: KSerializer<T>, entry: StoredValue): T? = decodeRecord(type, entry.value) {
        skip(LogEvent.RECORD_INVALID, entry.key, entry.revision, it)
    }?.also { readable(entry.key) }

    /** What one read of [prefix] keeps. */
    inner class KeptEntries(private val prefix: String) {
        private var entries = 0
        private var chars = 0L

        /** Whether an entry with [size] characters can be kept. */
        fun admits(key: String, revision: Long, size: Int): Boolean {
            if (entries >= MAX_ENTRIES || chars + size > MAX_CHARS) {
                skip(LogEvent.STORE_LIST_FULL, key, revision, reason = null, once = prefix)
                return false
            }
            entries++
            chars += size
            return true
        }
    }

    companion object {
        /** The entries of one list that are kept; twice the endpoints of the largest fleet. */
        const val MAX_ENTRIES = 20_000

        /** The characters of one list's entries that are kept, an eighth of the heap in bytes. */
        const val MAX_CHARS = 16L * 1024 * 1024

        /** Limits the memory used to remember logged entries. */
        private const val MAX_LOGGED_KEYS = 1_000
    }
}
