package org.hemlockpond.router.entry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest

@OptIn(ExperimentalCoroutinesApi::class)
class PartSupervisorTest {
    private val ends = ArrayList<String>()

    private fun TestScope.now() = testScheduler.currentTime.milliseconds

    private fun TestScope.supervisor() = PartSupervisor(backgroundScope, { now() }) { ends += it }

    /** Guards against a part that stays down, whatever has ended it. */
    @Test
    fun partComesBackAfterWhateverItThrows() = runTest {
        val causes = listOf(
            OutOfMemoryError(),
            NoClassDefFoundError(),
            StackOverflowError(),
            IllegalStateException(),
            Throwable(),
            CancellationException("not asked for")
        )
        var starts = 0
        supervisor().keep("part") { throw causes.getOrElse(starts++) { awaitCancellation() } }
        advanceTimeBy(1.minutes)
        assertEquals(causes.size + 1, starts)
        assertEquals(causes.map { "part" }, ends)
    }

    /** Guards against a part that ends by itself and is missed by nobody. */
    @Test
    fun endWithoutAnErrorCountsAsWell() = runTest {
        var starts = 0
        supervisor().keep("part") { starts++ }
        advanceTimeBy(1.seconds)
        assertEquals(3, starts)
    }

    /** Guards against a part that uses up the processor, and one that comes back too late. */
    @Test
    fun pausesGrowUpToABoundAndShrinkAgain() = runTest {
        val startedAt = ArrayList<Duration>()
        supervisor().keep("part") {
            startedAt += now()
            if (startedAt.size == 10) delay(2.minutes)
            error("thrown by the test")
        }
        advanceTimeBy(4.minutes)
        val pauses = startedAt.zipWithNext { a, b -> b - a }
        assertEquals(
            listOf(200, 400, 800, 1_600, 3_200, 5_000).map {
                it.milliseconds
            },
            pauses.take(6)
        )
        assertTrue(pauses.take(9).max() <= 5.seconds)
        assertEquals(2.minutes + 200.milliseconds, pauses[9])
    }

    /** Guards against a host that says it is ready while it doesn't follow the store. */
    @Test
    fun partThatEndedIsMissedUntilItHasCaughtUp() = runTest {
        val parts = supervisor()
        var starts = 0
        parts.keep("part") { caughtUp ->
            if (starts++ == 0) {
                caughtUp()
                throw OutOfMemoryError()
            }
            delay(1.seconds)
            caughtUp()
            awaitCancellation()
        }
        assertTrue(parts.areCaughtUp)
        runCurrent()
        assertFalse(parts.areCaughtUp)
        advanceTimeBy(1.seconds)
        assertFalse(parts.areCaughtUp)
        advanceTimeBy(1.seconds)
        assertTrue(parts.areCaughtUp)
    }

    /** Guards against parts that are started again after they have done their work or were stopped. */
    @Test
    fun endThatWasAskedForIsFinal() = runTest {
        val parts = supervisor()
        var starts = 0
        parts.keepUntilDone("done") { starts++ }
        val stopped = parts.keep("stopped") {
            starts++
            awaitCancellation()
        }
        runCurrent()
        stopped.cancel()
        advanceTimeBy(1.minutes)
        assertEquals(2, starts)
        assertEquals(emptyList(), ends)
        assertTrue(parts.areCaughtUp)
    }

    /** Guards against a failed task whose outcome is waited for without end. */
    @Test
    fun taskThatThrowsIsSettled() = runTest {
        var settled = 0
        supervisor().runOnce("task", failed = { settled++ }) { throw OutOfMemoryError() }
        runCurrent()
        assertEquals(1, settled)
        assertEquals(listOf("task"), ends)
    }
}
