/*
 * Stops an entry router: finishes the open requests, returns the unspent tokens and closes the callers'
 * connections.
 */
package org.hemlockpond.router.entry

import io.netty.channel.Channel
import io.netty.channel.EventLoop
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hemlockpond.core.entry.StopSchedule
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.RouterClock
import org.hemlockpond.router.log

/**
 * @param connections the callers' connections that are open
 * @param returnTokens starts to return the unspent tokens; [tokensReturned] follows
 */
internal class EntryStop(
    private val settings: EntryRouterSettings,
    private val loop: EventLoop,
    private val clock: RouterClock,
    private val requests: EntryRequests,
    private val connections: Set<CallerConnection>,
    private val callerListener: () -> Channel,
    private val returnTokens: () -> Unit
) {
    private var schedule: StopSchedule? = null
    private var returningTokens = false
    private var tokensReturned = false
    private val stopped = CountDownLatch(1)

    val isStopping: Boolean get() = schedule != null

    /** Starts the stop, which ends after [limit] at the latest; only the first call has an effect. */
    fun begin(limit: Duration) {
        if (isStopping) return
        log(LogEvent.ROUTER_DRAINING, "open" to requests.openCount)
        val next = StopSchedule(clock.now().elapsed, limit, settings.lastAcceptDelay)
        schedule = next
        requests.stopBegan(next)
        after(minOf(settings.stopDelay, limit / 2)) { proceed() }
        after(next.answersUntil - clock.now().elapsed) { requests.endAll() }
    }

    /** Waits until the router has stopped; returns false after [limit]. */
    fun await(limit: Duration): Boolean =
        stopped.await(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)

    fun tokensReturned() {
        tokensReturned = true
    }

    private fun after(delay: Duration, task: () -> Unit) {
        loop.schedule(task, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /**
     * Continues the stop after the stop delay, when the platform sends no new callers any more.
     * Tokens that aren't reserved by an open request are returned immediately, because the store
     * may have become unreachable by the time the last request ends. The router has stopped when all
     * callers' connections are closed: only then have slow readers been sent their whole answers, and
     * requests that were being read been answered. Without the store the tokens can't be returned; new
     * connections are then accepted only as long as the schedule allows.
     */
    private fun proceed() {
        connections.toList().forEach { it.closeIfIdle(IDLE_TIME) }
        if (!returningTokens) {
            returningTokens = true
            returnTokens()
        }
        val listener = callerListener()
        val isDone = tokensReturned && requests.openCount == 0 && connections.isEmpty()
        val acceptsNoMore = schedule?.acceptsAll(clock.now().elapsed) == false
        if (acceptsNoMore && listener.isOpen) listener.close()
        when {
            !isDone -> Unit

            // Requests on connections that were accepted before are still answered.
            listener.isOpen -> listener.close()

            else -> {
                stopped.countDown()
                return
            }
        }
        after(POLL_INTERVAL) { proceed() }
    }

    private companion object {
        val POLL_INTERVAL = 20.milliseconds

        /** A new connection has this time for its first bytes. */
        val IDLE_TIME = 100.milliseconds
    }
}
