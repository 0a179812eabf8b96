/*
 * What follows from the end of an attempt: completion, a retry, or a verdict about the content.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import org.hemlockpond.core.ErrorKind

internal class Outcomes(
    private val endpoints: Endpoints,
    private val flights: Flights,
    private val queues: ClassQueues,
    private val admission: Admission,
    private val suspects: Suspects,
    private val trials: Trials,
    private val statements: Statements,
    private val settings: RoutingSettings
) {
    fun place(item: Item, now: Duration, out: MutableList<RoutingAction>) {
        when (suspects.verdict(item.work.contentDigest)) {
            Verdict.REFUSED -> flights.end(item, suspectKind(item), out)
            Verdict.SUSPECT -> trials.add(item, now, out)
            else -> queues.add(item)
        }
    }

    fun completed(
        attempt: Attempt,
        outcome: AttemptOutcome,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        flights.detach(attempt)
        val item = attempt.item
        val content = item.work.contentDigest
        val health = attempt.endpoint.health
        if (outcome != AttemptOutcome.NotSent) item.sent = true
        when (outcome) {
            is AttemptOutcome.Answered, AttemptOutcome.CallerFault -> {
                if (outcome is AttemptOutcome.Answered) health.succeeded(now)
                flights.requests -= item.work.request
                out += RoutingAction.Complete(item.work.request, attempt.id, outcome)
                if (attempt.isolated) cleared(content, now, out)
            }

            AttemptOutcome.Crashed -> {
                health.exclude(now)
                crashed(attempt, now, out)
            }

            AttemptOutcome.NotSent, AttemptOutcome.Unreachable -> {
                health.exclude(now)
                again(attempt, outcome, now, out)
            }

            is AttemptOutcome.Declined, AttemptOutcome.Failed -> {
                if (outcome is AttemptOutcome.Declined && outcome.leaving) {
                    leaving(attempt.endpoint, now, out)
                } else if (health.failed(content) && admission.mayExclude(attempt.endpoint, now)) {
                    health.exclude(now)
                }
                again(attempt, outcome, now, out)
            }
        }
        flights.dispatch(item.work.route, now, out)
    }

    private fun again(
        attempt: Attempt,
        outcome: AttemptOutcome,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        val item = attempt.item
        item.failure = failureOf(item, outcome)
        if (attempt.isolated) {
            trialFailed(item, outcome, now, out)
            return
        }
        if (mayRepeat(item) && flights.budgetOf(item.work.route).take()) {
            requeue(item, now, out)
        } else {
            flights.end(item, failureOf(item, outcome), out)
        }
    }

    /** A suspect is sent only once more, so an attempt with an unknown end was its last. */
    private fun trialFailed(
        item: Item,
        outcome: AttemptOutcome,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        val content = item.work.contentDigest
        when {
            outcome == AttemptOutcome.NotSent -> trials.again(item, now, out)

            outcome == AttemptOutcome.Unreachable -> {
                flights.end(item, failureOf(item, outcome), out)
                suspects.refused(content, now)
                announce(content, now, out)
                withdraw(content, now, out)
            }

            else -> {
                flights.end(item, failureOf(item, outcome), out)
                cleared(content, now, out)
            }
        }
    }

    private fun requeue(item: Item, now: Duration, out: MutableList<RoutingAction>) {
        item.deadline = admission.deadline(item.requestClass, now)
        place(item, now, out)
    }

    private fun mayRepeat(item: Item): Boolean =
        (item.work.idempotent || !item.sent) && item.attempts < settings.maxAttempts

    private fun crashed(attempt: Attempt, now: Duration, out: MutableList<RoutingAction>) {
        val item = attempt.item
        val content = item.work.contentDigest
        suspects.crashed(content, now)
        if (attempt.isolated) suspects.refused(content, now)
        announce(content, now, out)
        item.failure = failureOf(item, AttemptOutcome.Crashed)
        if (suspects.verdict(content) == Verdict.REFUSED) {
            flights.end(item, suspectKind(item), out)
        } else if (mayRepeat(item)) {
            val wait = settings.suspectDelay + settings.isolationWait
            item.deadline = admission.deadline(item.requestClass, now + wait)
            trials.add(item, now, out)
        } else {
            flights.end(item, failureOf(item, AttemptOutcome.Crashed), out)
        }
        withdraw(content, now, out)
    }

    /** Applies a new verdict to the flights.requests with this content that wait or run here. */
    fun withdraw(content: String, now: Duration, out: MutableList<RoutingAction>) {
        val refused = suspects.verdict(content) == Verdict.REFUSED
        val affected = flights.requests.values.filter { it.work.contentDigest == content }
        for (item in affected) {
            val attempt = item.attempt
            if (attempt != null) {
                // A call that must not run twice is left to end where it runs.
                if (!item.work.idempotent || (attempt.isolated && !refused)) continue
                flights.abort(attempt, out)
                item.sent = true
                item.failure = failureOf(item, AttemptOutcome.Crashed)
            }
            if (refused) {
                flights.end(item, suspectKind(item), out)
            } else if (flights.unqueue(item) || attempt != null) {
                trials.add(item, now, out)
            }
        }
        if (refused) trials.decided(content, out)
    }

    private fun suspectKind(item: Item): ErrorKind = when {
        !item.work.idempotent && item.sent -> ErrorKind.OUTCOME_UNKNOWN
        else -> ErrorKind.SUSPECT_REQUEST
    }

    private fun cleared(content: String, now: Duration, out: MutableList<RoutingAction>) {
        suspects.cleared(content, now)
        announce(content, now, out)
        released(content, now, out)
    }

    fun released(content: String, now: Duration, out: MutableList<RoutingAction>) {
        val items = trials.decided(content, out)
        items.forEach { queues.add(it) }
        items.map { it.work.route }.toSet().forEach { flights.dispatch(it, now, out) }
    }

    private fun announce(content: String, now: Duration, out: MutableList<RoutingAction>) =
        statements.send("suspect/$content", suspects.message(content), now, out)

    /** Gives up attempts without a first token; the endpoint gets no new work for a while. */
    fun findStalls(now: Duration, out: MutableList<RoutingAction>) {
        for (attempt in flights.attempts.values.toList()) {
            if (attempt.firstToken || flights.attempts[attempt.id] !== attempt) continue
            val item = attempt.item
            val patience = settings.firstTokenTimeout +
                settings.firstTokenPerToken * item.work.promptTokens.toDouble()
            val waited = now - attempt.started
            if (waited < patience) continue
            if (!attempt.stalled) attempt.endpoint.health.exclude(now)
            attempt.stalled = true
            val repeat = item.work.idempotent && mayRepeat(item) && !attempt.isolated &&
                flights.budgetOf(item.work.route).take()
            if (!repeat && waited < patience * settings.hardTimeoutFactor) continue
            flights.abort(attempt, out)
            item.sent = true
            item.failure = failureOf(item, AttemptOutcome.Unreachable)
            when {
                repeat -> requeue(item, now, out)
                attempt.isolated -> trialFailed(item, AttemptOutcome.Unreachable, now, out)
                else -> flights.end(item, failureOf(item, AttemptOutcome.Unreachable), out)
            }
        }
    }

    private fun leaving(endpoint: EndpointState, now: Duration, out: MutableList<RoutingAction>) {
        val id = endpoint.config.id
        val message = RoutingMessage.Leaving(id, LeavingSource.ENDPOINT, leaving = true)
        statements.send("leaving/$id/ENDPOINT", message, now, out)
        endpoints.leaving(message, now)
    }
}
