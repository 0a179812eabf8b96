/*
 * Chooses an endpoint for each request and tracks its attempts until they end. The parts have files
 * of their own: memory shares and loans, endpoint health, queues, and isolated retries of suspect
 * content.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.RouterId

/** Makes the routing decisions of one router. All functions must run on the control thread. */
class Dispatcher(
    self: RouterId,
    domain: FailureDomain,
    private val settings: RoutingSettings = RoutingSettings()
) {
    private val endpoints = Endpoints(self, domain, settings)
    private val loans = Loans(self, endpoints, settings)
    private val suspects = Suspects(self, settings)
    private val isolatedRetries = IsolatedRetries(endpoints, suspects, loans, settings)
    private val reservations = Reservations(domain, endpoints, loans, settings)
    private val repeatedMessages = RepeatedMessages(settings)
    private val queues = ClassQueues()
    private val admission = Admission(endpoints, queues, suspects, settings)
    private val active =
        ActiveRequests(endpoints, queues, isolatedRetries, reservations, loans, settings)
    private val outcomeHandler = OutcomeHandler(
        endpoints,
        active,
        queues,
        admission,
        suspects,
        isolatedRetries,
        repeatedMessages,
        settings
    )

    /** Number of requests that run at an endpoint. */
    val running: Int get() = active.attempts.size

    /** Number of requests that wait for an endpoint. */
    val waiting: Int get() = active.requests.size - active.attempts.size

    /** Whether no accepted request is left; a draining router may then stop. */
    val isIdle: Boolean get() = active.requests.isEmpty()

    /** Whether the attempt is still running, so that its answers are passed on. */
    fun isCurrent(attempt: AttemptId): Boolean = attempt in active.attempts

    /** Applies [event] and returns the actions that the router has to carry out, in order. */
    fun handle(event: RoutingEvent, now: Now): List<RoutingAction> {
        val out = ArrayList<RoutingAction>(4)
        val time = now.elapsed
        when (event) {
            is RoutingEvent.Submit -> submit(event.request, time, out)

            is RoutingEvent.FirstToken ->
                current(event.attempt, event.request, time, out)
                    ?.let { active.firstTokenArrived(it, time, out) }

            is RoutingEvent.Progress -> current(event.attempt, event.request, time, out)?.let {
                active.firstTokenArrived(it, time, out)
                it.pending.answerTokens = maxOf(it.pending.answerTokens, event.answerTokens)
            }

            is RoutingEvent.Completed ->
                current(event.attempt, event.request, time, out)
                    ?.let { outcomeHandler.attemptEnded(it, event.outcome, time, out) }

            is RoutingEvent.Cancelled -> active.cancel(event.request, time, out)

            is RoutingEvent.LoadReport -> endpoints[event.endpoint]?.let {
                it.recordReport(event.heldTokens, time)
                active.changeCount++
                active.dispatch(it.config.route, time, out)
            }

            is RoutingEvent.EndpointLeaving -> leaving(event, time, out)

            is RoutingEvent.ConfigChanged -> configChanged(event.config, time, out)

            is RoutingEvent.PeersChanged -> peersChanged(event.routers, time, out)

            is RoutingEvent.RouterDied -> endpoints.routerDied(event.router)

            is RoutingEvent.PeerReceived -> received(event.from, event.message, time, out)

            RoutingEvent.Tick -> tick(time, out)

            RoutingEvent.Drain -> admission.draining = true
        }
        return out
    }

    private fun submit(request: RoutingRequest, now: Duration, out: MutableList<RoutingAction>) {
        if (request.id in active.requests) return
        val refusal = admission.refusal(request)
        if (refusal != null) {
            out += RoutingAction.Reject(request.id, refusal)
            return
        }
        val pending = admission.pendingRequest(request, now)
        active.requests[request.id] = pending
        outcomeHandler.enqueue(pending, now, out)
        if (suspects.verdict(request.contentDigest) !=
            Verdict.SUSPECT
        ) {
            active.dispatch(request.route, now, out)
        }
    }

    /**
     * Returns the running attempt, or drops the answer if it has ended or names another request.
     */
    private fun current(
        id: AttemptId,
        request: RequestId,
        now: Duration,
        out: MutableList<RoutingAction>
    ): Attempt? {
        val attempt = active.attempts[id]
        if (attempt?.pending?.request?.id == request) return attempt
        out += RoutingAction.DropAnswer(id)
        if (attempt != null) {
            out += RoutingAction.CancelAttempt(id, attempt.endpoint.config.id)
            outcomeHandler.attemptEnded(attempt, AttemptOutcome.Failed, now, out)
        }
        return null
    }

    private fun leaving(
        event: RoutingEvent.EndpointLeaving,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        val message = RoutingMessage.Leaving(event.endpoint, event.source, event.leaving)
        repeatedMessages.send("leaving/${event.endpoint}/${event.source}", message, now, out)
        endpoints.setLeaving(message, now)
    }

    private fun configChanged(config: FleetConfig, now: Duration, out: MutableList<RoutingAction>) {
        admission.config = config
        endpoints.configChanged(config)
        active.changeCount++
        queues.ids.forEach { active.dispatch(it, now, out) }
    }

    private fun peersChanged(
        routers: Map<RouterId, FailureDomain>,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        loans.peersChanged(routers)
        for (router in endpoints.routersSeen(routers)) {
            suspects.verdictMessages().forEach { out += RoutingAction.SendToPeer(router, it) }
            endpoints.leavingMessages(now).forEach { out += RoutingAction.SendToPeer(router, it) }
        }
    }

    private fun received(
        from: RouterId,
        message: RoutingMessage,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        when (message) {
            is RoutingMessage.BorrowRequest -> {
                val route = endpoints[message.endpoint]?.config?.route
                loans.requestReceived(from, message, route != null && !queues.isEmpty(route), out)
            }

            is RoutingMessage.Loan -> loans.loanReceived(from, message, now)?.let { out += it }

            is RoutingMessage.LoanReturn -> loans.returnReceived(from, message)

            is RoutingMessage.Suspect -> verdictReceived(from, message, now, out)

            is RoutingMessage.ClaimAttempt -> {
                suspects.receiveClaim(from, message, now)
                if (message.claim != Claim.ENDED) {
                    isolatedRetries.claimReply(message.contentDigest)?.let { out += it }
                }
            }

            is RoutingMessage.Isolate -> endpoints[message.endpoint]?.let {
                if (message.active) {
                    it.isolatedBy[from] = now + settings.claimValidity
                } else {
                    it.isolatedBy -= from
                }
            }

            is RoutingMessage.Leaving -> endpoints.setLeaving(message, now)

            is RoutingMessage.LimitUsage -> return
        }
        active.changeCount++
        queues.ids.forEach { active.dispatch(it, now, out) }
    }

    private fun verdictReceived(
        from: RouterId,
        message: RoutingMessage.Suspect,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        val content = message.contentDigest
        val before = suspects.verdict(content)
        val verdict = suspects.receiveVerdict(from, message, now)
        when {
            verdict == before -> return
            verdict == Verdict.CLEARED -> outcomeHandler.resumeCleared(content, now, out)
            else -> outcomeHandler.applyVerdict(content, now, out)
        }
    }

    private fun tick(now: Duration, out: MutableList<RoutingAction>) {
        active.changeCount++
        suspects.tick(now)
        repeatedMessages.tick(now, out)
        loans.tick(now, out)
        outcomeHandler.handleFirstTokenTimeouts(now, out)
        val expired =
            queues.ids.flatMap { queues.of(it)!!.expired(now) } + isolatedRetries.expired(now)
        for (pending in expired) {
            active.reject(pending, pending.lastError ?: admission.timeoutError(pending, now), out)
        }
        for (retry in isolatedRetries.tick(now, out)) {
            active.start(retry.runningRequest!!, retry.endpoint!!, isIsolated = true, now, out)
        }
        for (route in queues.ids) {
            val routeQueues = queues.of(route) ?: continue
            reservations.tick(route, routeQueues, now, out)
            active.dispatch(route, now, out)
            routeQueues.prune()
        }
    }
}
