/*
 * The way of an attempt from Begin to Proceed: the home's decision, the run record of a
 * non-idempotent call, the charges of earlier attempts, and the copy of the reservation.
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

    /** Attempts with a time limit in their present phase. */
    private val timedAttempts = LinkedHashSet<Attempt>()

    /** Attempts that went on before every keeper of an earlier charge had answered. */
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

    /** Asks [home], or the next home that can be reached. */
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
        // An open attempt of a dead router has no keeper until its copy peer reports it.
        val live = priors.filter { context.directory.isLive(it.keeper) }
        if (attempt.idempotent) {
            takeOver(attempt, live)
            return
        }
        // An earlier attempt may have run, so "not run" could mislead the caller.
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

    /** The home that granted an attempt which no longer exists is told that it isn't running. */
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

    /** A home other than the one that decided holds the attempt, or found an earlier charge. */
    private fun onLateGrant(from: RouterId, attempt: Attempt, priors: List<Prior>) {
        attempt.askedHomes += from
        attempts.reporter.queueFor(attempt, from)
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
        // The copy comes first: a charge moved to an attempt that nobody knows would be lost.
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

    /** A refusal by the home itself, which holds nothing of the attempt. */
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

    /** Ends an attempt of which nothing was sent. Charges that it took over stay provisional. */
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

    /** Attempts that wait for a dead router's decision ask the next home. */
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
