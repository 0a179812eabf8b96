/*
 * The keeper's side of the ledger: the attempts of this router and those adopted from dead routers.
 * Only the keeper moves or credits the charge of an attempt, and it tells nobody before the change
 * is copied, so a second keeper after its death decides from the same state.
 */
package org.hemlockpond.core.ledger

import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

internal class Keeper(private val context: LedgerContext) {
    private val kept = LinkedHashMap<AttemptId, Attempt>()
    private val current = HashMap<RequestId, Attempt>()
    private val answers = ArrayDeque<Attempt>()
    private var answerLength = 0L

    val reporter = Reporter(context)
    val sender = CopySender(context) { kept.values }
    val size: Int get() = kept.size

    operator fun get(id: AttemptId): Attempt? = kept[id]

    /** The latest attempt of this router for the request. */
    fun current(request: RequestId): Attempt? = current[request]

    fun attempts(): Collection<Attempt> = kept.values

    fun add(attempt: Attempt) {
        kept[attempt.id] = attempt
        current[attempt.request] = attempt
    }

    fun forget(attempt: Attempt) {
        kept.remove(attempt.id)
        current.remove(attempt.request, attempt)
        reporter.remove(attempt.id)
        dropAnswer(attempt)
    }

    /** Copies the present state; then publishes it and runs [then]. */
    fun changed(attempt: Attempt, then: () -> Unit = {}) {
        attempt.version++
        sender.changed(attempt)
        val report = attempt.report()
        sender.whenCopied(needsCommit = true) {
            reporter.publish(attempt, report)
            then()
        }
    }

    /** Keeps an answer within the memory for answers; the oldest ones make room. */
    fun keepAnswer(attempt: Attempt, answer: RecordedAnswer?) {
        if (answer == null || answer.body.length > context.settings.answerLength) return
        attempt.answer = answer
        answers += attempt
        answerLength += answer.body.length
        while (answerLength > context.settings.answerMemory) {
            dropAnswer(answers.removeFirst())
        }
    }

    private fun dropAnswer(attempt: Attempt) {
        answerLength -= attempt.answer?.body?.length ?: 0
        attempt.answer = null
    }

    fun onTakeOver(from: RouterId, message: LedgerMessage.TakeOver) {
        val attempt = kept[message.from]
        val answer = attempt?.answer
        when {
            context.directory.isDead(message.to.router) -> Unit

            attempt == null -> refuse(from, message)

            attempt.movedTo == message.to && attempt.state == AttemptState.MOVED ->
                if (attempt.moveCopied) sendMoved(from, message, attempt)

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
                attempt.moveCopied = false
                changed(attempt) {
                    attempt.moveCopied = true
                    sendMoved(from, message, attempt)
                }
            }

            else -> refuse(from, message)
        }
    }

    private fun Attempt.isCharged() = state == AttemptState.DONE || state == AttemptState.HELD

    private fun refuse(to: RouterId, message: LedgerMessage.TakeOver) = context.send(
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
                attempt.firm
            )
        )

    /** Adds a charge that its keeper moved to [attempt]; returns false if it was known. */
    fun addTakenOver(attempt: Attempt, message: LedgerMessage.TakenOver): Boolean {
        if (message.from in attempt.took) return false
        attempt.took += message.from
        attempt.takenOver += message.tokens
        attempt.root = minOf(attempt.root, message.root)
        attempt.firm = attempt.firm || message.firm
        when (attempt.state) {
            AttemptState.OPEN -> changed(attempt)

            AttemptState.HELD, AttemptState.VOID -> {
                val before = if (attempt.state == AttemptState.HELD) attempt.total else 0
                attempt.state = AttemptState.HELD
                attempt.total = before + message.tokens
                changed(attempt)
            }

            // The end of this attempt was billed without the charge, so the charge is too much.
            AttemptState.DONE, AttemptState.MOVED -> credit(attempt, message.tokens)
        }
        return true
    }

    private fun credit(attempt: Attempt, tokens: Long) {
        sender.spend(attempt.customer, -tokens)
        changed(attempt) {
            if (tokens > 0) {
                context.emit(
                    LedgerAction.CreditBill(attempt.request, attempt.customer, tokens)
                )
            }
        }
    }

    fun onDrop(from: RouterId, message: LedgerMessage.Drop) {
        val attempt = kept[message.attempt] ?: return
        if (attempt.phase != Phase.ENDED) return
        if (!attempt.isCharged() || attempt.version != message.version) {
            reporter.inform(attempt, from)
            return
        }
        attempt.state = AttemptState.VOID
        credit(attempt, attempt.total)
    }

    fun onUnmove(from: RouterId, message: LedgerMessage.Unmove) {
        val attempt = kept[message.from] ?: return
        if (attempt.state != AttemptState.MOVED || attempt.movedTo != message.to) {
            reporter.inform(attempt, from)
            return
        }
        attempt.state = if (attempt.firm) AttemptState.DONE else AttemptState.HELD
        attempt.movedTo = null
        changed(attempt)
    }

    /** Becomes the keeper of a dead router's attempts. */
    fun adopt(attempts: List<Attempt>) {
        for (attempt in attempts) {
            if (attempt.id in kept) continue
            kept[attempt.id] = attempt
            changed(attempt)
        }
    }

    /** Reports attempts whose home changed. */
    fun peersChanged(added: Set<RouterId>) {
        val directory = context.directory
        for (attempt in kept.values) {
            val home = attempt.home ?: continue
            val moved = !directory.isLive(home) ||
                added.any { directory.replaces(it, home, attempt.request) }
            if (moved) reporter.renew(attempt)
        }
    }

    /** Removes what no retry can ask for any more; reports that still wait keep their attempt. */
    fun expire() {
        val settings = context.settings
        val split = context.directory.split
        val expired = kept.values.filter { attempt ->
            val age = context.now - attempt.endedAt
            val waits = split || reporter.isPending(attempt) || attempt.awaiting != null
            attempt.phase == Phase.ENDED &&
                age > if (waits) settings.openWindow else settings.retryWindow
        }
        for (attempt in expired) forget(attempt)
        answers.removeAll { it.answer == null }
    }

    /** Makes room for a new attempt; false if every kept attempt is still needed. */
    fun makeRoom(): Boolean {
        if (kept.size < context.settings.maxEntries) return true
        val oldest = kept.values.first()
        if (oldest.phase != Phase.ENDED) return false
        forget(oldest)
        return true
    }
}
