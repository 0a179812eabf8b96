/*
 * Handles the end of an attempt: completes, retries or rejects the request, and records a verdict
 * about its content after a crash.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import org.hemlockpond.core.ErrorKind

internal class OutcomeHandler(
    private val endpoints: Endpoints,
    private val active: ActiveRequests,
    private val queues: ClassQueues,
    private val admission: Admission,
    private val suspects: Suspects,
    private val isolatedRetries: IsolatedRetries,
    private val repeatedMessages: RepeatedMessages,
    private val settings: RoutingSettings
) {
    fun enqueue(pending: PendingRequest, now: Duration, out: MutableList<RoutingAction>) {
        when (suspects.verdict(pending.request.contentDigest)) {
            Verdict.REFUSED -> active.reject(pending, suspectError(pending), out)
            Verdict.SUSPECT -> isolatedRetries.add(pending, now, out)
            else -> queues.add(pending)
        }
    }

    fun attemptEnded(
        attempt: Attempt,
        outcome: AttemptOutcome,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        active.detach(attempt)
        val pending = attempt.pending
        val content = pending.request.contentDigest
        val health = attempt.endpoint.health
        if (outcome != AttemptOutcome.NotSent) pending.wasSent = true
        when (outcome) {
            is AttemptOutcome.Answered, AttemptOutcome.CallerFault -> {
                if (outcome is AttemptOutcome.Answered) health.recordSuccess(now)
                active.requests -= pending.request.id
                out += RoutingAction.Complete(pending.request.id, attempt.id, outcome)
                if (attempt.isIsolated) handleClearance(content, now, out)
            }

            AttemptOutcome.Crashed -> {
                health.exclude(now)
                handleCrash(attempt, now, out)
            }

            AttemptOutcome.NotSent, AttemptOutcome.Unreachable -> {
                health.exclude(now)
                retryOrReject(attempt, outcome, now, out)
            }

            is AttemptOutcome.Declined, AttemptOutcome.Failed -> {
                if (outcome is AttemptOutcome.Declined && outcome.leaving) {
                    endpointLeaves(attempt.endpoint, now, out)
                } else if (health.recordFailure(content) &&
                    admission.mayExclude(attempt.endpoint, now)
                ) {
                    health.exclude(now)
                }
                retryOrReject(attempt, outcome, now, out)
            }
        }
        active.dispatch(pending.request.route, now, out)
    }

    private fun retryOrReject(
        attempt: Attempt,
        outcome: AttemptOutcome,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        val pending = attempt.pending
        pending.lastError = errorFor(pending, outcome)
        if (attempt.isIsolated) {
            isolatedRetryFailed(pending, outcome, now, out)
            return
        }
        if (mayRetry(pending) && active.retryBudgetOf(pending.request.route).tryWithdraw()) {
            requeue(pending, now, out)
        } else {
            active.reject(pending, errorFor(pending, outcome), out)
        }
    }

    /** Suspect content is retried only once, so a retry with an unknown outcome isn't repeated. */
    private fun isolatedRetryFailed(
        pending: PendingRequest,
        outcome: AttemptOutcome,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        val content = pending.request.contentDigest
        when {
            outcome == AttemptOutcome.NotSent ->
                isolatedRetries.retryOnOtherEndpoint(pending, now, out)

            outcome == AttemptOutcome.Unreachable -> {
                active.reject(pending, errorFor(pending, outcome), out)
                suspects.recordRefusal(content, now)
                sendVerdict(content, now, out)
                applyVerdict(content, now, out)
            }

            else -> {
                active.reject(pending, errorFor(pending, outcome), out)
                handleClearance(content, now, out)
            }
        }
    }

    private fun requeue(pending: PendingRequest, now: Duration, out: MutableList<RoutingAction>) {
        pending.deadline = admission.deadline(pending.requestClass, now)
        enqueue(pending, now, out)
    }

    private fun mayRetry(pending: PendingRequest): Boolean =
        (pending.request.idempotent || !pending.wasSent) && pending.attempts < settings.maxAttempts

    private fun handleCrash(attempt: Attempt, now: Duration, out: MutableList<RoutingAction>) {
        val pending = attempt.pending
        val content = pending.request.contentDigest
        suspects.recordCrash(content, now)
        if (attempt.isIsolated) suspects.recordRefusal(content, now)
        sendVerdict(content, now, out)
        pending.lastError = errorFor(pending, AttemptOutcome.Crashed)
        if (suspects.verdict(content) == Verdict.REFUSED) {
            active.reject(pending, suspectError(pending), out)
        } else if (mayRetry(pending)) {
            val wait = settings.suspectDelay + settings.maxIsolationWait
            pending.deadline = admission.deadline(pending.requestClass, now + wait)
            isolatedRetries.add(pending, now, out)
        } else {
            active.reject(pending, errorFor(pending, AttemptOutcome.Crashed), out)
        }
        applyVerdict(content, now, out)
    }

    /** Applies a new verdict to the requests with this content that wait or run at this router. */
    fun applyVerdict(content: String, now: Duration, out: MutableList<RoutingAction>) {
        val refused = suspects.verdict(content) == Verdict.REFUSED
        val affected = active.requests.values.filter { it.request.contentDigest == content }
        for (pending in affected) {
            val attempt = pending.attempt
            if (attempt != null) {
                // A non-idempotent request isn't aborted, because it can't be retried.
                if (!pending.request.idempotent || (attempt.isIsolated && !refused)) continue
                active.abort(attempt, out)
                pending.wasSent = true
                pending.lastError = errorFor(pending, AttemptOutcome.Crashed)
            }
            if (refused) {
                active.reject(pending, suspectError(pending), out)
            } else if (active.removeFromQueue(pending) || attempt != null) {
                isolatedRetries.add(pending, now, out)
            }
        }
        if (refused) isolatedRetries.finish(content, out)
    }

    private fun suspectError(pending: PendingRequest): ErrorKind = when {
        !pending.request.idempotent && pending.wasSent -> ErrorKind.OUTCOME_UNKNOWN
        else -> ErrorKind.SUSPECT_REQUEST
    }

    private fun handleClearance(content: String, now: Duration, out: MutableList<RoutingAction>) {
        suspects.recordClearance(content, now)
        sendVerdict(content, now, out)
        resumeCleared(content, now, out)
    }

    fun resumeCleared(content: String, now: Duration, out: MutableList<RoutingAction>) {
        val cleared = isolatedRetries.finish(content, out)
        cleared.forEach { queues.add(it) }
        cleared.map { it.request.route }.toSet().forEach { active.dispatch(it, now, out) }
    }

    private fun sendVerdict(content: String, now: Duration, out: MutableList<RoutingAction>) =
        repeatedMessages.send("suspect/$content", suspects.verdictMessage(content), now, out)

    /**
     * Excludes endpoints that exceed the first-token timeout, and retries or rejects the requests.
     */
    fun handleFirstTokenTimeouts(now: Duration, out: MutableList<RoutingAction>) {
        for (attempt in active.attempts.values.toList()) {
            if (attempt.hasFirstToken || active.attempts[attempt.id] !== attempt) continue
            val pending = attempt.pending
            val timeout = settings.firstTokenTimeout +
                settings.firstTokenTimeoutPerToken * pending.request.promptTokens.toDouble()
            val waited = now - attempt.startedAt
            if (waited < timeout) continue
            if (!attempt.timedOut) attempt.endpoint.health.exclude(now)
            attempt.timedOut = true
            val mayRetryNow = pending.request.idempotent && mayRetry(pending) &&
                !attempt.isIsolated &&
                active.retryBudgetOf(pending.request.route).tryWithdraw()
            if (!mayRetryNow && waited < timeout * settings.hardTimeoutFactor) continue
            active.abort(attempt, out)
            pending.wasSent = true
            pending.lastError = errorFor(pending, AttemptOutcome.Unreachable)
            when {
                mayRetryNow -> requeue(pending, now, out)

                attempt.isIsolated ->
                    isolatedRetryFailed(pending, AttemptOutcome.Unreachable, now, out)

                else -> active.reject(pending, errorFor(pending, AttemptOutcome.Unreachable), out)
            }
        }
    }

    private fun endpointLeaves(
        endpoint: EndpointState,
        now: Duration,
        out: MutableList<RoutingAction>
    ) {
        val id = endpoint.config.id
        val message = RoutingMessage.Leaving(id, LeavingSource.ENDPOINT, leaving = true)
        repeatedMessages.send("leaving/$id/ENDPOINT", message, now, out)
        endpoints.setLeaving(message, now)
    }
}
