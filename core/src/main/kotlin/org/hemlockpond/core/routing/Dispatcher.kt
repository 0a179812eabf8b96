/*
 * Chooses an endpoint for each request and follows its attempts to the end. The parts are in files
 * of their own: memory shares and loans, endpoint health, queues, and the trials of suspects.
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

/** The routing decisions of one router. All functions are called on the control thread. */
class Dispatcher(
    self: RouterId,
    domain: FailureDomain,
    private val settings: RoutingSettings = RoutingSettings()
) {
    private val endpoints = Endpoints(self, domain, settings)
    private val loans = Loans(self, endpoints, settings)
    private val suspects = Suspects(self, settings)
    private val trials = Trials(endpoints, suspects, loans, settings)
    private val reservations = Reservations(domain, endpoints, loans, settings)
    private val statements = Statements(settings)
    private val queues = ClassQueues()
    private val admission = Admission(endpoints, queues, suspects, settings)
    private val flights = Flights(endpoints, queues, trials, reservations, loans, settings)
    private val outcomes =
        Outcomes(endpoints, flights, queues, admission, suspects, trials, statements, settings)

    /** Requests that run at an endpoint. */
    val running: Int get() = flights.attempts.size

    /** Requests that wait for an endpoint. */
    val waiting: Int get() = flights.requests.size - flights.attempts.size

    /** Whether a drained router has nothing left to do. */
    val isIdle: Boolean get() = flights.requests.isEmpty()

    /** Whether answers of this attempt belong to a request that is still under way. */
    fun isCurrent(attempt: AttemptId): Boolean = attempt in flights.attempts

    fun handle(event: RoutingEvent, now: Now): List<RoutingAction> {
        val out = ArrayList<RoutingAction>(4)
        val time = now.elapsed
        when (event) {
            is RoutingEvent.Submit -> submit(event.work, time, out)

            is RoutingEvent.FirstToken ->
                current(event.attempt, event.request, time, out)
                    ?.let { flights.firstToken(it, time, out) }

            is RoutingEvent.Progress -> current(event.attempt, event.request, time, out)?.let {
                flights.firstToken(it, time, out)
                it.item.answerTokens = maxOf(it.item.answerTokens, event.answerTokens)
            }

            is RoutingEvent.Completed ->
                current(event.attempt, event.request, time, out)
                    ?.let { outcomes.completed(it, event.outcome, time, out) }

            is RoutingEvent.Cancelled -> flights.cancelled(event.request, time, out)

            is RoutingEvent.LoadReport -> endpoints[event.endpoint]?.let {
                it.report(event.heldTokens, time)
                flights.change++
                flights.dispatch(it.config.route, time, out)
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

    private fun submit(work: Work, now: Duration, out: MutableList<RoutingAction>) {
        if (work.request in flights.requests) return
        val refusal = admission.refusal(work)
        if (refusal != null) {
            out += RoutingAction.Reject(work.request, refusal)
            return
        }
        val item = admission.item(work, now)
        flights.requests[work.request] = item
        outcomes.place(item, now, out)
        if (suspects.verdict(work.contentDigest) !=
            Verdict.SUSPECT
        ) {
            flights.dispatch(work.route, now, out)
        }
    }

    /** The attempt, unless it is over or its answer names another request. */
    private fun current(
        id: AttemptId,
        request: RequestId,
        now: Duration,
        out: MutableList<RoutingAction>
    ): Attempt? {
        val attempt = flights.attempts[id]
        if (attempt?.item?.work?.request == request) return attempt
        out += RoutingAction.DropAnswer(id)
        if (attempt != null) {
            out += RoutingAction.CancelAttempt(id, attempt.endpoint.config.id)
            outcomes.completed(attempt, AttemptOutcome.Failed, now, out)
        }
        return null
    }

    private fun leaving(
        event: RoutingEvent.EndpointLeaving,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        val message = RoutingMessage.Leaving(event.endpoint, event.source, event.leaving)
        statements.send("leaving/${event.endpoint}/${event.source}", message, now, out)
        endpoints.leaving(message, now)
    }

    private fun configChanged(config: FleetConfig, now: Duration, out: MutableList<RoutingAction>) {
        admission.config = config
        endpoints.configChanged(config)
        flights.change++
        queues.ids.forEach { flights.dispatch(it, now, out) }
    }

    private fun peersChanged(
        routers: Map<RouterId, FailureDomain>,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        loans.peersChanged(routers)
        for (router in endpoints.routersSeen(routers)) {
            suspects.messages().forEach { out += RoutingAction.SendToPeer(router, it) }
            endpoints.leaving(now).forEach { out += RoutingAction.SendToPeer(router, it) }
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
                loans.asked(from, message, route != null && !queues.isEmpty(route), out)
            }

            is RoutingMessage.Loan -> loans.received(from, message, now)?.let { out += it }

            is RoutingMessage.LoanReturn -> loans.returned(from, message)

            is RoutingMessage.Suspect -> verdictReceived(from, message, now, out)

            is RoutingMessage.ClaimAttempt -> {
                suspects.claimed(from, message, now)
                if (message.claim != Claim.ENDED) {
                    trials.answerClaim(message.contentDigest)?.let { out += it }
                }
            }

            is RoutingMessage.Isolate -> endpoints[message.endpoint]?.let {
                if (message.active) {
                    it.isolatedBy[from] = now + settings.statementLapse
                } else {
                    it.isolatedBy -= from
                }
            }

            is RoutingMessage.Leaving -> endpoints.leaving(message, now)

            is RoutingMessage.LimitUsage -> return
        }
        flights.change++
        queues.ids.forEach { flights.dispatch(it, now, out) }
    }

    private fun verdictReceived(
        from: RouterId,
        message: RoutingMessage.Suspect,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        val content = message.contentDigest
        val before = suspects.verdict(content)
        val verdict = suspects.received(from, message, now)
        when {
            verdict == before -> return
            verdict == Verdict.CLEARED -> outcomes.released(content, now, out)
            else -> outcomes.withdraw(content, now, out)
        }
    }

    private fun tick(now: Duration, out: MutableList<RoutingAction>) {
        flights.change++
        suspects.tick(now)
        statements.tick(now, out)
        loans.tick(now, out)
        outcomes.findStalls(now, out)
        val expired = queues.ids.flatMap { queues.of(it)!!.expired(now) } + trials.expired(now)
        for (item in expired) flights.end(item, item.failure ?: admission.timeout(item, now), out)
        for (trial in trials.tick(now, out)) {
            flights.start(trial.running!!, trial.endpoint!!, isolated = true, now, out)
        }
        for (route in queues.ids) {
            val routeQueues = queues.of(route) ?: continue
            reservations.tick(route, routeQueues, now, out)
            flights.dispatch(route, now, out)
            routeQueues.prune()
        }
    }
}
