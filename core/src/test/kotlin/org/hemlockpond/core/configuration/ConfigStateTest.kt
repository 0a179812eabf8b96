package org.hemlockpond.core.configuration

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import net.jqwik.api.ForAll
import net.jqwik.api.Property

class ConfigStateTest {
    private fun fleet(revision: Long, domain: String) =
        ConfigEntry("hemlockpond/config/fleet", """{"domains":["$domain"]}""", revision)

    private fun contract(revision: Long, value: String?) =
        ConfigEntry("hemlockpond/config/contracts/a", value, revision)

    private val valid = """{"customer":"a","keyDigests":[],"routes":[]}"""

    /** Guards against a delayed older revision that reverts a configuration in force. */
    @Test
    fun olderRevisionIsNeverApplied() {
        val state = ConfigState()
        state.apply(listOf(fleet(7, "new")))
        assertFalse(state.apply(listOf(fleet(5, "old"))).applied)
        assertEquals("new", state.config?.domains?.single()?.value)
    }

    /** Guards against a deleted contract that a late put restores. */
    @Test
    fun deletionOutlivesAnOlderPut() {
        val state = ConfigState()
        state.apply(listOf(fleet(1, "d"), contract(3, null)))
        state.apply(listOf(contract(2, valid)))
        assertEquals(emptyList(), state.config?.contracts)
    }

    /** Guards against a missed deletion: a gap in the watch drops its event. */
    @Test
    fun snapshotRemovesKeysThatAreGone() {
        val state = ConfigState()
        state.apply(listOf(fleet(1, "d"), contract(2, valid)))
        state.applySnapshot(listOf(fleet(1, "d")), readRevision = 9)
        assertEquals(emptyList(), state.config?.contracts)
        state.apply(listOf(contract(2, valid)))
        assertEquals(emptyList(), state.config?.contracts)
    }

    /** Guards against an undecodable entry that removes the customer's limits. */
    @Test
    fun undecodableEntryLeavesTheLastGoodValue() {
        val state = ConfigState()
        state.apply(listOf(fleet(1, "d"), contract(2, valid)))
        val change = state.apply(listOf(contract(3, "{")))
        assertEquals(listOf("hemlockpond/config/contracts/a"), change.invalid)
        assertEquals("a", state.config?.contracts?.single()?.customer?.value)
    }

    /** Guards against routers whose configurations differ after the same entries. */
    @Property(tries = 300, seed = "4711")
    fun orderAndRepetitionDoNotMatter(@ForAll seed: Int, @ForAll repeats: Boolean) {
        val random = kotlin.random.Random(seed)
        val entries = (1L..8L).map {
            when (random.nextInt(3)) {
                0 -> fleet(it, "d$it")
                1 -> contract(it, valid)
                else -> contract(it, null)
            }
        }
        val inOrder = ConfigState().also { state -> entries.forEach { state.apply(listOf(it)) } }
        val mixed = (if (repeats) entries + entries else entries).shuffled(random)
        val other = ConfigState().also { state -> mixed.forEach { state.apply(listOf(it)) } }
        assertEquals(inOrder.config, other.config)
        assertEquals(inOrder.revision, other.revision)
    }
}
