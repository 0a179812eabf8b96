/*
 * The signals that stop a process, from its first instruction on.
 */
package org.hemlockpond.router

import sun.misc.Signal
import sun.misc.SignalHandler

/**
 * Takes the signals of the given [names] from its creation on and keeps the first one until the process
 * can stop cleanly. Without a handler, a signal ends the process at once with the signal's exit code.
 *
 * It is created first in a process, so it needs no classes but those that the JVM has loaded.
 *
 * @param names the names of signals without SIG
 * @throws IllegalArgumentException if a signal is reserved by the JVM
 */
class StopSignals(vararg names: String) : SignalHandler {
    private var action: (() -> Unit)? = null

    /** Whether one of the signals has come. */
    var isStopRequested = false
        @Synchronized get
        private set

    init {
        for (name in names) Signal.handle(Signal(name), this)
    }

    override fun handle(signal: Signal) {
        val stop = synchronized(this) {
            if (isStopRequested) return
            isStopRequested = true
            action
        }
        stop?.invoke()
    }

    /**
     * Calls [stop] once: on the JVM's signal thread when the first signal comes, or here and now if one
     * has come.
     */
    fun onStop(stop: () -> Unit) {
        synchronized(this) {
            action = stop
            if (!isStopRequested) return
        }
        stop()
    }
}
