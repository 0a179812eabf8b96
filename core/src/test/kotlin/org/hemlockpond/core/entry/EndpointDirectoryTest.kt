package org.hemlockpond.core.entry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.EndpointId

class EndpointDirectoryTest {
    private val directory = EndpointDirectory()
    private val bed = DispatcherTestBed()
    private val e1 = bed.endpoint("e1")
    private val e2 = bed.endpoint("e2")

    private fun names() = directory.endpoints.map { it.id.value }

    /** Guards against sending requests to an endpoint whose entry was removed. */
    @Test
    fun endpointIsDroppedWhenItsEntryIsRemoved() {
        directory.replaceAll(listOf(e1, e2), 1.seconds)
        directory.remove(e1.id, 2.seconds)
        assertEquals(listOf("e2"), names())
    }

    /** Guards against sending requests to an endpoint that is leaving. */
    @Test
    fun leavingEndpointIsDroppedAndAddedAgainWhenReady() {
        directory.replaceAll(listOf(e1), 1.seconds)
        directory.update(e1.copy(leaving = true))
        assertEquals(emptyList(), names())
        directory.update(e1)
        assertEquals(listOf("e1"), names())
    }

    /**
     * Guards against dropping live endpoints whose entries expired during an outage of the store.
     */
    @Test
    fun entriesExpiredInAnOutageHaveAGracePeriod() {
        directory.replaceAll(listOf(e1, e2), 1.seconds)
        directory.storeLost()
        directory.storeReturned(10.seconds)
        directory.replaceAll(emptyList(), 10.seconds)
        assertEquals(listOf("e1", "e2"), names())
        directory.update(e1)
        directory.tick(10.seconds + EndpointDirectory.RENEWAL_GRACE_PERIOD)
        assertEquals(listOf("e1"), names())
    }

    /** Guards against dropping live endpoints after an outage that only another host noticed. */
    @Test
    fun gracePeriodOfAnotherHostCounts() {
        directory.replaceAll(listOf(e1, e2), 1.seconds)
        directory.extendGrace(2.seconds, 10.seconds)
        directory.replaceAll(listOf(e2), 11.seconds)
        assertEquals(listOf("e1", "e2"), names())
        directory.extendGrace(0.seconds, 11.seconds)
        directory.tick(11_900.milliseconds)
        assertEquals(listOf("e1", "e2"), names())
        directory.tick(12.seconds)
        assertEquals(listOf("e2"), names())
    }

    /** Guards against a message that keeps endpoints that are gone for ever. */
    @Test
    fun gracePeriodOfAnotherHostIsBounded() {
        directory.replaceAll(listOf(e1), 1.seconds)
        directory.extendGrace(1_000.seconds, 10.seconds)
        assertEquals(EndpointDirectory.RENEWAL_GRACE_PERIOD, directory.graceLeft(10.seconds))
    }

    /** Guards against keeping the state of an endpoint that was restarted under the same id. */
    @Test
    fun restartedEndpointIsRemovedAndAdded() {
        directory.replaceAll(listOf(e1), 1.seconds)
        val changes = directory.update(e1.copy(startedMillis = 2))
        assertIs<DirectoryChange.Removed>(changes[0])
        assertIs<DirectoryChange.Added>(changes[1])
    }

    /**
     * Guards against using an endpoint whose entry another writer has overwritten with invalid
     * text.
     */
    @Test
    fun unreadableEntryDropsItsEndpoint() {
        directory.replaceAll(listOf(e1), 1.seconds)
        directory.removeUnreadable(EndpointId("e1"))
        assertEquals(emptyList(), names())
    }
}
