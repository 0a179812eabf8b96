/*
 * Takes each request through its stages on the control thread: contract limits, the claim of its
 * id and the copy of its reservation (ledger), tokens (budget), an endpoint (dispatcher), and the
 * bill. The claim comes before the budget, so that a retry of a finished request is answered even
 * when the budget is used up since.
 */
package org.hemlockpond.router

import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.budget.BudgetEvent
import org.hemlockpond.core.ledger.Bill
import org.hemlockpond.core.ledger.LedgerEvent
import org.hemlockpond.core.ledger.RecordedAnswer
import org.hemlockpond.core.moves.MoveEvent
import org.hemlockpond.core.moves.OutcomeResult
import org.hemlockpond.core.routing.AttemptId
import org.hemlockpond.core.routing.AttemptOutcome
import org.hemlockpond.core.routing.RoutingAction
import org.hemlockpond.core.routing.RoutingEvent
import org.hemlockpond.core.routing.RoutingRequest

/** The decision components as the flows use them; their actions come back through [Control]. */
internal interface Decisions {
    fun budget(event: BudgetEvent)

    fun ledger(event: LedgerEvent)

    fun routing(event: RoutingEvent)

    fun moves(event: MoveEvent)
}

/** Runs code on the traffic thread. */
internal fun interface Traffic {
    fun post(block: () -> Unit)
}

/** Starts attempts at endpoints. */
internal fun interface AttemptStarter {
    /** Called on the control thread; reports its end to [RequestFlows.attemptEnded]. */
    fun start(flow: RequestFlow, attempt: RunningAttempt, priority: Int)
}

