/*
 * Notices that the store has returned from an older copy of itself, so that this host writes its shared
 * records again. Budgets and spend marks follow the era themselves, with each of their calls.
 */
package org.hemlockpond.router.entry

import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.log
import org.hemlockpond.store.KeyValueStore

/** @param returned is called on the event loop once for each return that is noticed */
internal class StoreEraWatch(private val store: KeyValueStore, private val returned: () -> Unit) {
    private var era: Long? = null

    /** The number of returns since the start. */
    var returns = 0L
        private set

    /** Compares the store's era with the last one. */
    fun check() {
        val next = store.era ?: return
        val last = era
        era = next
        if (last == null || last == next) return
        returns++
        log(LogEvent.STORE_RETURNED, "era" to next, "before" to last)
        returned()
    }
}
