/*
 * The records that hosts write for each other: crashes of endpoints and claims of endpoint limits. They
 * have one prefix, so that each host needs a single watch for them.
 */
package org.hemlockpond.router.entry

import org.hemlockpond.store.StoreChange
import org.hemlockpond.store.StoredValue

internal class SharedRecords(private val crashes: CrashRecords, private val limits: LimitRecords) {
    /** Whether the records that were there at the start of this router have been read. */
    var isRead = false
        private set

    /** Begins a complete read of the records; those that can't be read are [skipped]. */
    fun startRead(skipped: SkippedEntries) = Read(skipped)

    inner class Read(private val skipped: SkippedEntries) {
        private val newCrashes = ArrayList<ReceivedCrash>()
        private val claims = HashMap<String, LimitClaim>()

        /**
         * Keeps what is used of [entry] if it can be read and [admits] its size; returns whether it
         * does.
         */
        fun entryRead(entry: StoredValue, admits: (size: Int) -> Boolean): Boolean = when {
            entry.key.startsWith(CrashRecords.PREFIX) && !crashes.isNew(entry) ->
                admits(entry.key.length)

            entry.key.startsWith(CrashRecords.PREFIX) ->
                crashes.decode(entry, skipped)
                    ?.takeIf { admits(entry.value.length) }
                    ?.also { newCrashes += it } != null

            entry.key.startsWith(LimitRecords.PREFIX) ->
                limits.decode(entry, skipped)
                    ?.takeIf { admits(entry.value.length) }
                    ?.also { claims[entry.key] = it } != null

            else -> false
        }

        fun completed() {
            crashes.apply(newCrashes)
            limits.applyAll(claims)
            isRead = true
        }
    }

    /** Applies [changes]; returns the keys of those that can't be read. */
    fun apply(changes: List<StoreChange>, skipped: SkippedEntries): Set<String> {
        val unreadable = HashSet<String>()
        val newCrashes = ArrayList<ReceivedCrash>()
        for (change in changes) {
            val entry = change.value?.let { StoredValue(change.key, it, change.revision) }
            if (change.key.startsWith(LimitRecords.PREFIX)) {
                val claim = entry?.let { limits.decode(it, skipped) }
                limits.claimChanged(change.key, claim)
                if (claim == null) unreadable += change.key
            } else if (change.key.startsWith(CrashRecords.PREFIX)) {
                if (entry == null || !crashes.isNew(entry)) continue
                val crash = crashes.decode(entry, skipped)
                if (crash == null) unreadable += change.key else newCrashes += crash
            }
        }
        crashes.apply(newCrashes)
        return unreadable
    }

    companion object {
        const val PREFIX = "hemlockpond/shared/"
    }
}
