package org.hemlockpond.router.entry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.router.encodeRecord
import org.hemlockpond.store.StoredValue

class SkippedEntriesTest {
    private val skipped = SkippedEntries()

    /** Guards against a list that takes memory without bound. */
    @Test
    fun listKeepsNoMoreThanItsBounds() {
        val kept = skipped.KeptEntries("k/")
        val admitted = (1..2 * SkippedEntries.MAX_ENTRIES).count { kept.admits("k/$it", 1, 10) }
        assertEquals(SkippedEntries.MAX_ENTRIES, admitted)
        assertEquals(SkippedEntries.MAX_ENTRIES.toLong(), skipped.count)
        val large = skipped.KeptEntries("k/")
        val size = (SkippedEntries.MAX_CHARS - 10).toInt()
        assertTrue(large.admits("k/a", 1, size))
        assertFalse(large.admits("k/b", 1, 11))
        assertTrue(large.admits("k/c", 1, 10))
    }

    /** Guards against unreadable entries that hide good ones. */
    @Test
    fun unreadableEntryIsCountedAndTheNextOneIsRead() {
        val host = StoredHost(FailureDomain("a"), "127.0.0.1", 1, 2)
        val type = StoredHost.serializer()
        assertNull(skipped.decode(type, StoredValue("k/a", "\uFFFD", 1)))
        assertNotNull(skipped.decode(type, StoredValue("k/b", encodeRecord(type, host), 1)))
        assertEquals(1, skipped.count)
    }
}
