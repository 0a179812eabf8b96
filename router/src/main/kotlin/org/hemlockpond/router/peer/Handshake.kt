/*
 * Both sides of a new connection prove that they know the shared secret, bound to both nonces and
 * both identities, before any message is read.
 */
package org.hemlockpond.router.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import java.security.MessageDigest
import java.security.SecureRandom
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.hemlockpond.core.membership.Member

/** An authenticated peer and the key of the frames that the dialing side sends. */
internal class Session(val peer: Member, val key: ByteArray)

@OptIn(ExperimentalSerializationApi::class)
internal class Handshake(private val self: Member, private val secret: ByteArray) {
    private val random = SecureRandom()

    suspend fun dial(input: ByteReadChannel, output: ByteWriteChannel): Session {
        val hello = Hello(self, nonce())
        output.writeFrame(PeerCbor.encodeToByteArray(Hello.serializer(), hello))
        val welcome = decode(Welcome.serializer(), input.readFrame(MAX_HANDSHAKE_BYTES))
        val expected = proof("accept", hello, welcome.member, welcome.nonce)
        require(welcome.proof, expected)
        val own = proof("dial", hello, welcome.member, welcome.nonce)
        output.writeFrame(PeerCbor.encodeToByteArray(Proof.serializer(), Proof(own)))
        return Session(welcome.member, proof("key", hello, welcome.member, welcome.nonce))
    }

    suspend fun accept(input: ByteReadChannel, output: ByteWriteChannel): Session {
        val hello = decode(Hello.serializer(), input.readFrame(MAX_HANDSHAKE_BYTES))
        val nonce = nonce()
        val welcome = Welcome(self, nonce, proof("accept", hello, self, nonce))
        output.writeFrame(PeerCbor.encodeToByteArray(Welcome.serializer(), welcome))
        val proof = decode(Proof.serializer(), input.readFrame(MAX_HANDSHAKE_BYTES))
        require(proof.proof, proof("dial", hello, self, nonce))
        return Session(hello.member, proof("key", hello, self, nonce))
    }

    private fun nonce() = ByteArray(NONCE_BYTES).also { random.nextBytes(it) }

    private fun proof(role: String, hello: Hello, acceptor: Member, nonce: ByteArray): ByteArray =
        hmac(
            secret,
            role.toByteArray(),
            PeerCbor.encodeToByteArray(Hello.serializer(), hello),
            PeerCbor.encodeToByteArray(Member.serializer(), acceptor),
            nonce
        )

    private fun require(actual: ByteArray, expected: ByteArray) {
        if (!MessageDigest.isEqual(actual, expected)) {
            throw PeerProtocolException("the peer doesn't know the shared secret")
        }
    }

    private fun <T> decode(type: KSerializer<T>, bytes: ByteArray): T = try {
        PeerCbor.decodeFromByteArray(type, bytes)
    } catch (e: SerializationException) {
        throw PeerProtocolException("a handshake frame can't be decoded", e)
    } catch (e: IllegalArgumentException) {
        throw PeerProtocolException("a handshake frame can't be decoded", e)
    }

    private companion object {
        const val NONCE_BYTES = 32
        const val MAX_HANDSHAKE_BYTES = 4 * 1024
    }
}
