package org.hemlockpond.core.routing

import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId

class StreamWindowTest {
    private class Reader(val total: Int, val bytesPerStep: Int) {
        var reading = false
        var sent = 0
        var taken = 0
        var cancelled = 0
        var late = false
    }

    private fun at(time: Duration) = Now(time, Instant.fromEpochSeconds(0) + time)

    /** Simulates readers and their engine streams in steps of 100 ms. */
    private inner class Session(
        private val settings: StreamSettings,
        private val readers: List<Reader>,
        private val random: Random
    ) {
        private val window = StreamWindow(settings)
        private var now = Duration.ZERO
        var highest = 0L
        var highestShared = 0L

        private fun id(index: Int) = RequestId("q$index")

        private fun apply(actions: List<StreamAction>) {
            for (action in actions) apply(readers[action.request.value.drop(1).toInt()], action)
        }

        private fun apply(reader: Reader, action: StreamAction) {
            reader.reading = action !is StreamAction.PauseReading &&
                action !is StreamAction.CancelAtEngine
            when (action) {
                is StreamAction.ContinueReading -> Unit
                is StreamAction.PauseReading -> reader.late = random.nextBoolean()
                is StreamAction.CancelAtEngine -> reader.cancelled++
                is StreamAction.ResumeFrom -> assertEquals(reader.sent.toLong(), action.offset)
            }
        }

        fun run() {
            readers.indices.forEach { apply(window.open(id(it), at(now))) }
            while (readers.any { it.taken < it.total }) {
                now += 100.milliseconds
                check(now.inWholeHours < 2) { "readers don't finish" }
                readers.forEachIndexed { index, reader -> step(index, reader) }
                apply(window.tick(at(now)))
            }
            readers.indices.forEach { window.close(id(it), at(now)) }
            assertEquals(0, window.heldBytes)
        }

        private fun step(index: Int, reader: Reader) {
            val piece = minOf(settings.pieceBytes, reader.total - reader.sent)
            if ((reader.reading || reader.late) && piece > 0) {
                reader.late = false
                reader.sent += piece
                apply(window.received(id(index), piece, at(now)))
                if (reader.sent == reader.total) apply(window.ended(id(index), at(now)))
            }
            highest = maxOf(highest, window.heldBytes(id(index)))
            highestShared = maxOf(highestShared, window.heldBytes)
            val take = minOf(reader.bytesPerStep, reader.sent - reader.taken)
            reader.taken += take
            if (take > 0) apply(window.written(id(index), take, at(now)))
        }
    }

    /** Guards against unbounded buffering of answers for slow readers. */
    @Test
    fun thousandPhoneReadersStayWithinBothBounds() {
        // With the large window, the shared limit is reached first.
        val large = StreamSettings(64 * 1024, pieceBytes = 4 * 1024, stallTimeout = 2.seconds)
        for (settings in listOf(StreamSettings(), large)) {
            // Readers take 2 KB/s while the engine delivers one piece per step.
            val readers = List(1_000) { Reader(200_000, bytesPerStep = 200) }
            val session = Session(settings, readers, Random(1)).also { it.run() }
            assertTrue(session.highest <= settings.streamBytes, "${session.highest}")
            assertTrue(session.highest <= 64 * 1024)
            assertTrue(session.highestShared <= settings.sharedBytes, "${session.highestShared}")
            assertTrue(readers.all { it.cancelled > 0 })
        }
    }

    /** Guards against limits that hold only for equal readers, and against starving readers. */
    @Property(tries = 50, seed = "20261204")
    fun boundsHoldForAnyReaders(@ForAll @LongRange(min = 1, max = 1_000_000) seed: Long) {
        val random = Random(seed)
        val shared = 256L * 1024
        val settings = StreamSettings(sharedBytes = shared)
        val readers = List(1 + random.nextInt(80)) {
            Reader(1 + random.nextInt(100_000), bytesPerStep = 1 + random.nextInt(5_000))
        }
        val session = Session(settings, readers, random).also { it.run() }
        assertTrue(session.highest <= settings.streamBytes, "${session.highest}")
        assertTrue(session.highestShared <= shared, "${session.highestShared}")
    }

    /** Guards against an engine stream that stays open for a stalled reader. */
    @Test
    fun stalledReaderIsCancelledAndResumedFromWhatItHas() {
        val window =
            StreamWindow(StreamSettings(64 * 1024, pieceBytes = 4_096, stallTimeout = 2.seconds))
        val request = RequestId("q")
        var now = Duration.ZERO
        window.open(request, at(now), offset = 500)
        var pieces = 0
        while (true) {
            pieces++
            if (window.received(request, 4_096, at(now)).isNotEmpty()) break
        }
        val held = pieces * 4_096L
        now += 1_900.milliseconds
        assertTrue(window.tick(at(now)).isEmpty())
        now += 200.milliseconds
        assertEquals(
            listOf<StreamAction>(StreamAction.CancelAtEngine(request)),
            window.tick(at(now))
        )
        val actions = window.written(request, held.toInt(), at(now))
        assertEquals(listOf<StreamAction>(StreamAction.ResumeFrom(request, 500 + held)), actions)
    }
}
