package org.hemlockpond.standins

import java.net.InetSocketAddress
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.runBlocking
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.EtcdStore
import org.hemlockpond.store.LeaseId
import org.hemlockpond.store.LeaseResult
import org.hemlockpond.store.ReadResult
import org.hemlockpond.store.WriteResult

class EtcdStoreTest {
    private val store = StoreStandIn(0)
    private val client =
        EtcdStore(listOf(InetSocketAddress("127.0.0.1", store.port)), timeout = 2.seconds)

    @AfterTest
    fun close() {
        client.close()
        store.close()
    }

    /** Guards against a lost update when two writers race on one key. */
    @Test
    fun secondWriterAtOneRevisionGetsConflictWithCurrentValue() = runBlocking {
        val first = client.commit(listOf(ConditionalWrite("a", 0, "1")))
        assertIs<WriteResult.Applied>(first)
        val second = client.commit(listOf(ConditionalWrite("a", 0, "2")))
        assertEquals(listOf("1"), assertIs<WriteResult.Conflict>(second).current.map { it.value })
    }

    /** Guards against one conflict failing the other writes of a group. */
    @Test
    fun groupedWritesHaveOneOutcomeEach() = runBlocking {
        client.commit(listOf(ConditionalWrite("g/a", 0, "1")))
        val results =
            client.commitEach(
                listOf(ConditionalWrite("g/a", 0, "2"), ConditionalWrite("g/b", 0, "3"))
            )
        assertIs<WriteResult.Conflict>(results[0])
        assertIs<WriteResult.Applied>(results[1])
        val values = assertIs<ReadResult.Values>(client.readPrefix("g/")).values
        assertEquals(listOf("1", "3"), values.map { it.value })
    }

    /** Guards against treating a write as failed that took effect although its answer was lost. */
    @Test
    fun lostAnswerIsUnknownAndTheValueIsThere() = runBlocking {
        setFaults("""{"loseAnswers":1}""")
        assertIs<WriteResult.Unknown>(client.commit(listOf(ConditionalWrite("a", 0, "1"))))
        val read = assertIs<ReadResult.Values>(client.read("a"))
        assertEquals("1", read.values.single().value)
    }

    /** Guards against a watch that misses a change between the read and the start of the watch. */
    @Test
    fun watchDeliversChangesSinceItsStartRevision() = runBlocking {
        client.commit(listOf(ConditionalWrite("c/a", 0, "1")))
        val revision = assertIs<ReadResult.Values>(client.readPrefix("c/")).revision
        client.commit(listOf(ConditionalWrite("c/b", 0, "2")))
        val changes = client.watch("c/", revision + 1).first { it.isNotEmpty() }
        assertEquals(listOf("c/b" to "2"), changes.map { it.key to it.value })
    }

    /** Guards against renewing a lease that the store no longer knows. */
    @Test
    fun unknownLeaseIsLapsed() = runBlocking {
        val lease = assertIs<LeaseResult.Held>(client.grantLease(5.seconds))
        assertIs<LeaseResult.Held>(client.keepAlive(lease.id))
        assertEquals(
            LeaseResult.Lapsed,
            client.keepAlive(LeaseId("999"))
        )
    }

    private fun setFaults(json: String) {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:${store.port}/faults"))
            .POST(HttpRequest.BodyPublishers.ofString(json))
            .build()
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding())
    }
}
