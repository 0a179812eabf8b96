/*
 * Flow control that limits the memory held for slow readers. A stream is read from the engine only
 * while it has credit for one more piece, both in its own window and in the limit shared by all
 * streams, so a piece already in transit can't exceed either limit. If a reader stays behind, its
 * stream is cancelled to free the engine's memory, and later resumed from the offset reached.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId

/**
 * Limits of a [StreamWindow]. Of the windows that RoutingBench compares, the default holds the
 * least memory without delaying other streams, at the cost of more tokens prefilled again on
 * resume.
 *
 * @property streamBytes maximum bytes held for one stream
 * @property sharedBytes maximum bytes held for all streams together
 * @property pieceBytes maximum bytes of one read from an engine; a read in progress when reading is
 *   paused may still deliver this much
 * @property stallTimeout pause after which a stream is cancelled at the engine
 */
data class StreamSettings(
    val streamBytes: Int = 16 * 1024,
    val sharedBytes: Long = 32L * 1024 * 1024,
    val pieceBytes: Int = 1024,
    val stallTimeout: Duration = 500.milliseconds
)

/** An action that the router has to carry out on a stream. */
sealed interface StreamAction {
    val request: RequestId

    /** Stop reading from the engine after the read in progress. */
    data class PauseReading(override val request: RequestId) : StreamAction

    /** Start or continue reading from the engine. */
    data class ContinueReading(override val request: RequestId) : StreamAction

    /** Cancel the stream at the engine, but keep the held bytes for the reader. */
    data class CancelAtEngine(override val request: RequestId) : StreamAction

    /** Run the request again from byte [offset] of its answer. */
    data class ResumeFrom(override val request: RequestId, val offset: Long) : StreamAction
}

/** The streams of one router. All functions must run on the control thread. */
class StreamWindow(private val settings: StreamSettings = StreamSettings()) {
    private enum class State { READING, PAUSED, CANCELLED }

    private class Stream(val request: RequestId, var received: Long, var written: Long) {
        var state = State.PAUSED
        var stateSince: Duration = Duration.ZERO
        var ended = false

        /** Whether a read that was in progress at the pause may still deliver a piece. */
        var lateReadPending = false
        val held: Long get() = received - written
    }

    private val streams = LinkedHashMap<RequestId, Stream>()

    /** Streams whose own window has room, in the order in which they get shared credit. */
    private val waitingForCredit = LinkedHashSet<Stream>()
    private var readingStreams = 0
    private var pendingLateReads = 0

    /** Bytes held for all streams. */
    var heldBytes: Long = 0
        private set

    /** Bytes held for one stream. */
    fun heldBytes(request: RequestId): Long = streams[request]?.held ?: 0

    /** Adds a stream at byte [offset] of its answer. Reading starts with `ContinueReading`. */
    fun open(request: RequestId, now: Now, offset: Long = 0): List<StreamAction> {
        close(request, now)
        val stream = Stream(request, offset, offset)
        stream.stateSince = now.elapsed
        streams[request] = stream
        waitingForCredit += stream
        return grantCredit(now)
    }

    /** Records [bytes] delivered by the engine, at most one piece. */
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

    /** Records that the engine has delivered the whole answer. */
    fun ended(request: RequestId, now: Now): List<StreamAction> {
        val stream = streams[request] ?: return emptyList()
        stream.ended = true
        waitingForCredit -= stream
        settleLateRead(stream)
        if (stream.state == State.READING) pause(stream, now)
        return grantCredit(now)
    }

    /** Records [bytes] written to the reader. */
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

    /** Removes a stream and releases the bytes that it holds. */
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

    /** Grants free credit to waiting streams, in the order in which they became ready. */
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
     * Bytes held if all reads in progress deliver: two pieces per reading stream (the one its
     * credit allows and one that a pause can't stop) and one per late read.
     */
    private fun committedBytes(): Long =
        heldBytes + settings.pieceBytes * (2L * readingStreams + pendingLateReads)

    private companion object {
        /**
         * Reading continues when three quarters of the window are free, so streams resume less
         * often.
         */
        const val RESUME_DIVISOR = 4

        /** Time after which a read in progress at a pause is taken to have delivered. */
        val LATE_READ_TIMEOUT = 1.seconds
    }
}
