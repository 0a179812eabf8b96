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

    /** Applies a complete read of the records. */
    fun applyAll(values: List<StoredValue>) {
        crashes.apply(
            values.filter { it.key.startsWith(CrashRecords.PREFIX) }
                .map { StoreChange(it.key, it.value, it.revision) }
        )
        limits.applyAll(values.filter { it.key.startsWith(LimitRecords.PREFIX) })
        isRead = true
    }

    fun apply(changes: List<StoreChange>) {
        crashes.apply(changes.filter { it.key.startsWith(CrashRecords.PREFIX) })
        limits.apply(changes.filter { it.key.startsWith(LimitRecords.PREFIX) })
    }

    companion object {
        const val PREFIX = "hemlockpond/shared/"
    }
}
