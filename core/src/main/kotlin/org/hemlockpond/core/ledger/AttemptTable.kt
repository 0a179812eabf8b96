/*
 * The keeper's part of the ledger: the attempts of this router and those adopted from dead routers.
 * Only the keeper moves or credits the charge of an attempt. It reports a change only after the
 * change is copied, so the copy peer that becomes the keeper after its death has the same state.
 */
package org.hemlockpond.core.ledger

import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

internal class AttemptTable(private val context: LedgerContext) {
    private val attemptsById = LinkedHashMap<AttemptId, Attempt>()
    private val latestByRequest = HashMap<RequestId, Attempt>()
    private val answeredAttempts = ArrayDeque<Attempt>()
    private var answerChars = 0L

    val reporter = Reporter(context)
    val sender = CopySender(context) { attemptsById.values }
    val size: Int get() = attemptsById.size

    operator fun get(id: AttemptId): Attempt? = attemptsById[id]

    /** The latest attempt of this router for [request]. */
    fun latest(request: RequestId): Attempt? = latestByRequest[request]

    fun attempts(): Collection<Attempt> = attemptsById.values

    fun add(attempt: Attempt) {
        attemptsById[attempt.id] = attempt
        latestByRequest[attempt.request] = attempt
    }

    fun forget(attempt: Attempt) {
        attemptsById.remove(attempt.id)
        latestByRequest.remove(attempt.request, attempt)
        reporter.remove(attempt.id)
        dropAnswer(attempt)
    }

    /** Copies the current state of [attempt], then reports it to its homes and runs [then]. */
    fun copyAndPublish(attempt: Attempt, then: () -> Unit = {}) {
        attempt.version++
        sender.queueCopy(attempt)
        val report = attempt.report()
        sender.whenCopied(needsCommit = true) {
            reporter.publish(attempt, report)
            then()
        }
    }

    /** Stores an answer for replay; evicts the oldest answers beyond the memory limit. */
    fun keepAnswer(attempt: Attempt, answer: RecordedAnswer?) {
        if (answer == null || answer.body.length > context.settings.maxAnswerChars) return
        attempt.answer = answer
        answeredAttempts += attempt
        answerChars += answer.body.length
        while (answerChars > context.settings.maxTotalAnswerChars) {
            dropAnswer(answeredAttempts.removeFirst())
        }
    }

    private fun dropAnswer(attempt: Attempt) {
        answerChars -= attempt.answer?.body?.length ?: 0
        attempt.answer = null
    }

    fun onTakeOver(from: RouterId, message: LedgerMessage.TakeOver) {
        val attempt = attemptsById[message.from]
        val answer = attempt?.answer
        when {
            // No charge is moved to an attempt of a dead router.
            context.directory.isDead(message.to.router) -> Unit

            attempt == null -> sendNotMoved(from, message)

            attempt.movedTo == message.to && attempt.state == AttemptState.MOVED ->
                // Otherwise answered when the move has been copied.
                if (attempt.isMoveCopied) sendMoved(from, message, attempt)

            // The attempt hasn't ended; the claimant repeats the message.
            attempt.phase != Phase.ENDED -> Unit

            answer != null && message.wantsAnswer -> context.send(
                from,
                LedgerMessage.TakenOver(
                    message.request,
                    message.from,
                    message.to,
                    moved = false,
                    answer = answer
                )
            )

            attempt.isCharged() && message.from != message.to -> {
                attempt.state = AttemptState.MOVED
                attempt.movedTo = message.to
                attempt.isMoveCopied = false
                copyAndPublish(attempt) {
                    attempt.isMoveCopied = true
                    sendMoved(from, message, attempt)
                }
            }

            else -> sendNotMoved(from, message)
        }
    }

    private fun Attempt.isCharged() = state == AttemptState.DONE || state == AttemptState.HELD

    private fun sendNotMoved(to: RouterId, message: LedgerMessage.TakeOver) = context.send(
        to,
        LedgerMessage.TakenOver(message.request, message.from, message.to, moved = false)
    )

