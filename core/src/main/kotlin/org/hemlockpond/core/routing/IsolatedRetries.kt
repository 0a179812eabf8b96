/*
 * The one further attempt of suspect content, alone at an endpoint. Routers claim the attempt
 * before they make it: a claim is announced and runs only after a wait in which the claims and
 * verdicts of the others arrive. Of several claims the one that runs, or else the one of the lowest
 * router id, goes first.
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

    /** Endpoints that are free of other work after a trial, and since when they are isolated. */
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

    /** Takes an item out, because it was cancelled or its deadline has passed. */
    fun remove(pending: PendingRequest, out: MutableList<RoutingAction>) {
        val retry = byContent[pending.request.contentDigest] ?: return
        retry.waiting -= pending
        if (retry.runningRequest === pending) retry.runningRequest = null
        if (retry.waiting.isEmpty() && retry.runningRequest == null) end(retry, out)
    }

    /** Ends the trial of [content] and returns the items that waited for its outcome. */
    fun finish(content: String, out: MutableList<RoutingAction>): List<PendingRequest> {
        val retry = byContent[content] ?: return emptyList()
        end(retry, out)
        return retry.waiting.toList()
    }

    /** The attempt of [pending] ended without a verdict; the trial goes on at another endpoint. */
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

    /** Another router claims the attempt that this one makes; it may have missed the claim. */
    fun claimReply(content: String): RoutingAction? =
        byContent[content]?.runningRequest?.let { claim(content, Claim.RUNNING) }

    fun expired(now: Duration): List<PendingRequest> =
        byContent.values.flatMap { retry -> retry.waiting.filter { it.deadline <= now } }

    /** Returns the trials that start now; each has its endpoint to itself. */
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

    /** Whether nothing else runs there, as far as own counts and load reports can tell. */
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

    /** The endpoint stays isolated until the next tick, so that the next trial needn't wait. */
    private fun end(retry: IsolatedRetry, out: MutableList<RoutingAction>) {
        retry.endpoint?.let { idleEndpoints[it] = retry.isolatedSince }
        retry.endpoint = null
        byContent -= retry.content
        out += claim(retry.content, Claim.ENDED)
    }

    private fun claim(content: String, claim: Claim): RoutingAction =
        RoutingAction.SendToPeers(RoutingMessage.ClaimAttempt(content, claim))
}

/** The error for a request whose attempts are used up, by what is known about its execution. */
internal fun errorFor(pending: PendingRequest, outcome: AttemptOutcome): ErrorKind = when {
    !pending.wasSent -> ErrorKind.NO_ENDPOINT
    !pending.request.idempotent -> ErrorKind.OUTCOME_UNKNOWN
    pending.answerTokens > 0 -> ErrorKind.ANSWER_INTERRUPTED
    outcome == AttemptOutcome.Unreachable -> ErrorKind.ENDPOINT_TIMEOUT
    else -> ErrorKind.ENDPOINT_FAILED
}
