/*
 * Decides whether an endpoint may receive requests, from the outcomes of earlier requests. Its own
 * health reports are ignored, because endpoints report themselves healthy until they fail.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration

internal class EndpointHealth(private val settings: RoutingSettings, onProbation: Boolean) {
    private enum class State { TRUSTED, EXCLUDED, PROBATION }

    private var state = if (onProbation) State.PROBATION else State.TRUSTED
    private var excludedUntil = Duration.ZERO
    private var trustedSince = Duration.ZERO
    private var exclusions = 0
    private var consecutiveSuccesses = 0
    private val failedContents = LinkedHashSet<String>(4)
    private var lastFailure: String? = null
    private var failureBits = 0
    private var outcomeCount = 0

    /** Whether the endpoint is excluded now. An expired exclusion is followed by probation. */
    fun isExcluded(now: Duration): Boolean {
        if (state == State.EXCLUDED && now >= excludedUntil) {
            state = State.PROBATION
            consecutiveSuccesses = 0
        }
        return state == State.EXCLUDED
    }

    /** Whether the endpoint may receive a request in addition to the [running] ones. */
    fun mayReceive(running: Int, now: Duration): Boolean {
        if (isExcluded(now)) return false
        if (state == State.TRUSTED) return true
        return running < settings.probationRequests shl consecutiveSuccesses
    }

    fun recordSuccess(now: Duration) {
        failedContents.clear()
        recordOutcome(0)
        if (state != State.PROBATION) return
        consecutiveSuccesses++
        if (consecutiveSuccesses >= settings.probationSuccesses) {
            state = State.TRUSTED
            trustedSince = now
        }
    }

    /**
     * Records an error answer. Repeated failures of the same content count once, because the
     * content may be the cause. Returns whether the endpoint should be excluded.
     */
    fun recordFailure(content: String): Boolean {
        failedContents += content
        if (content != lastFailure) recordOutcome(1)
        lastFailure = content
        return state == State.PROBATION ||
            failedContents.size >= settings.maxConsecutiveFailures ||
            (outcomeCount >= OUTCOME_WINDOW && Integer.bitCount(failureBits) >= OUTCOME_WINDOW / 2)
    }

    /** Excludes the endpoint. Late outcomes of earlier requests don't prolong it. */
    fun exclude(now: Duration) {
        if (isExcluded(now)) return
        val trusted = state == State.TRUSTED && now - trustedSince > settings.maxExclusion
        if (trusted) exclusions = 0
        excludedUntil =
            now + minOf(settings.firstExclusion * (1 shl exclusions), settings.maxExclusion)
        if (exclusions < MAX_DOUBLINGS) exclusions++
        state = State.EXCLUDED
        failedContents.clear()
        failureBits = 0
        outcomeCount = 0
    }

    private fun recordOutcome(failure: Int) {
        failureBits = ((failureBits shl 1) or failure) and ((1 shl OUTCOME_WINDOW) - 1)
        if (outcomeCount < OUTCOME_WINDOW) outcomeCount++
    }

    private companion object {
        /** Number of recent outcomes evaluated together, to detect intermittent failures. */
        const val OUTCOME_WINDOW = 20

        /** 2^6 s exceeds the default [RoutingSettings.maxExclusion]. */
        const val MAX_DOUBLINGS = 6
    }
}
