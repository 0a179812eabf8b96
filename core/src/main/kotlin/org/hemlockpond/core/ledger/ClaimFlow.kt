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
    private val keeper: Keeper,
    private val records: RunRecords
) {
    private var numbers = 0L

    /** Attempts with a time limit in their present phase. */
    private val waiting = LinkedHashSet<Attempt>()

    /** Attempts that went on before every keeper of an earlier charge had answered. */
    private val unanswered = LinkedHashSet<Attempt>()

    fun begin(event: LedgerEvent.Begin) {
        val known = keeper.current(event.request)
        val refusal = known?.let { refusalBy(it, event) }
        val answer = known?.takeIf { it.phase == Phase.ENDED }?.answer
        when {
            refusal != null -> context.emit(LedgerAction.Reject(event.request, refusal))

            answer != null -> context.emit(LedgerAction.Replay(event.request, answer))

            !keeper.makeRoom() ->
                context.emit(LedgerAction.Reject(event.request, ErrorKind.OVERLOADED))

            else -> {
                val attempt = Attempt(
                    AttemptId(context.self, ++numbers),
                    event.request,
                    event.customer,
                    event.digest,
                    event.idempotent,
                    event.reserved
                )
                keeper.add(attempt)
                waiting += attempt
                attempt.published = attempt.report()
                attempt.home = context.directory.home(event.request)
                ask(attempt, attempt.home!!)
            }
        }
    }

    private fun refusalBy(known: Attempt, event: LedgerEvent.Begin): ErrorKind? = when {
        known.state != AttemptState.VOID && known.digest != event.digest -> ErrorKind.KEY_REUSED
        known.phase != Phase.ENDED -> ErrorKind.KEY_IN_USE
        else -> null
    }

    /** Asks [home], or the next home that can be reached. */
    private fun ask(attempt: Attempt, home: RouterId) {
        val directory = context.directory
        val target = when {
            directory.isReachable(home) -> home
            else -> directory.domainHome(attempt.request)
        }
        attempt.decider = target
        attempt.asked += target
        attempt.deadline = context.now + context.settings.claimLimit
        context.send(target, LedgerMessage.Claim(attempt.report()))
    }

    private fun askNext(attempt: Attempt) {
        val near = context.directory.domainHome(attempt.request)
        ask(attempt, if (near in attempt.asked) context.self else near)
    }

    fun onDecision(from: RouterId, message: LedgerMessage.Decision) {
        val attempt = keeper[message.attempt]
        when {
            message.attempt.router != context.self -> Unit

            attempt == null -> if (message.verdict == Verdict.GRANTED) disown(from, message)

            attempt.phase != Phase.CLAIMING || attempt.decider != from ->
                if (message.verdict == Verdict.GRANTED) lateGrant(from, attempt, message.priors)

            else -> decided(attempt, message)
        }
    }

    private fun decided(attempt: Attempt, message: LedgerMessage.Decision) {
        when (message.verdict) {
            Verdict.IN_USE -> refuse(attempt, ErrorKind.KEY_IN_USE)
            Verdict.REUSED -> refuse(attempt, ErrorKind.KEY_REUSED)
            Verdict.FULL -> refuse(attempt, ErrorKind.OVERLOADED)
            Verdict.GRANTED -> granted(attempt, message.priors)
        }
    }

    private fun granted(attempt: Attempt, priors: List<Prior>) {
        // An open attempt of a dead router has no keeper until its copy peer reports it.
        val live = priors.filter { context.directory.isLive(it.keeper) }
        if (attempt.idempotent) {
            take(attempt, live)
            return
        }
        // An earlier attempt may have run, so "not run" could mislead the caller.
        attempt.withoutStore =
            if (priors.isEmpty()) ErrorKind.STORE_UNAVAILABLE else ErrorKind.OUTCOME_UNKNOWN
        if (!context.storeReachable) {
            reject(attempt, attempt.withoutStore)
            return
        }
        attempt.phase = Phase.RECORDING
        attempt.deadline = context.now + context.settings.storeLimit
        records.start(attempt) { result ->
            when (result) {
                is RunRecords.Started.Ours -> take(attempt, live)
                is RunRecords.Started.Answered -> replay(attempt, result.answer)
                is RunRecords.Started.Refused -> reject(attempt, result.kind)
            }
        }
    }

    /** The home that granted an attempt which no longer exists is told that it isn't running. */
    private fun disown(from: RouterId, message: LedgerMessage.Decision) {
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
    private fun lateGrant(from: RouterId, attempt: Attempt, priors: List<Prior>) {
        attempt.asked += from
        keeper.reporter.inform(attempt, from)
        if (!attempt.copied) return
        for (prior in priors) {
            if (prior.attempt == attempt.id || prior.attempt in attempt.took) continue
            await(attempt, prior)
            context.send(
                prior.keeper,
                LedgerMessage.TakeOver(attempt.request, prior.attempt, attempt.id, false)
            )
        }
    }

    private fun await(attempt: Attempt, prior: Prior) {
        val awaiting = attempt.awaiting ?: LinkedHashMap<AttemptId, Prior>(1)
        awaiting[prior.attempt] = prior
        attempt.awaiting = awaiting
        attempt.awaitingSince = context.now
        unanswered += attempt
    }

    private fun take(attempt: Attempt, priors: List<Prior>) {
        if (priors.isEmpty()) {
            copy(attempt)
            return
        }
        attempt.phase = Phase.TAKING
        attempt.deadline = Duration.INFINITE
        for (prior in priors) await(attempt, prior)
        // The copy comes first: a charge moved to an attempt that nobody knows would be lost.
        keeper.changed(attempt) {
            if (attempt.phase == Phase.TAKING) {
                attempt.deadline = context.now + context.settings.claimLimit
                askKeepers(attempt)
            }
        }
    }

    private fun askKeepers(attempt: Attempt) {
        attempt.awaitingSince = context.now
        val wantsAnswer = attempt.idempotent && attempt.phase == Phase.TAKING
        for (prior in attempt.awaiting.orEmpty().values) {
            context.send(
                prior.keeper,
                LedgerMessage.TakeOver(attempt.request, prior.attempt, attempt.id, wantsAnswer)
            )
        }
    }

    fun onTakenOver(message: LedgerMessage.TakenOver) {
        val attempt = keeper[message.to] ?: return
        val answer = message.answer
        if (answer != null && attempt.phase == Phase.TAKING) {
            answered(attempt, message.from)
            replay(attempt, answer)
            return
        }
        if (answer != null) return
        if (message.moved) keeper.addTakenOver(attempt, message)
        answered(attempt, message.from)
        if (attempt.phase == Phase.TAKING && attempt.awaiting == null) copy(attempt)
    }

    private fun answered(attempt: Attempt, prior: AttemptId) {
        val awaiting = attempt.awaiting ?: return
        awaiting.remove(prior)
        if (awaiting.isEmpty()) {
            attempt.awaiting = null
            unanswered.remove(attempt)
        }
    }

    private fun copy(attempt: Attempt) {
        attempt.phase = Phase.COPYING
        waiting.remove(attempt)
        keeper.sender.changed(attempt)
        keeper.sender.whenCopied(needsCommit = false) {
            if (attempt.phase == Phase.COPYING) {
                attempt.phase = Phase.RUNNING
                attempt.announced = attempt.takenOver
                context.emit(LedgerAction.Proceed(attempt.request, attempt.takenOver))
                val home = context.directory.home(attempt.request)
                if (attempt.decider != home) keeper.reporter.renew(attempt)
            }
        }
    }

    /** A refusal by the home itself, which holds nothing of the attempt. */
    private fun refuse(attempt: Attempt, kind: ErrorKind) {
        attempt.asked.remove(attempt.decider)
        if (attempt.asked.isEmpty()) {
            waiting.remove(attempt)
            attempt.phase = Phase.ENDED
            keeper.forget(attempt)
            context.emit(LedgerAction.Reject(attempt.request, kind))
        } else {
            reject(attempt, kind)
        }
    }

    private fun reject(attempt: Attempt, kind: ErrorKind) {
        end(attempt)
        context.emit(LedgerAction.Reject(attempt.request, kind))
    }

    private fun replay(attempt: Attempt, answer: RecordedAnswer) {
        end(attempt)
        context.emit(LedgerAction.Replay(attempt.request, answer))
    }

    /** Ends an attempt of which nothing was sent. Charges that it took over stay provisional. */
    fun end(attempt: Attempt) {
        waiting.remove(attempt)
        if (!attempt.idempotent && attempt.recordRevision > 0) records.notRun(attempt)
        attempt.phase = Phase.ENDED
        attempt.endedAt = context.now
        attempt.state = if (attempt.took.isEmpty()) AttemptState.VOID else AttemptState.HELD
        attempt.total = attempt.takenOver
        if (attempt.copied) {
            keeper.changed(attempt)
        } else {
            attempt.version++
            keeper.reporter.publish(attempt, attempt.report())
        }
    }

    fun tick() {
        for (attempt in waiting.filter { it.deadline <= context.now }) {
            when (attempt.phase) {
                Phase.CLAIMING -> askNext(attempt)

                Phase.RECORDING -> {
                    records.giveUp(attempt)
                    reject(attempt, attempt.withoutStore)
                }

                Phase.TAKING -> copy(attempt)

                else -> waiting.remove(attempt)
            }
        }
        if (unanswered.isEmpty()) return
        for (attempt in unanswered.toList()) {
            val since = context.now - attempt.awaitingSince
            if (since < context.settings.repeatAfter) continue
            attempt.awaiting?.values?.removeIf { !context.directory.isLive(it.keeper) }
            if (attempt.awaiting.isNullOrEmpty()) {
                attempt.awaiting = null
                unanswered.remove(attempt)
            } else if (attempt.copied) {
                askKeepers(attempt)
            }
        }
    }

    /** Attempts that wait for a dead router's decision ask the next home. */
    fun routerDied(router: RouterId) {
        for (attempt in waiting.toList()) {
            if (attempt.phase == Phase.CLAIMING && attempt.decider == router) askNext(attempt)
        }
    }
}
