package org.hemlockpond.router.peer

import io.ktor.utils.io.ByteChannel
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlinx.coroutines.async
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.test.runTest
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.membership.Member

class HandshakeTest {
    private val a = Member(RouterId("a/1"), FailureDomain("d"), "127.0.0.1:1")
    private val b = Member(RouterId("b/1"), FailureDomain("d"), "127.0.0.1:2")
    private val secret = ByteArray(32) { 1 }

    private suspend fun sessions(other: ByteArray): Pair<Result<Session>, Result<Session>> =
        supervisorScope {
            val toB = ByteChannel(autoFlush = true)
            val toA = ByteChannel(autoFlush = true)
            val dialed = async {
                runCatching { Handshake(a, secret).dial(toA, toB) }
                    .also { if (it.isFailure) toB.cancel(it.exceptionOrNull()) }
            }
            val accepted = async { runCatching { Handshake(b, other).accept(toB, toA) } }
            dialed.await() to accepted.await()
        }

    /** Guards against peers that disagree on who the other is or on the key. */
    @Test
    fun bothSidesLearnThePeerAndTheKey() = runTest {
        val (dialed, accepted) = sessions(secret)
        assertEquals(b, dialed.getOrThrow().peer)
        assertEquals(a, accepted.getOrThrow().peer)
        assertContentEquals(dialed.getOrThrow().key, accepted.getOrThrow().key)
    }

    /** Guards against a stranger that is taken for a router. */
    @Test
    fun wrongSecretFailsOnBothSides() = runTest {
        val (dialed, accepted) = sessions(ByteArray(32) { 2 })
        assertFailsWith<PeerProtocolException> { dialed.getOrThrow() }
        assertFailsWith<Exception> { accepted.getOrThrow() }
    }

    /** Guards against a recorded frame that is sent again or in another order. */
    @Test
    fun repeatedFrameIsRefused() = runTest {
        val recorded = ByteChannel(autoFlush = true)
        FrameWriter(secret, recorded).write("loan".toByteArray())
        val frame = recorded.readFrame(1_000)
        val channel = ByteChannel(autoFlush = true)
        channel.writeFrame(frame)
        channel.writeFrame(frame)
        val reader = FrameReader(secret, channel)
        assertEquals("loan", String(reader.read()))
        assertFailsWith<PeerProtocolException> { reader.read() }
    }
}
