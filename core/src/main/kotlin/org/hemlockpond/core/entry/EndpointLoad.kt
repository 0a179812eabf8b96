/*
 * What this host knows about one endpoint: the requests it has sent there, the latency of recent
 * answers, and the prompt parts that the endpoint probably has cached.
 *
 * Requests of other hosts aren't visible here. Their load is estimated from the ratio of the
 * measured latency to the latency that this host's requests alone would explain.
 */
package org.hemlockpond.core.entry

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.routing.EndpointHealth
import org.hemlockpond.core.routing.mix

internal class EndpointLoad(
    var endpoint: ListedEndpoint,
    private val profile: EngineProfile?,
    private val settings: EntrySettings,
    private val limit: EndpointLimit,
    onProbation: Boolean,
    val view: EngineView
) {
    private class SentRequest(
        val at: Duration,
        val predictedLatency: Duration,
        val uncachedTokens: Long
    )

    /** The endpoint's hash for the placement of prompt parts; equal on all hosts. */
    val placementHash: Long = mix(endpoint.id.value.hashCode().toLong())
    val health = EndpointHealth(settings.health, onProbation)
    private val unanswered = LinkedHashMap<RequestId, SentRequest>()
    private val cachedParts = LinkedHashMap<String, Duration>(16, LOAD_FACTOR, true)
    private var pendingTokens = 0L
    private var slowness = 1.0
    private var slownessAt = Duration.ZERO
    private var lastReceivedAt = -Duration.INFINITE

    /** When the last bytes of each stream arrived; each arrival of bytes counts as an event. */
    private val lastEventAt = HashMap<RequestId, Duration>()
    private var eventGap = Duration.ZERO
    private var eventGapAt = Duration.ZERO
    private var fullUntil = -Duration.INFINITE

    /** Requests of this host that run or wait at the endpoint. */
    var running = 0
        private set

    val isEngine: Boolean get() = profile != null

    /** The most requests of this host that may be at the endpoint at once. */
    private val capacity: Int
        get() = if (profile != null) profile.batchSize else endpoint.slots.coerceAtLeast(1)

    fun hasCapacity(now: Duration): Boolean =
        running < capacity && now >= fullUntil && health.mayReceive(running, now) &&
            !isSilent(now) && limit.mayReceive(running, now)

    /** The end of the time for which the endpoint wants no requests from this host. */
    val pausedUntil: Duration get() = limit.pausedUntil

    /** Pauses the endpoint after it refused a request because it is full. */
    fun markFull(now: Duration) {
        fullUntil = now + settings.fullBackoff
    }

    /** Requests of this host whose answers haven't started. */
    val unansweredCount: Int get() = unanswered.size

    /** Whether [request] was sent to the endpoint and its answer hasn't started. */
    fun awaitsAnswer(request: RequestId): Boolean = request in unanswered

    /**
     * Whether answers are outstanding and nothing has arrived for longer than the silence limit.
     */
    fun isSilent(now: Duration): Boolean {
        val oldest = unanswered.values.firstOrNull() ?: return false
        val limit = settings.silenceLimit + oldest.predictedLatency
        return now - oldest.at > limit && now - lastReceivedAt > limit
    }

    /**
     * Predicts the time until the first event, or until the answer of a plain service.
     *
     * @param backlog the prompt tokens that the engine has to read before those of the request
     */
    fun predictLatency(
        uncachedTokens: Long,
        now: Duration,
        backlog: Long = pendingTokens
    ): Duration {
        val own = if (profile == null) {
            settings.serviceTime * (1 + running / capacity.toDouble())
        } else {
            val tokens = backlog + uncachedTokens
            settings.idleFirstEventTime + (tokens / settings.prefillTokensPerMilli).milliseconds
        }
        return own * currentSlowness(now)
    }

    /**
     * Returns the unread prompt tokens at the engine by its report and this host's sends since.
     *
     * @param assumed the tokens to assume if there is no recent report
     */
    fun reportedBacklog(assumed: Long, now: Duration): Long {
        val reported = reportedUnread(now) ?: return maxOf(assumed, pendingTokens)
        val since = view.countedUntil
        val own = unanswered.values.sumOf { if (it.at > since) it.uncachedTokens else 0 }
        return reported + own
    }

    /** The unread prompt tokens at the engine by its report; null without a recent one. */
    fun reportedUnread(now: Duration): Long? =
        view.unreadTokens(settings.prefillTokensPerMilli, now)

    /** Whether the engine has room for a request of [tokens] by its report. */
    fun hasReportedRoom(tokens: Long, now: Duration): Boolean = view.hasRoom(tokens, capacity, now)

    /** Whether this host has a share in the engine's free slots by its report. */
    fun hasShareOfRoom(now: Duration): Boolean = view.hasShare(capacity, now)

    /**
     * Returns the prompt tokens that the engine has to read.
     *
     * @param cacheProbability the probability that another host has sent the shared parts to this
     *   endpoint
     */
    fun uncachedTokens(prompt: Prompt?, now: Duration, cacheProbability: Double): UncachedTokens {
        if (prompt == null) return UncachedTokens(0, 0)
        var cachedTokens = 0L
        var shared = 0L
        var allCached = true
        for (i in 0 until prompt.parts.size - 1) {
            val part = prompt.parts[i]
            allCached = allCached && hasCached(part, now)
            if (allCached) cachedTokens += part.tokens else shared += part.tokens
        }
        val own = (prompt.tokens - cachedTokens - shared).coerceAtLeast(0)
        return UncachedTokens(own, (shared * (1 - cacheProbability)).toLong())
    }

    /**
     * @property own tokens of the request's own part
     * @property shared tokens of the shared parts
     */
    class UncachedTokens(val own: Long, val shared: Long)

    fun hasCached(part: PromptPart, now: Duration): Boolean =
        cachedParts[part.id]?.let { now - it <= settings.cacheLifetime } ?: false

    fun requestSent(
        request: EntryRequest,
        predictedLatency: Duration,
        cacheProbability: Double,
        now: Duration
    ) {
        running++
        limit.requestSent(now)
        if (isEngine) view.requestSent(now)
        val tokens = uncachedTokens(request.prompt, now, cacheProbability).let {
            it.own + it.shared
        }
        pendingTokens += tokens
        unanswered[request.id] = SentRequest(now, predictedLatency, tokens)
        for (part in request.prompt?.parts.orEmpty()) cachedParts[part.id] = now
        while (cachedParts.size > MAX_CACHED_PARTS) cachedParts.remove(cachedParts.keys.first())
    }

    /** Notes that bytes of the answer to [request] arrived, which counts as one event. */
    fun bytesReceived(request: RequestId, now: Duration) {
        lastReceivedAt = now
        val last = lastEventAt.replace(request, now) ?: return
        eventGap = meanEventGap(now) * (1 - EVENT_GAP_WEIGHT) + (now - last) * EVENT_GAP_WEIGHT
        eventGapAt = now
    }

    /** The mean time between events of this endpoint's streams; zero if nothing is known. */
    fun meanEventGap(now: Duration): Duration =
        eventGap * exp(-((now - eventGapAt) / settings.eventGapDecay))

    /** Notes that the first event, or the answer of a plain service, arrived. */
    fun answerStarted(request: RequestId, now: Duration) {
        lastReceivedAt = now
        if (isEngine) lastEventAt[request] = now
        val sent = removeUnanswered(request) ?: return
        val ratio = (now - sent.at) / sent.predictedLatency.coerceAtLeast(MIN_PREDICTED_LATENCY)
        slowness = (currentSlowness(now) * (1 - SLOWNESS_WEIGHT) + ratio * SLOWNESS_WEIGHT)
            .coerceIn(MIN_SLOWNESS, MAX_SLOWNESS)
        slownessAt = now
    }

    /** Removes a request that is no longer at the endpoint. */
    fun requestEnded(request: RequestId) {
        removeUnanswered(request)
        lastEventAt -= request
        running--
    }

    private fun removeUnanswered(request: RequestId): SentRequest? {
        val sent = unanswered.remove(request) ?: return null
        pendingTokens -= sent.uncachedTokens
        return sent
    }

    private fun currentSlowness(now: Duration): Double {
        val age = (now - slownessAt) / settings.slownessDecay
        return 1 + (slowness - 1) * exp(-age)
    }

    private companion object {
        const val LOAD_FACTOR = 0.75f

        /** Prompt parts tracked for each endpoint; the least recently used are evicted first. */
        const val MAX_CACHED_PARTS = 512

        /** The weight of one answer in the moving average; a few answers reveal a slow endpoint. */
        const val SLOWNESS_WEIGHT = 0.3
        const val MIN_SLOWNESS = 0.25

        /** The weight of one event gap in the moving average; about ten events reveal a change. */
        const val EVENT_GAP_WEIGHT = 0.1
        const val MAX_SLOWNESS = 10.0

        /** Keeps the ratio of measured to predicted latency finite. */
        val MIN_PREDICTED_LATENCY = 1.milliseconds
    }
}
