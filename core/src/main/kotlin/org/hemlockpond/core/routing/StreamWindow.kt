/*
 * Bounds the memory that slow readers hold. A stream is read from the engine only while it has
 * credit for one more piece, both in its own window and in the bound shared by all streams, so
 * neither bound can be passed by a piece that is already on its way. A reader that stays behind
 * for long no longer holds the engine's memory: its stream is cancelled there and resumed from
 * the offset it has reached.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId

/**
 * Bounds of a [StreamWindow]. Of the windows that RoutingBench compares, the default holds least
 * without delaying others; the price is that more tokens are prefilled again at the engine.
 *
 * @property streamBytes the most bytes held for one stream
 * @property sharedBytes the most bytes held for all streams together
 * @property pieceBytes the most bytes of one read from an engine; a read that was under way when
 *   reading was paused may still deliver this much
 * @property stallTimeout how long a stream may be paused before it is cancelled at the engine
 */
data class StreamSettings(
    val streamBytes: Int = 16 * 1024,
    val sharedBytes: Long = 32L * 1024 * 1024,
    val pieceBytes: Int = 1024,
    val stallTimeout: Duration = 500.milliseconds
)

/** What the router is to do with a stream. */
sealed interface StreamAction {
    val request: RequestId

    /** Stop reading from the engine after the read that is under way. */
    data class PauseReading(override val request: RequestId) : StreamAction

    /** Read from the engine again. */
    data class ContinueReading(override val request: RequestId) : StreamAction

    /** Cancel the stream at the engine; the bytes held stay for the reader. */
    data class CancelAtEngine(override val request: RequestId) : StreamAction

    /** Run the request again from byte [offset] of its answer. */
    data class ResumeFrom(override val request: RequestId, val offset: Long) : StreamAction
}

/** The streams of one router. All functions are called on the control thread. */
class StreamWindow(private val settings: StreamSettings = StreamSettings()) {
    private enum class State { READING, PAUSED, CANCELLED }

    private class Stream(val request: RequestId, var received: Long, var written: Long) {
        var state = State.PAUSED
        var stateSince: Duration = Duration.ZERO
        var ended = false

        /** Whether the read that was under way at the pause may still deliver a piece. */
        var lateReadPending = false
        val held: Long get() = received - written
    }

    private val streams = LinkedHashMap<RequestId, Stream>()

    /** Streams whose window has room again; they wait in this order for the shared bound. */
    private val waitingForCredit = LinkedHashSet<Stream>()
    private var readingStreams = 0
    private var pendingLateReads = 0

    /** Bytes held for all streams. */
    var heldBytes: Long = 0
        private set

    /** Bytes held for one stream. */
    fun heldBytes(request: RequestId): Long = streams[request]?.held ?: 0

    /** Starts a stream at byte [offset] of its answer. It is read only after `ContinueReading`. */
    fun open(request: RequestId, now: Now, offset: Long = 0): List<StreamAction> {
        close(request, now)
        val stream = Stream(request, offset, offset)
        stream.stateSince = now.elapsed
        streams[request] = stream
        waitingForCredit += stream
        return grantCredit(now)
    }

    /** The engine delivered [bytes], at most one piece. */
    fun received(request: RequestId, bytes: Int, now: Now): List<StreamAction> {
        val stream = streams[request] ?: return emptyList()
        stream.received += bytes
        heldBytes += bytes
        settleLateRead(stream)
        if (stream.state != State.READING) return emptyList()
        val ownRoom = stream.held + 2L * settings.pieceBytes <= settings.streamBytes
        if (ownRoom && committedBytes() <= settings.sharedBytes) return emptyList()
        pause(stream, now)
        stream.lateReadPending = true
        pendingLateReads++
        return listOf(StreamAction.PauseReading(request))
    }

    /** The engine has delivered the whole answer. */
    fun ended(request: RequestId, now: Now): List<StreamAction> {
        val stream = streams[request] ?: return emptyList()
        stream.ended = true
        waitingForCredit -= stream
        settleLateRead(stream)
        if (stream.state == State.READING) pause(stream, now)
        return grantCredit(now)
    }

    /** The reader took [bytes]. */
    fun written(request: RequestId, bytes: Int, now: Now): List<StreamAction> {
        val stream = streams[request] ?: return emptyList()
        stream.written += bytes
        heldBytes -= bytes
        val waits = !stream.ended && stream.state != State.READING
        if (waits && stream.held <= settings.streamBytes / RESUME_DIVISOR) {
            waitingForCredit += stream
        }
        return grantCredit(now)
    }

    /** The stream is over; what it held is released. */
    fun close(request: RequestId, now: Now): List<StreamAction> {
        val stream = streams.remove(request) ?: return emptyList()
        heldBytes -= stream.held
        waitingForCredit -= stream
        settleLateRead(stream)
        if (stream.state == State.READING) readingStreams--
        return grantCredit(now)
    }

    /** Cancels the streams whose readers have been behind for [StreamSettings.stallTimeout]. */
    fun tick(now: Now): List<StreamAction> {
        val actions = ArrayList<StreamAction>()
        for (stream in streams.values) {
            val paused = now.elapsed - stream.stateSince
            if (stream.state != State.PAUSED || stream.ended) continue
            if (paused >= LATE_READ_TIMEOUT) settleLateRead(stream)
            if (paused < settings.stallTimeout || stream in waitingForCredit) continue
            stream.state = State.CANCELLED
            actions += StreamAction.CancelAtEngine(stream.request)
        }
        return actions + grantCredit(now)
    }

    /** Gives free credit to the streams that have waited longest. */
    private fun grantCredit(now: Now): List<StreamAction> {
        val actions = ArrayList<StreamAction>(0)
        while (waitingForCredit.isNotEmpty()) {
            if (committedBytes() + 2L * settings.pieceBytes > settings.sharedBytes) break
            val stream = waitingForCredit.first()
            waitingForCredit -= stream
            actions += if (stream.state == State.CANCELLED) {
                StreamAction.ResumeFrom(stream.request, stream.received)
            } else {
                StreamAction.ContinueReading(stream.request)
            }
            settleLateRead(stream)
            stream.state = State.READING
            stream.stateSince = now.elapsed
            readingStreams++
        }
        return actions
    }

    private fun pause(stream: Stream, now: Now) {
        stream.state = State.PAUSED
        stream.stateSince = now.elapsed
        readingStreams--
    }

    private fun settleLateRead(stream: Stream) {
        if (!stream.lateReadPending) return
        stream.lateReadPending = false
        pendingLateReads--
    }

    /**
     * What may be held if every read under way delivers: a reading stream counts with the piece
     * that its credit allows and the one that a pause can't stop, a late read with one.
     */
    private fun committedBytes(): Long =
        heldBytes + settings.pieceBytes * (2L * readingStreams + pendingLateReads)

    private companion object {
        /** Reading goes on when three quarters of the window are free, to resume less often. */
        const val RESUME_DIVISOR = 4

        /** A read that was under way at a pause has delivered by then. */
        val LATE_READ_TIMEOUT = 1.seconds
    }
}