/** All functions run on the control thread. */
internal class RequestFlows(
    private val state: FleetState,
    private val decisions: Decisions,
    private val traffic: Traffic,
    private val starter: AttemptStarter,
    private val clock: RouterClock,
    private val metrics: RouterMetrics
) {
    private val flows = HashMap<RequestId, RequestFlow>()
    private val attempts = HashMap<AttemptId, RequestFlow>()
    private var draining = false

    /** Requests that haven't ended. */
    val open: Int get() = flows.size

    fun drain() {
        draining = true
    }

    /** A caller's request arrived. */
    fun begin(request: CallerRequest, relay: AnswerRelay) {
        val now = clock.now()
        val refusal = when {
            draining -> ErrorKind.ROUTER_STOPPING
            request.request in flows -> ErrorKind.KEY_IN_USE
            else -> state.limits.admit(request.customer, request.reserved, now)
        }
        if (refusal != null) {
            refuse(request, relay, refusal)
            return
        }
        flows[request.request] = RequestFlow(request, relay, now.elapsed)
        decisions.ledger(
            LedgerEvent.Begin(
                request.request,
                request.customer,
                request.contentDigest,
                request.idempotent,
                request.reserved
            )
        )
    }

    /** The ledger lets the request run. */
    fun proceed(id: RequestId, takenOver: Long) {
        val flow = flows[id] ?: return
        flow.takenOver = takenOver
        flow.stage = RequestFlow.Stage.RESERVING
        if (flow.callerGone) {
            abandon(flow)
            return
        }
        val tokens = (flow.request.reserved - takenOver).coerceAtLeast(0)
        decisions.budget(BudgetEvent.Reserve(id, flow.request.customer, tokens))
    }

    /** The ledger refuses the request. */
    fun rejectClaim(id: RequestId, kind: ErrorKind) {
        val flow = flows[id] ?: return
        end(flow)
        refuse(flow.request, flow.relay, kind)
    }

    /** The ledger has the answer of an earlier attempt. */
    fun replay(id: RequestId, answer: RecordedAnswer) {
        val flow = flows[id] ?: return
        end(flow)
        traffic.post { flow.relay.replay(answer) }
    }

    /** The budget holds the tokens. */
    fun reserved(id: RequestId) {
        val flow = flows[id] ?: return
        flow.stage = RequestFlow.Stage.DISPATCHING
        if (flow.callerGone) {
            decisions.budget(BudgetEvent.Settle(id, 0))
            abandon(flow)
            return
        }
        submit(flow)
    }

    /** The budget has no tokens for the request. */
    fun refusedByBudget(id: RequestId, kind: ErrorKind) {
        val flow = flows[id] ?: return
        abandon(flow)
        refuse(flow.request, flow.relay, kind)
    }

    private fun abandon(flow: RequestFlow) {
        decisions.ledger(LedgerEvent.Abandon(flow.request.request))
        end(flow)
    }

    private fun submit(flow: RequestFlow) {
        val request = flow.request
        val version = state.versionFor(request.route, request.request, clock.now())
        flow.version = version
        decisions.routing(
            RoutingEvent.Submit(
                RoutingRequest(
                    id = request.request,
                    customer = request.customer,
                    route = request.route,
                    version = version,
                    requestClass = request.requestClass,
                    promptTokens = request.promptTokens,
                    maxAnswerTokens = request.maxAnswerTokens,
                    prefixDigest = request.prefixDigest,
                    contentDigest = request.contentDigest,
                    idempotent = request.idempotent
                )
            )
        )
    }

    /** The dispatcher chose an endpoint. */
    fun dispatch(action: RoutingAction.Dispatch) {
        val flow = flows[action.request]
        val endpoint = state.endpoint(action.endpoint)
        if (flow == null || endpoint == null) {
            attemptEnded(action.attempt, action.request, AttemptOutcome.NotSent, null)
            return
        }
        val load = state.load(flow.request.route, endpoint.domain, attempts.values)
        val attempt = RunningAttempt(action.attempt, endpoint, clock.now().elapsed, load)
        flow.attempt = attempt
        attempts[action.attempt] = flow
        starter.start(flow, attempt, action.priority)
    }

    /** The first byte of a request is about to be written to an endpoint. */
    fun sending(id: AttemptId) {
        attempts[id]?.sent = true
    }

    fun firstToken(id: AttemptId) {
        val flow = attempts[id] ?: return
        val attempt = flow.attempt?.takeIf { it.id == id } ?: return
        val now = clock.now().elapsed
        attempt.firstToken = now
        decisions.routing(RoutingEvent.FirstToken(id, flow.request.request))
        outcome(flow, attempt, OutcomeResult.FirstToken(now - attempt.dispatched))
        if (!flow.firstTokenSeen) {
            flow.firstTokenSeen = true
            metrics.firstToken(
                flow.request.customer,
                flow.request.requestClass,
                now - flow.start
            )
        }
    }

    fun progress(id: AttemptId, answerTokens: Long) {
        val flow = attempts[id] ?: return
        flow.delivered = answerTokens
        decisions.routing(RoutingEvent.Progress(id, flow.request.request, answerTokens))
    }

    /** An attempt ended. [usage] comes with a whole answer. */
    fun attemptEnded(id: AttemptId, request: RequestId, outcome: AttemptOutcome, usage: Usage?) {
        val flow = attempts.remove(id)
        if (flow != null) {
            val attempt = flow.attempt
            if (attempt?.id == id) {
                flow.attempt = null
                report(flow, attempt, outcome, usage)
            }
            if (usage != null) flow.usage = usage
        }
        decisions.routing(RoutingEvent.Completed(id, request, outcome))
    }

    private fun report(
        flow: RequestFlow,
        attempt: RunningAttempt,
        outcome: AttemptOutcome,
        usage: Usage?
    ) {
        val result = when (outcome) {
            is AttemptOutcome.Answered -> OutcomeResult.Completed

            AttemptOutcome.Failed, AttemptOutcome.Crashed, AttemptOutcome.Unreachable ->
                OutcomeResult.Failed

            else -> return
        }
        outcome(flow, attempt, result)
        val first = attempt.firstToken ?: return
        val gaps = (usage?.answerTokens ?: 0) - 1
        if (gaps > 0) {
            val mean = (clock.now().elapsed - first) / gaps.toDouble()
            outcome(flow, attempt, OutcomeResult.TokenGap(mean))
        }
    }

    private fun outcome(flow: RequestFlow, attempt: RunningAttempt, result: OutcomeResult) {
        val endpoint = attempt.endpoint
        decisions.moves(
            MoveEvent.Outcome(
                flow.request.route,
                endpoint.version,
                endpoint.domain,
                attempt.load,
                result
            )
        )
    }

    /** The dispatcher accepted an attempt's answer as the answer. */
    fun complete(action: RoutingAction.Complete) {
        val flow = flows[action.request] ?: return
        flow.stage = RequestFlow.Stage.FINISHING
        val usage = flow.usage ?: Usage(0, 0)
        val used = usage.total.coerceAtMost(flow.request.reserved)
        if (usage.total > used) {
            log(
                LogEvent.USAGE_OVER_RESERVATION,
                "request" to action.request,
                "used" to usage.total,
                "reserved" to used
            )
        }
        traffic.post {
            val answer = flow.relay.recorded(usage)
            state.post {
                settle(flow, used)
                decisions.ledger(LedgerEvent.Finish(action.request, used, answer))
            }
        }
    }

    /** The bill is safe: the last piece may go out. */
    fun release(id: RequestId, bill: Bill) {
        val flow = flows[id] ?: return
        val request = flow.request
        end(flow)
        val usage = flow.usage ?: Usage(0, 0)
        log(
            LogEvent.BILL,
            "request" to id,
            "customer" to request.customer,
            "tokens" to bill.tokens,
            "charge" to bill.charge,
            "route" to request.route
        )
        metrics.billed(request.customer, bill.charge)
        val after = clock.now().elapsed - flow.start
        metrics.answered(request.customer, request.requestClass, after)
        traffic.post { flow.relay.release(usage) }
    }

    /** The dispatcher gives the request up. */
    fun rejectByRouting(id: RequestId, kind: ErrorKind) {
        val flow = flows[id] ?: return
        flow.assumeSent()
        val answer = flow.trueKind(kind)
        if (flow.sent) {
            val used = flow.usedSoFar
            settle(flow, used)
            decisions.ledger(LedgerEvent.Interrupted(id, used))
            end(flow)
            log(LogEvent.INTERRUPTED, "request" to id, "kind" to answer.code, "billed" to used)
        } else {
            settle(flow, flow.takenOver)
            abandon(flow)
        }
        refuse(flow.request, flow.relay, answer)
    }

    /** The caller's connection closed before the end of the answer. */
    fun callerGone(id: RequestId, delivered: Long) {
        val flow = flows[id] ?: return
        flow.callerGone = true
        flow.delivered = maxOf(flow.delivered, delivered)
        // A non-idempotent call runs to its end; its answer is recorded for the retry.
        if (flow.stage != RequestFlow.Stage.DISPATCHING || !flow.request.idempotent) return
        flow.assumeSent()
        decisions.routing(RoutingEvent.Cancelled(id))
        val used = flow.usedSoFar
        settle(flow, used)
        val sent = flow.sent
        decisions.ledger(
            if (sent) LedgerEvent.Interrupted(id, used) else LedgerEvent.Abandon(id)
        )
        end(flow)
    }

    /** The reader stalled: the engine's memory is given back until the reader goes on. */
    fun cancelAtEngine(id: RequestId, delivered: Long) {
        val flow = flows[id]?.takeIf { it.stage == RequestFlow.Stage.DISPATCHING } ?: return
        flow.delivered = delivered
        decisions.routing(RoutingEvent.Cancelled(id))
    }

    /** The reader goes on: the request runs again from where it stopped. */
    fun resume(id: RequestId) {
        val flow = flows[id]?.takeIf { it.stage == RequestFlow.Stage.DISPATCHING } ?: return
        if (flow.attempt == null) submit(flow)
    }

    /** An attempt was cancelled by the dispatcher. */
    fun cancelled(id: AttemptId) {
        val flow = attempts.remove(id) ?: return
        if (flow.attempt?.id == id) flow.attempt = null
        traffic.post { flow.relay.cancelAttempt(id) }
    }

    private fun settle(flow: RequestFlow, used: Long) {
        val charge = (used - flow.takenOver).coerceAtLeast(0)
        decisions.budget(BudgetEvent.Settle(flow.request.request, charge))
    }

    private fun end(flow: RequestFlow) {
        flows.remove(flow.request.request)
        flow.attempt?.let { attempts.remove(it.id) }
        state.limits.finished(flow.request.customer)
    }

    private fun refuse(request: CallerRequest, relay: AnswerRelay, kind: ErrorKind) {
        metrics.refused(request.customer, kind)
        log(
            LogEvent.REFUSED,
            "request" to request.request,
            "customer" to request.customer,
            "kind" to kind.code
        )
        traffic.post { relay.fail(kind) }
    }
}
