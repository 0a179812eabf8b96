/*
 * Authenticated frames on one connection. A frame is its length (4 bytes, big-endian), the content,
 * and an HMAC-SHA256 over the session's direction, the frame's number and the content. The number
 * makes a repeated or reordered frame fail.
 */
package org.hemlockpond.router.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import java.io.IOException
import java.nio.ByteBuffer
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** A peer that broke the protocol or doesn't know the secret. */
internal class PeerProtocolException(message: String, cause: Throwable? = null) :
    IOException(message, cause)

internal fun hmac(key: ByteArray, vararg parts: ByteArray): ByteArray {
    val mac = Mac.getInstance("HmacSHA256")
    mac.init(SecretKeySpec(key, "HmacSHA256"))
    for (part in parts) {
        mac.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(part.size).array())
        mac.update(part)
    }
    return mac.doFinal()
}

/** Reads a frame without a MAC, as the handshake uses them. */
internal suspend fun ByteReadChannel.readFrame(maxBytes: Int): ByteArray {
    val size = readInt()
    if (size < 0 || size > maxBytes) throw PeerProtocolException("a frame of $size bytes")
    return ByteArray(size).also { readFully(it) }
}

/** Writes a frame without a MAC. */
internal suspend fun ByteWriteChannel.writeFrame(content: ByteArray) {
    writeInt(content.size)
    writeFully(content)
    flush()
}

/** Sends frames under a session key. */
internal class FrameWriter(private val key: ByteArray, private val output: ByteWriteChannel) {
    private var number = 0L

    /** Sends one frame and returns its size in bytes. */
    suspend fun write(content: ByteArray): Int {
        val mac = hmac(key, numberBytes(number++), content)
        output.writeInt(content.size + mac.size)
        output.writeFully(content)
        output.writeFully(mac)
        output.flush()
        return Int.SIZE_BYTES + content.size + mac.size
    }
}

/** Receives frames under a session key. */
internal class FrameReader(private val key: ByteArray, private val input: ByteReadChannel) {
    private var number = 0L

    suspend fun read(): ByteArray {
        val frame = input.readFrame(MAX_FRAME_BYTES)
        if (frame.size < MAC_BYTES) throw PeerProtocolException("a frame without a MAC")
        val content = frame.copyOf(frame.size - MAC_BYTES)
        val mac = frame.copyOfRange(frame.size - MAC_BYTES, frame.size)
        if (!MessageDigest.isEqual(mac, hmac(key, numberBytes(number++), content))) {
            throw PeerProtocolException("a frame with a wrong MAC")
        }
        return content
    }
}

private fun numberBytes(number: Long): ByteArray =
    ByteBuffer.allocate(Long.SIZE_BYTES).putLong(number).array()

private const val MAC_BYTES = 32

/** Configuration entries are the largest messages; a store value has at most 1 MB. */
internal const val MAX_FRAME_BYTES = 4 * 1024 * 1024
