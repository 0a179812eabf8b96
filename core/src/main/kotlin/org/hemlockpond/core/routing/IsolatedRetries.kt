/*
 * Retries suspect content once, alone on an isolated endpoint. A router first announces a claim and
 * then waits for the claims and verdicts of the others to arrive. Among competing claims a running
 * one has priority, then the one with the lowest router id.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import org.hemlockpond.core.ErrorKind

internal class IsolatedRetries(
    private val endpoints: Endpoints,
    private val suspects: Suspects,
    private val loans: Loans,
    private val settings: RoutingSettings
) {
    class IsolatedRetry(val content: String, var claimedAt: Duration) {
        val waiting = ArrayDeque<PendingRequest>()
        var runningRequest: PendingRequest? = null
        var endpoint: EndpointState? = null
        var isolatedSince = Duration.ZERO
        var renewedAt = claimedAt
    }

    private val byContent = LinkedHashMap<String, IsolatedRetry>()

    /**
     * Isolated endpoints without other requests after a retry, with the start of their isolation.
     */
    private val idleEndpoints = LinkedHashMap<EndpointState, Duration>()

    val waiting: Int get() = byContent.values.sumOf { it.waiting.size }

    fun add(pending: PendingRequest, now: Duration, out: MutableList<RoutingAction>) {
        val content = pending.request.contentDigest
        val retry = byContent.getOrPut(content) {
            out += claim(content, Claim.WANTED)
            IsolatedRetry(content, now)
        }
        retry.waiting += pending
    }

    /** Removes a request that was cancelled or has exceeded its deadline. */
    fun remove(pending: PendingRequest, out: MutableList<RoutingAction>) {
        val retry = byContent[pending.request.contentDigest] ?: return
        retry.waiting -= pending
        if (retry.runningRequest === pending) retry.runningRequest = null
        if (retry.waiting.isEmpty() && retry.runningRequest == null) end(retry, out)
    }

    /** Ends the retry of [content] and returns the requests that waited for its outcome. */
    fun finish(content: String, out: MutableList<RoutingAction>): List<PendingRequest> {
        val retry = byContent[content] ?: return emptyList()
        end(retry, out)
        return retry.waiting.toList()
    }

    /** Retries [pending] on another endpoint, because its attempt ended without a verdict. */
    fun retryOnOtherEndpoint(
        pending: PendingRequest,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        val retry = byContent[pending.request.contentDigest]
        if (retry == null) {
            add(pending, now, out)
            return
        }
        retry.runningRequest = null
        retry.waiting.addFirst(pending)
        release(retry, out)
    }

    /** Repeats the running claim to a router that may have missed it; null if none is running. */
    fun claimReply(content: String): RoutingAction? =
        byContent[content]?.runningRequest?.let { claim(content, Claim.RUNNING) }

    fun expired(now: Duration): List<PendingRequest> =
        byContent.values.flatMap { retry -> retry.waiting.filter { it.deadline <= now } }

    /** Returns the retries to start now, each on an endpoint without other requests. */
    fun tick(now: Duration, out: MutableList<RoutingAction>): List<IsolatedRetry> {
        val starting = ArrayList<IsolatedRetry>()
        for (retry in byContent.values) {
            renew(retry, now, out)
            if (retry.runningRequest != null || retry.waiting.isEmpty()) continue
            if (suspects.hasPriorClaim(retry.content, running = false, now)) {
                release(retry, out)
                retry.claimedAt = now
                continue
            }
            if (now - retry.claimedAt < settings.suspectDelay) continue
            val endpoint = endpointFor(retry, now, out) ?: continue
            if (!isFree(retry, endpoint, now)) continue
            val pending = retry.waiting.first()
            if (!endpoint.hasRoom(pending, now)) {
                loans.borrow(endpoint, pending, now, out)
                continue
            }
            retry.waiting.removeFirst()
            retry.runningRequest = pending
            out += claim(retry.content, Claim.RUNNING)
            starting += retry
        }
        idleEndpoints.keys.toList().forEach { release(it, out) }
        return starting
    }

    private fun endpointFor(
        retry: IsolatedRetry,
        now: Duration,
        out: MutableList<RoutingAction>
    ): EndpointState? {
        val current = retry.endpoint
        if (current != null) {
            if (current.acceptsSuspect(now)) return current
            release(retry, out)
        }
        val pending = retry.waiting.first()
        val idleEndpoint = idleEndpoints.keys.find {
            it.config.route == pending.request.route && it.serves(pending.request.version) &&
                it.acceptsSuspect(now)
        }
        if (idleEndpoint != null) {
            retry.endpoint = idleEndpoint
            retry.isolatedSince = idleEndpoints.remove(idleEndpoint)!!
            return idleEndpoint
        }
        val all = endpoints.ofRoute(pending.request.route)
            .filter { it.serves(pending.request.version) }
        val busy = all.count { state ->
            state.isolatedHere || state.isolatedBy.values.any { it > now }
        }
        if (busy >= maxOf(1, (all.size * settings.isolationShare).toInt())) return null
        val choice = all
            .filter { it.acceptsSuspect(now) && it.acceptsRequests(now) && it.reservedFor == null }
            .minWithOrNull(compareBy({ it.config.id in pending.triedEndpoints }, { it.load(now) }))
        choice?.let {
            retry.endpoint = it
            retry.isolatedSince = now
            it.isolatedHere = true
            out += RoutingAction.SendToPeers(RoutingMessage.Isolate(it.config.id, active = true))
        }
        return choice
    }

    /** Whether no other request runs there, by own counts and load reports or after a timeout. */
    private fun isFree(retry: IsolatedRetry, endpoint: EndpointState, now: Duration): Boolean {
        if (endpoint.running > 0) return false
        val waited = now - retry.isolatedSince
        val seen = endpoint.reportedAt > retry.isolatedSince && endpoint.heldByOthers(now) == 0L
        return seen || waited >= settings.maxIsolationWait
    }

    private fun renew(retry: IsolatedRetry, now: Duration, out: MutableList<RoutingAction>) {
        if (now - retry.renewedAt < settings.repeatInterval) return
        retry.renewedAt = now
        val claim = if (retry.runningRequest != null) Claim.RUNNING else Claim.WANTED
        out += claim(retry.content, claim)
        retry.endpoint?.let {
            out += RoutingAction.SendToPeers(RoutingMessage.Isolate(it.config.id, active = true))
        }
    }

    private fun release(retry: IsolatedRetry, out: MutableList<RoutingAction>) {
        retry.endpoint?.let { release(it, out) }
        retry.endpoint = null
    }

    private fun release(endpoint: EndpointState, out: MutableList<RoutingAction>) {
        idleEndpoints -= endpoint
        endpoint.isolatedHere = false
        val message = RoutingMessage.Isolate(endpoint.config.id, active = false)
        out += RoutingAction.SendToPeers(message)
    }

    /**
     * Ends a retry. Its endpoint stays isolated until the next tick, for reuse by another retry.
     */
    private fun end(retry: IsolatedRetry, out: MutableList<RoutingAction>) {
        retry.endpoint?.let { idleEndpoints[it] = retry.isolatedSince }
        retry.endpoint = null
        byContent -= retry.content
        out += claim(retry.content, Claim.ENDED)
    }

    private fun claim(content: String, claim: Claim): RoutingAction =
        RoutingAction.SendToPeers(RoutingMessage.ClaimAttempt(content, claim))
}

/** Returns the error for a request that is not retried, by what is known of its execution. */
internal fun errorFor(pending: PendingRequest, outcome: AttemptOutcome): ErrorKind = when {
    !pending.wasSent -> ErrorKind.NO_ENDPOINT
    !pending.request.idempotent -> ErrorKind.OUTCOME_UNKNOWN
    pending.answerTokens > 0 -> ErrorKind.ANSWER_INTERRUPTED
    outcome == AttemptOutcome.Unreachable -> ErrorKind.ENDPOINT_TIMEOUT
    else -> ErrorKind.ENDPOINT_FAILED
}
