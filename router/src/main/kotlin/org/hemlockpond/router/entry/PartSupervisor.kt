/*
 * Runs the parts of an entry router that go on for the life of its process: what follows the store, keeps
 * leases and renews records. A part that ends is started again, whatever ended it; docs/design.md says
 * why that holds for errors of the JVM, too.
 */
package org.hemlockpond.router.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.log

/** What a part does; it calls `caughtUp` once its state is that of the store. */
internal typealias Part = suspend (caughtUp: () -> Unit) -> Unit

/**
 * All calls are on the event loop.
 *
 * @param now returns the time of the router's clock
 * @param ended counts the ends of a part that weren't asked for
 */
internal class PartSupervisor(
    private val scope: CoroutineScope,
    private val now: () -> Duration,
    private val ended: (part: String) -> Unit = {}
) {
    private val recovering = HashSet<String>()

    /** Whether all parts run, and those that had ended have caught up. */
    val areCaughtUp: Boolean get() = recovering.isEmpty()

    /** Runs [part] until the router stops. */
    fun keep(name: String, part: Part): Job = scope.launch { keepRunning(name, false, part) }

    /** Runs [part] until it has done its work. */
    fun keepUntilDone(name: String, part: Part): Job = scope.launch {
        keepRunning(name, true, part)
    }

    /** Runs [task] once; [failed] settles what it leaves open if it throws. */
    fun runOnce(name: String, failed: () -> Unit = {}, task: suspend () -> Unit): Job =
        scope.launch {
            val cause = errorOf(task) ?: return@launch
            ensureActive()
            report(LogEvent.CONTROL_FAILED, name, cause)
            failed()
        }

    /** Reports that a task of [name] which is repeated anyway has thrown [cause]. */
    fun taskFailed(name: String, cause: Throwable) = report(LogEvent.CONTROL_FAILED, name, cause)

    private suspend fun CoroutineScope.keepRunning(name: String, mayEnd: Boolean, part: Part) {
        var pause = FIRST_PAUSE
        try {
            while (true) {
                val startedAt = now()
                val cause = errorOf { part { recovering -= name } }
                ensureActive()
                if (mayEnd && cause == null) return
                recovering += name
                report(LogEvent.PART_ENDED, name, cause)
                if (now() - startedAt > STEADY_TIME) pause = FIRST_PAUSE
                errorOf { delay(pause) }
                ensureActive()
                pause = (pause * 2).coerceAtMost(LONGEST_PAUSE)
            }
        } finally {
            recovering -= name
        }
    }

    /** What [task] throws, errors of the JVM included; null if it ends by itself. */
    private suspend fun errorOf(task: suspend () -> Unit): Throwable? = try {
        task()
        null
    } catch (e: Throwable) {
        e
    }

    private fun report(event: LogEvent, name: String, cause: Throwable?) {
        try {
            ended(name)
            log(event, "part" to name, cause = cause)
        } catch (_: Throwable) {
            // Without memory for the line the part has to come back all the same.
        }
    }

    private companion object {
        val FIRST_PAUSE = 200.milliseconds

        /** Below the 6 s within which a configuration has to be in force. */
        val LONGEST_PAUSE = 5.seconds

        /** A part that has run for so long is started again after the first pause. */
        val STEADY_TIME = 1.minutes
    }
}
