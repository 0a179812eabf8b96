/*
 * What this host knows of one endpoint: its own requests there, how slow the last answers were, and
 * which prompt parts it probably has cached.
 *
 * Other hosts send to the same endpoint unseen. Their load shows in the slowness of this host's own
 * answers, which is compared with what the own requests alone explain.
 */
package org.hemlockpond.core.entry

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.routing.EndpointHealth
import org.hemlockpond.core.routing.mix

internal class EndpointLoad(
    var listed: ListedEndpoint,
    private val profile: EngineProfile?,
    private val settings: EntrySettings,
    onProbation: Boolean
) {
    private class Sent(val at: Duration, val predicted: Duration, val uncached: Long)

    /** Places prompt parts; equal on all hosts. */
    val hash: Long = mix(listed.id.value.hashCode().toLong())
    val health = EndpointHealth(settings.health, onProbation)
    private val unanswered = LinkedHashMap<RequestId, Sent>()
    private val parts = LinkedHashMap<String, Duration>(16, LOAD_FACTOR, true)
    private var pendingTokens = 0L
    private var slowness = 1.0
    private var slownessAt = Duration.ZERO
    private var lastHeard = -Duration.INFINITE

    /** When each stream brought its last bytes. */
    private val lastEvents = HashMap<RequestId, Duration>()
    private var eventGap = Duration.ZERO
    private var eventGapAt = Duration.ZERO
    private var fullUntil = -Duration.INFINITE

    /** Requests of this host that run or wait there. */
    var running = 0
        private set

    val isEngine: Boolean get() = profile != null

    /** Own requests that may be there at once. */
    private val room: Int
        get() = if (profile != null) profile.batch else listed.slots.coerceAtLeast(1)

    fun hasRoom(now: Duration): Boolean =
        running < room && now >= fullUntil && health.mayReceive(running, now) && !isSilent(now)

    /** The endpoint refused a request because it is full. */
    fun full(now: Duration) {
        fullUntil = now + settings.fullPause
    }

    /** Whether no answer to the request has begun. */
    fun owes(request: RequestId): Boolean = request in unanswered

    /** Owes answers and has sent nothing for long. */
    fun isSilent(now: Duration): Boolean {
        val oldest = unanswered.values.firstOrNull() ?: return false
        val limit = settings.silence + oldest.predicted
        return now - oldest.at > limit && now - lastHeard > limit
    }

    /** The time from now to the first event, or to the answer of a plain service. */
    fun predict(uncached: Long, now: Duration): Duration {
        val own = if (profile == null) {
            settings.serviceTime * (1 + running / room.toDouble())
        } else {
            val tokens = pendingTokens + uncached
            settings.firstEventBase + (tokens / settings.prefillTokensPerMilli).milliseconds
        }
        return own * slownessNow(now)
    }

    /**
     * Prompt tokens of the request's own part and of the shared parts that the engine has to read.
     *
     * @param likely the probability that another host has sent the shared parts here
     */
    fun uncached(prompt: Prompt?, now: Duration, likely: Double): Uncached {
        if (prompt == null) return Uncached(0, 0)
        var known = 0L
        var shared = 0L
        var cached = true
        for (i in 0 until prompt.parts.size - 1) {
            val part = prompt.parts[i]
            cached = cached && knows(part, now)
            if (cached) known += part.tokens else shared += part.tokens
        }
        val own = (prompt.tokens - known - shared).coerceAtLeast(0)
        return Uncached(own, (shared * (1 - likely)).toLong())
    }

    class Uncached(val own: Long, val shared: Long)

    fun knows(part: PromptPart, now: Duration): Boolean =
        parts[part.id]?.let { now - it <= settings.cacheMemory } ?: false

    fun start(request: EntryRequest, predicted: Duration, likely: Double, now: Duration) {
        running++
        val tokens = uncached(request.prompt, now, likely).let { it.own + it.shared }
        pendingTokens += tokens
        unanswered[request.id] = Sent(now, predicted, tokens)
        for (part in request.prompt?.parts.orEmpty()) parts[part.id] = now
        while (parts.size > MAX_PARTS) parts.remove(parts.keys.first())
    }

    /** Bytes of the answer to [request] came from the endpoint. */
    fun heard(request: RequestId, now: Duration) {
        lastHeard = now
        val last = lastEvents.replace(request, now) ?: return
        eventGap = pause(now) * (1 - GAP_WEIGHT) + (now - last) * GAP_WEIGHT
        eventGapAt = now
    }

    /** The mean time between events of the streams that run there; zero if nothing is known. */
    fun pause(now: Duration): Duration =
        eventGap * exp(-((now - eventGapAt) / settings.pauseMemory))

    /** The first event, or the answer of a plain service, came. */
    fun answered(request: RequestId, now: Duration) {
        lastHeard = now
        if (isEngine) lastEvents[request] = now
        val sent = forget(request) ?: return
        val ratio = (now - sent.at) / sent.predicted.coerceAtLeast(MIN_PREDICTED)
        slowness = (slownessNow(now) * (1 - SLOWNESS_WEIGHT) + ratio * SLOWNESS_WEIGHT)
            .coerceIn(MIN_SLOWNESS, MAX_SLOWNESS)
        slownessAt = now
    }

    /** The request is no longer there. */
    fun end(request: RequestId) {
        forget(request)
        lastEvents -= request
        running--
    }

    private fun forget(request: RequestId): Sent? {
        val sent = unanswered.remove(request) ?: return null
        pendingTokens -= sent.uncached
        return sent
    }

    private fun slownessNow(now: Duration): Double {
        val age = (now - slownessAt) / settings.slownessMemory
        return 1 + (slowness - 1) * exp(-age)
    }

    private companion object {
        const val LOAD_FACTOR = 0.75f

        /** Parts that are remembered for each endpoint; the least recently used go first. */
        const val MAX_PARTS = 512

        /** The weight of one answer; a few answers in a row show a slow endpoint. */
        const val SLOWNESS_WEIGHT = 0.3
        const val MIN_SLOWNESS = 0.25

        /** The weight of one pause; some ten events show a change. */
        const val GAP_WEIGHT = 0.1
        const val MAX_SLOWNESS = 10.0

        /** Keeps the ratio finite. */
        val MIN_PREDICTED = 1.milliseconds
    }
}
