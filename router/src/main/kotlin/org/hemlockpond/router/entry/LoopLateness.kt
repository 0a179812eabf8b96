/*
 * Tells from the times of a regular task whether the event loop is late, as on a host that has too little
 * processor time. Requests that came meanwhile are read all at once, after their callers may have left.
 */
package org.hemlockpond.router.entry

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Runs [task] once the event loop has read all connections again. After a long pause the loop handles
 * old events before it reads that callers have left.
 */
internal fun EventLoop.runAfterNextRead(task: () -> Unit) {
    // A scheduled task that a task adds is run after the next read, even without a delay.
    execute { schedule(task, 0, TimeUnit.MILLISECONDS) }
}

/** @param limit how late a tick may be; after a later one the loop counts as late for as long */
internal class LoopLateness(private val limit: Duration) {
    private var tickedAt = Duration.ZERO
    private var lateTickAt = -Duration.INFINITE

    /** Notes a run of the regular task. */
    fun ticked(now: Duration) {
        if (now - tickedAt > limit) lateTickAt = now
        tickedAt = now
    }

    /** The late tick itself may run before the requests that came during the pause are read. */
    fun isLate(now: Duration): Boolean = now - tickedAt > limit || now - lateTickAt <= limit
}
