/*
 * Decides whether an endpoint may receive requests, from the outcomes of earlier requests. Its own
 * health reports are ignored, because endpoints report themselves healthy until they fail.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration

internal class EndpointHealth(private val settings: RoutingSettings, onProbation: Boolean) {
    private enum class State { TRUSTED, EXCLUDED, PROBATION }

    private var state = if (onProbation) State.PROBATION else State.TRUSTED
    private var until = Duration.ZERO
    private var trustedSince = Duration.ZERO
    private var exclusions = 0
    private var successes = 0
    private val failing = LinkedHashSet<String>(4)
    private var lastFailure: String? = null
    private var history = 0
    private var outcomes = 0

    /** Whether the endpoint is excluded now. An exclusion that is over turns into probation. */
    fun isExcluded(now: Duration): Boolean {
        if (state == State.EXCLUDED && now >= until) {
            state = State.PROBATION
            successes = 0
        }
        return state == State.EXCLUDED
    }

    /** Whether one more request may be sent while [running] run there. */
    fun mayTake(running: Int, now: Duration): Boolean {
        if (isExcluded(now)) return false
        if (state == State.TRUSTED) return true
        return running < settings.probationRequests shl successes
    }

    fun succeeded(now: Duration) {
        failing.clear()
        record(0)
        if (state != State.PROBATION) return
        successes++
        if (successes >= settings.probationSuccesses) {
            state = State.TRUSTED
            trustedSince = now
        }
    }

    /**
     * An error answer. Repeated failures of one content count once, because then the content may be
     * at fault. Returns whether the endpoint should be excluded.
     */
    fun failed(content: String): Boolean {
        failing += content
        if (content != lastFailure) record(1)
        lastFailure = content
        return state == State.PROBATION ||
            failing.size >= settings.failureRun ||
            (outcomes >= WINDOW && Integer.bitCount(history) >= WINDOW / 2)
    }

    /** Excludes the endpoint. Late outcomes of earlier requests don't prolong it. */
    fun exclude(now: Duration) {
        if (isExcluded(now)) return
        val trusted = state == State.TRUSTED && now - trustedSince > settings.exclusionLimit
        if (trusted) exclusions = 0
        until = now + minOf(settings.exclusion * (1 shl exclusions), settings.exclusionLimit)
        if (exclusions < MAX_DOUBLINGS) exclusions++
        state = State.EXCLUDED
        failing.clear()
        history = 0
        outcomes = 0
    }

    private fun record(failure: Int) {
        history = ((history shl 1) or failure) and ((1 shl WINDOW) - 1)
        if (outcomes < WINDOW) outcomes++
    }

    private companion object {
        /** Number of recent outcomes evaluated together, to detect intermittent failures. */
        const val WINDOW = 20

        /** 2^6 seconds is past the longest exclusion. */
        const val MAX_DOUBLINGS = 6
    }
}
