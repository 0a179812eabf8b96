/*
 * Tracks accepted requests and their attempts, and starts attempts on endpoints that have room.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteId

internal class ActiveRequests(
    private val endpoints: Endpoints,
    private val queues: ClassQueues,
    private val isolatedRetries: IsolatedRetries,
    private val reservations: Reservations,
    private val loans: Loans,
    private val settings: RoutingSettings
) {
    private val retryBudgets = HashMap<RouteId, RetryBudget>()
    private var lastAttempt = 0L
    val requests = HashMap<RequestId, PendingRequest>()
    val attempts = LinkedHashMap<AttemptId, Attempt>()

    /** Incremented when a blocked request may fit again, for example after an attempt has ended. */
    var changeCount = 0L

    /** Removes an attempt that has ended or is aborted and frees its capacity. */
    fun detach(attempt: Attempt) {
        attempts -= attempt.id
        attempt.endPrefill()
        attempt.endpoint.requestEnded(attempt.pending)
        attempt.pending.attempt = null
        changeCount++
    }

    /** Returns whether the request was in the queue of its class. */
    fun removeFromQueue(pending: PendingRequest): Boolean {
        reservations.release(pending)
        return queues.of(pending.request.route)?.remove(pending) ?: false
    }

    /** Ends a request with an error. */
    fun reject(pending: PendingRequest, kind: ErrorKind, out: MutableList<RoutingAction>) {
        requests -= pending.request.id
        removeFromQueue(pending)
        isolatedRetries.remove(pending, out)
        out += RoutingAction.Reject(pending.request.id, kind)
    }

    /** Starts the queued requests of a route that fit on an endpoint, in fair-queueing order. */
    fun dispatch(route: RouteId, now: Duration, out: MutableList<RoutingAction>) {
        val routeQueues = queues.of(route) ?: return
        while (true) {
            val queue = routeQueues.nextQueue(changeCount) ?: return
            val pending = queue.requests.first()
            val endpoint = endpoints.select(pending, now)
            if (endpoint == null) {
                queue.blockedAtChange = changeCount
                loans.borrow(pending, now, out)
                continue
            }
            routeQueues.dispatched(queue, pending)
            start(pending, endpoint, isIsolated = false, now, out)
        }
    }

    fun start(
        pending: PendingRequest,
        endpoint: EndpointState,
        isIsolated: Boolean,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        val attempt = Attempt(AttemptId(++lastAttempt), pending, endpoint, now, isIsolated)
        attempts[attempt.id] = attempt
        pending.attempt = attempt
        pending.attempts++
        pending.triedEndpoints += endpoint.config.id
        if (pending.attempts == 1) retryBudgetOf(pending.request.route).deposit()
        reservations.release(pending)
        endpoint.requestStarted(pending, now)
        val request = pending.request
        val id = endpoint.config.id
        val resume = pending.answerTokens
        out += RoutingAction.Dispatch(request.id, attempt.id, id, resume, request.priority)
    }

    fun firstTokenArrived(attempt: Attempt, now: Duration, out: MutableList<RoutingAction>) {
        if (attempt.hasFirstToken) return
        attempt.endPrefill()
        // Long prefills are limited per endpoint, so the next long prompt may start now.
        if (!attempt.pending.isLong) return
        changeCount++
        dispatch(attempt.pending.request.route, now, out)
    }

    /** Cancels an attempt. Its later answers are dropped. */
    fun abort(attempt: Attempt, out: MutableList<RoutingAction>) {
        out += RoutingAction.CancelAttempt(attempt.id, attempt.endpoint.config.id)
        detach(attempt)
    }

    /** Ends a request whose caller disconnected or whose stream is to be resumed later. */
    fun cancel(request: RequestId, now: Duration, out: MutableList<RoutingAction>) {
        val pending = requests.remove(request) ?: return
        pending.attempt?.let { abort(it, out) }
        removeFromQueue(pending)
        isolatedRetries.remove(pending, out)
        dispatch(pending.request.route, now, out)
    }

    fun retryBudgetOf(route: RouteId): RetryBudget =
        retryBudgets.getOrPut(route) { RetryBudget(settings.retryRatio, settings.retryBurst) }
}
