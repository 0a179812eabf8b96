package org.hemlockpond.router

import kotlin.time.Clock
import kotlin.time.TimeSource
import org.hemlockpond.core.Now

/** The clock that the router reads; tests pass one that they pause and advance. */
internal fun interface RouterClock {
    fun now(): Now
}

/** Monotonic time since construction, and the system's wall clock. */
internal class SystemClock : RouterClock {
    private val start = TimeSource.Monotonic.markNow()

    override fun now(): Now = Now(start.elapsedNow(), Clock.System.now())
}
