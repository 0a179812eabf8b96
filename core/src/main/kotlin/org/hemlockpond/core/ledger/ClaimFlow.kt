/*
 * The steps of an attempt from Begin to Proceed: the claim at the request's home, the run record of
 * a non-idempotent call, the take-over of earlier charges, and the copy of the reservation.
 */
package org.hemlockpond.core.ledger

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RouterId

internal class ClaimFlow(
    private val context: LedgerContext,
    private val attempts: AttemptTable,
    private val records: RunRecords
) {
    private var lastAttemptNumber = 0L

    /** Attempts whose current phase may time out; see [Attempt.deadline]. */
    private val timedAttempts = LinkedHashSet<Attempt>()

    /** Attempts with a take-over that a keeper hasn't answered; [tick] sends it again. */
    private val attemptsAwaitingPriors = LinkedHashSet<Attempt>()

    fun begin(event: LedgerEvent.Begin) {
        val known = attempts.latest(event.request)
        val refusal = known?.let { refusalFor(it, event) }
        val answer = known?.takeIf { it.phase == Phase.ENDED }?.answer
        when {
            refusal != null -> context.emit(LedgerAction.Reject(event.request, refusal))

            answer != null -> context.emit(LedgerAction.Replay(event.request, answer))

            !attempts.evictIfFull() ->
                context.emit(LedgerAction.Reject(event.request, ErrorKind.OVERLOADED))

            else -> {
                val attempt = Attempt(
                    AttemptId(context.self, ++lastAttemptNumber),
                    event.request,
                    event.customer,
                    event.digest,
                    event.idempotent,
                    event.reserved
                )
                attempts.add(attempt)
                timedAttempts += attempt
                attempt.publishedReport = attempt.report()
                attempt.home = context.directory.home(event.request)
                sendClaim(attempt, attempt.home!!)
            }
        }
    }

    private fun refusalFor(known: Attempt, event: LedgerEvent.Begin): ErrorKind? = when {
        known.state != AttemptState.VOID && known.digest != event.digest -> ErrorKind.KEY_REUSED
        known.phase != Phase.ENDED -> ErrorKind.KEY_IN_USE
        else -> null
    }

    /** Sends a claim to [home], or to the failure domain's home if [home] can't be reached. */
    private fun sendClaim(attempt: Attempt, home: RouterId) {
        val directory = context.directory
        val target = when {
            directory.isReachable(home) -> home
            else -> directory.domainHome(attempt.request)
        }
        attempt.lastAskedHome = target
        attempt.askedHomes += target
        attempt.deadline = context.now + context.settings.claimTimeout
        context.send(target, LedgerMessage.Claim(attempt.report()))
    }

    private fun claimFromNextHome(attempt: Attempt) {
        val near = context.directory.domainHome(attempt.request)
        sendClaim(attempt, if (near in attempt.askedHomes) context.self else near)
    }

    fun onDecision(from: RouterId, message: LedgerMessage.Decision) {
        val attempt = attempts[message.attempt]
        when {
            message.attempt.router != context.self -> Unit

            attempt == null -> if (message.verdict == Verdict.GRANTED) reportVoid(from, message)

            attempt.phase != Phase.CLAIMING || attempt.lastAskedHome != from ->
                if (message.verdict == Verdict.GRANTED) onLateGrant(from, attempt, message.priors)

            else -> applyDecision(attempt, message)
        }
    }

    private fun applyDecision(attempt: Attempt, message: LedgerMessage.Decision) {
        when (message.verdict) {
            Verdict.IN_USE -> onHomeRefusal(attempt, ErrorKind.KEY_IN_USE)
            Verdict.REUSED -> onHomeRefusal(attempt, ErrorKind.KEY_REUSED)
            Verdict.FULL -> onHomeRefusal(attempt, ErrorKind.OVERLOADED)
            Verdict.GRANTED -> onGranted(attempt, message.priors)
        }
    }

    private fun onGranted(attempt: Attempt, priors: List<Prior>) {
        // A dead router's attempt has no keeper until the router's copy peer adopts and reports it.
        val live = priors.filter { context.directory.isLive(it.keeper) }
        if (attempt.idempotent) {
            takeOver(attempt, live)
            return
        }
        // An earlier attempt may have run, so a "not run" error could be wrong.
        attempt.storeFailureKind =
            if (priors.isEmpty()) ErrorKind.STORE_UNAVAILABLE else ErrorKind.OUTCOME_UNKNOWN
        if (!context.storeReachable) {
            reject(attempt, attempt.storeFailureKind)
            return
        }
        attempt.phase = Phase.RECORDING
        attempt.deadline = context.now + context.settings.storeTimeout
        records.create(attempt) { result ->
            when (result) {
                is RunRecords.StartResult.Created -> takeOver(attempt, live)
                is RunRecords.StartResult.Answered -> replay(attempt, result.answer)
                is RunRecords.StartResult.Refused -> reject(attempt, result.kind)
            }
        }
    }

    /**
     * Tells a home that granted a forgotten attempt that the attempt is void. Its customer and
     * digest are no longer known. The highest version keeps older reports from replacing this one.
     */
    private fun reportVoid(from: RouterId, message: LedgerMessage.Decision) {
        val report = AttemptReport(
            message.request,
            message.attempt,
            CustomerId(""),
            "",
            AttemptState.VOID,
            Long.MAX_VALUE
        )
        context.send(from, LedgerMessage.Reports(listOf(report)))
    }

    /**
     * Handles a grant outside the claiming phase or from a home other than the last one asked. That
     * home may have an entry for the attempt, or know earlier charges to take over.
     */
    private fun onLateGrant(from: RouterId, attempt: Attempt, priors: List<Prior>) {
        attempt.askedHomes += from
        attempts.reporter.queueFor(attempt, from)
        // A charge moved to an uncopied attempt would be lost if this router died.
        if (!attempt.wasQueuedForCopy) return
        for (prior in priors) {
            if (prior.attempt == attempt.id || prior.attempt in attempt.takenOverAttempts) continue
            addPendingPrior(attempt, prior)
            context.send(
                prior.keeper,
                LedgerMessage.TakeOver(attempt.request, prior.attempt, attempt.id, false)
            )
        }
    }

    private fun addPendingPrior(attempt: Attempt, prior: Prior) {
        val pendingPriors = attempt.pendingPriors ?: LinkedHashMap<AttemptId, Prior>(1)
        pendingPriors[prior.attempt] = prior
        attempt.pendingPriors = pendingPriors
        attempt.pendingPriorsSince = context.now
        attemptsAwaitingPriors += attempt
    }

    private fun takeOver(attempt: Attempt, priors: List<Prior>) {
        if (priors.isEmpty()) {
            copyReservation(attempt)
            return
        }
        attempt.phase = Phase.TAKING_OVER
        attempt.deadline = Duration.INFINITE
        for (prior in priors) addPendingPrior(attempt, prior)
        // Copied first: if this router died, a charge moved to an uncopied attempt would be lost.
        attempts.copyAndPublish(attempt) {
            if (attempt.phase == Phase.TAKING_OVER) {
                attempt.deadline = context.now + context.settings.claimTimeout
                requestTakeOvers(attempt)
            }
        }
    }

    private fun requestTakeOvers(attempt: Attempt) {
        attempt.pendingPriorsSince = context.now
        val wantsAnswer = attempt.idempotent && attempt.phase == Phase.TAKING_OVER
        for (prior in attempt.pendingPriors.orEmpty().values) {
            context.send(
                prior.keeper,
                LedgerMessage.TakeOver(attempt.request, prior.attempt, attempt.id, wantsAnswer)
            )
        }
    }

    fun onTakenOver(message: LedgerMessage.TakenOver) {
        val attempt = attempts[message.to] ?: return
        val answer = message.answer
        if (answer != null && attempt.phase == Phase.TAKING_OVER) {
            removePendingPrior(attempt, message.from)
            replay(attempt, answer)
            return
        }
        if (answer != null) return
        if (message.moved) attempts.addTakenOver(attempt, message)
        removePendingPrior(attempt, message.from)
        if (attempt.phase == Phase.TAKING_OVER &&
            attempt.pendingPriors == null
        ) {
            copyReservation(attempt)
        }
    }

    private fun removePendingPrior(attempt: Attempt, prior: AttemptId) {
        val pendingPriors = attempt.pendingPriors ?: return
        pendingPriors.remove(prior)
        if (pendingPriors.isEmpty()) {
            attempt.pendingPriors = null
            attemptsAwaitingPriors.remove(attempt)
        }
    }

    private fun copyReservation(attempt: Attempt) {
        attempt.phase = Phase.COPYING
        timedAttempts.remove(attempt)
        attempts.sender.queueCopy(attempt)
        attempts.sender.whenCopied(needsCommit = false) {
            if (attempt.phase == Phase.COPYING) {
                attempt.phase = Phase.RUNNING
                attempt.takenOverAtProceed = attempt.takenOver
                context.emit(LedgerAction.Proceed(attempt.request, attempt.takenOver))
                val home = context.directory.home(attempt.request)
                if (attempt.lastAskedHome != home) attempts.reporter.requeue(attempt)
            }
        }
    }

    /** Handles a refusal by the last home asked, which has no entry for the attempt. */
    private fun onHomeRefusal(attempt: Attempt, kind: ErrorKind) {
        attempt.askedHomes.remove(attempt.lastAskedHome)
        if (attempt.askedHomes.isEmpty()) {
            timedAttempts.remove(attempt)
            attempt.phase = Phase.ENDED
            attempts.forget(attempt)
            context.emit(LedgerAction.Reject(attempt.request, kind))
        } else {
            reject(attempt, kind)
        }
    }

    private fun reject(attempt: Attempt, kind: ErrorKind) {
        endUnsent(attempt)
        context.emit(LedgerAction.Reject(attempt.request, kind))
    }

    private fun replay(attempt: Attempt, answer: RecordedAnswer) {
        endUnsent(attempt)
        context.emit(LedgerAction.Replay(attempt.request, answer))
    }

    /** Ends an attempt that sent nothing to an endpoint. Charges it took over stay provisional. */
    fun endUnsent(attempt: Attempt) {
        timedAttempts.remove(attempt)
        if (!attempt.idempotent && attempt.recordRevision > 0) records.markNotRun(attempt)
        attempt.phase = Phase.ENDED
        attempt.endedAt = context.now
        attempt.state =
            if (attempt.takenOverAttempts.isEmpty()) AttemptState.VOID else AttemptState.HELD
        attempt.total = attempt.takenOver
        if (attempt.wasQueuedForCopy) {
            attempts.copyAndPublish(attempt)
        } else {
            attempt.version++
            attempts.reporter.publish(attempt, attempt.report())
        }
    }

    fun tick() {
        for (attempt in timedAttempts.filter { it.deadline <= context.now }) {
            when (attempt.phase) {
                Phase.CLAIMING -> claimFromNextHome(attempt)

                Phase.RECORDING -> {
                    records.giveUp(attempt)
                    reject(attempt, attempt.storeFailureKind)
                }

                // The attempt proceeds; take-overs without an answer are repeated below.
                Phase.TAKING_OVER -> copyReservation(attempt)

                else -> timedAttempts.remove(attempt)
            }
        }
        if (attemptsAwaitingPriors.isEmpty()) return
        for (attempt in attemptsAwaitingPriors.toList()) {
            val since = context.now - attempt.pendingPriorsSince
            if (since < context.settings.repeatDelay) continue
            attempt.pendingPriors?.values?.removeIf { !context.directory.isLive(it.keeper) }
            if (attempt.pendingPriors.isNullOrEmpty()) {
                attempt.pendingPriors = null
                attemptsAwaitingPriors.remove(attempt)
            } else if (attempt.wasQueuedForCopy) {
                requestTakeOvers(attempt)
            }
        }
    }

    /** Sends the claims that wait for the decision of the dead [router] to the next home. */
    fun routerDied(router: RouterId) {
        for (attempt in timedAttempts.toList()) {
            if (attempt.phase == Phase.CLAIMING &&
                attempt.lastAskedHome == router
            ) {
                claimFromNextHome(attempt)
            }
        }
    }
}
