/*
 * The requests under way and their attempts, and the start of an attempt where there is room.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteId

internal class Flights(
    private val endpoints: Endpoints,
    private val queues: ClassQueues,
    private val trials: Trials,
    private val reservations: Reservations,
    private val loans: Loans,
    private val settings: RoutingSettings
) {
    private val budgets = HashMap<RouteId, RetryBudget>()
    private var lastAttempt = 0L
    val requests = HashMap<RequestId, Item>()
    val attempts = LinkedHashMap<AttemptId, Attempt>()

    /** Changes whenever a request that found no room might find some. */
    var change = 0L

    fun detach(attempt: Attempt) {
        attempts -= attempt.id
        attempt.prefilled()
        attempt.endpoint.end(attempt.item)
        attempt.item.attempt = null
        change++
    }

    /** Returns whether the request was waiting in its class's queue. */
    fun unqueue(item: Item): Boolean {
        reservations.release(item)
        return queues.of(item.work.route)?.remove(item) ?: false
    }

    /** Ends a request with an error. */
    fun end(item: Item, kind: ErrorKind, out: MutableList<RoutingAction>) {
        requests -= item.work.request
        unqueue(item)
        trials.remove(item, out)
        out += RoutingAction.Reject(item.work.request, kind)
    }

    /** Starts the waiting requests of a route for which there is room, in turns by class. */
    fun dispatch(route: RouteId, now: Duration, out: MutableList<RoutingAction>) {
        val routeQueues = queues.of(route) ?: return
        while (true) {
            val queue = routeQueues.next(change) ?: return
            val item = queue.items.first()
            val endpoint = endpoints.select(item, now)
            if (endpoint == null) {
                queue.blockedAt = change
                loans.borrow(item, now, out)
                continue
            }
            routeQueues.taken(queue, item)
            start(item, endpoint, isolated = false, now, out)
        }
    }

    fun start(
        item: Item,
        endpoint: EndpointState,
        isolated: Boolean,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        val attempt = Attempt(AttemptId(++lastAttempt), item, endpoint, now, isolated)
        attempts[attempt.id] = attempt
        item.attempt = attempt
        item.attempts++
        item.tried += endpoint.config.id
        if (item.attempts == 1) budgetOf(item.work.route).firstAttempt()
        reservations.release(item)
        endpoint.start(item, now)
        val work = item.work
        val id = endpoint.config.id
        val resume = item.answerTokens
        out += RoutingAction.Dispatch(work.request, attempt.id, id, resume, work.priority)
    }

    fun firstToken(attempt: Attempt, now: Duration, out: MutableList<RoutingAction>) {
        if (attempt.firstToken) return
        attempt.prefilled()
        // The next long prompt may have waited for this.
        if (!attempt.item.long) return
        change++
        dispatch(attempt.item.work.route, now, out)
    }

    /** Stops the attempt and forgets it, so that what it still sends is dropped. */
    fun abort(attempt: Attempt, out: MutableList<RoutingAction>) {
        out += RoutingAction.CancelAttempt(attempt.id, attempt.endpoint.config.id)
        detach(attempt)
    }

    /** The caller left. */
    fun cancelled(request: RequestId, now: Duration, out: MutableList<RoutingAction>) {
        val item = requests.remove(request) ?: return
        item.attempt?.let { abort(it, out) }
        unqueue(item)
        trials.remove(item, out)
        dispatch(item.work.route, now, out)
    }

    fun budgetOf(route: RouteId): RetryBudget =
        budgets.getOrPut(route) { RetryBudget(settings.retryRatio, settings.retryBurst) }
}