    private fun sendMoved(to: RouterId, message: LedgerMessage.TakeOver, attempt: Attempt) =
        context.send(
            to,
            LedgerMessage.TakenOver(
                message.request,
                message.from,
                message.to,
                true,
                attempt.total,
                attempt.root,
                attempt.chainEnded
            )
        )

    /** Adds a charge that its keeper moved to [attempt]. Returns false if it was added before. */
    fun addTakenOver(attempt: Attempt, message: LedgerMessage.TakenOver): Boolean {
        if (message.from in attempt.takenOverAttempts) return false
        attempt.takenOverAttempts += message.from
        attempt.takenOver += message.tokens
        attempt.root = minOf(attempt.root, message.root)
        attempt.chainEnded = attempt.chainEnded || message.chainEnded
        when (attempt.state) {
            AttemptState.OPEN -> copyAndPublish(attempt)

            AttemptState.HELD, AttemptState.VOID -> {
                val before = if (attempt.state == AttemptState.HELD) attempt.total else 0
                attempt.state = AttemptState.HELD
                attempt.total = before + message.tokens
                copyAndPublish(attempt)
            }

            // This attempt was billed without the moved charge, so the moved charge is a duplicate.
            AttemptState.DONE, AttemptState.MOVED -> creditCharge(attempt, message.tokens)
        }
        return true
    }

    private fun creditCharge(attempt: Attempt, tokens: Long) {
        sender.addSpend(attempt.customer, -tokens)
        copyAndPublish(attempt) {
            if (tokens > 0) {
                context.emit(
                    LedgerAction.CreditBill(attempt.request, attempt.customer, tokens)
                )
            }
        }
    }

    fun onDrop(from: RouterId, message: LedgerMessage.Drop) {
        val attempt = attemptsById[message.attempt] ?: return
        if (attempt.phase != Phase.ENDED) return
        if (!attempt.isCharged() || attempt.version != message.version) {
            reporter.queueFor(attempt, from)
            return
        }
        attempt.state = AttemptState.VOID
        creditCharge(attempt, attempt.total)
    }

    fun onUnmove(from: RouterId, message: LedgerMessage.Unmove) {
        val attempt = attemptsById[message.from] ?: return
        if (attempt.state != AttemptState.MOVED || attempt.movedTo != message.to) {
            reporter.queueFor(attempt, from)
            return
        }
        attempt.state = if (attempt.chainEnded) AttemptState.DONE else AttemptState.HELD
        attempt.movedTo = null
        copyAndPublish(attempt)
    }

    /** Makes this router the keeper of a dead router's attempts. */
    fun adopt(attempts: List<Attempt>) {
        for (attempt in attempts) {
            if (attempt.id in attemptsById) continue
            attemptsById[attempt.id] = attempt
            copyAndPublish(attempt)
        }
    }

    /** Reports the attempts whose home changed to their new homes. */
    fun peersChanged(added: Set<RouterId>) {
        val directory = context.directory
        for (attempt in attemptsById.values) {
            val home = attempt.home ?: continue
            val moved = !directory.isLive(home) ||
                added.any { directory.replaces(it, home, attempt.request) }
            if (moved) reporter.requeue(attempt)
        }
    }

    /**
     * Removes ended attempts after [LedgerSettings.retryWindow], or after
     * [LedgerSettings.openWindow] during a partition or while reports or take-overs of the attempt
     * are unanswered.
     */
    fun expire() {
        val settings = context.settings
        val split = context.directory.isPartitioned
        val expired = attemptsById.values.filter { attempt ->
            val age = context.now - attempt.endedAt
            val waits = split || reporter.isPending(attempt) || attempt.pendingPriors != null
            attempt.phase == Phase.ENDED &&
                age > if (waits) settings.openWindow else settings.retryWindow
        }
        for (attempt in expired) forget(attempt)
        answeredAttempts.removeAll { it.answer == null }
    }

    /** Removes the oldest attempt if the table is full. Returns false if that one hasn't ended. */
    fun evictIfFull(): Boolean {
        if (attemptsById.size < context.settings.maxEntries) return true
        val oldest = attemptsById.values.first()
        if (oldest.phase != Phase.ENDED) return false
        forget(oldest)
        return true
    }
}
