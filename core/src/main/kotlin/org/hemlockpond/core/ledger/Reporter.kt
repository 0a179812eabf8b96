package org.hemlockpond.core.ledger

import kotlin.time.Duration
import org.hemlockpond.core.RouterId

/** Reports attempts to their homes and repeats each report until the home acknowledges it. */
internal class Reporter(private val context: LedgerContext) {
    private class Pending(val attempt: Attempt, val targets: LinkedHashSet<RouterId>) {
        var repeatAt: Duration = Duration.ZERO
    }

    private val pending = HashMap<AttemptId, Pending>()
    private val unsent = LinkedHashSet<AttemptId>()
    private val awaitingRepeat = LinkedHashSet<AttemptId>()

    fun isPending(attempt: Attempt): Boolean = attempt.id in pending

    /**
     * Queues [report] for every home that may have the attempt. Its state must be copied already.
     */
    fun publish(attempt: Attempt, report: AttemptReport) {
        val known = attempt.publishedReport
        if (known == null || report.version > known.version) attempt.publishedReport = report
        requeue(attempt)
    }

    /** Queues the published report again for every home that may have the attempt. */
    fun requeue(attempt: Attempt) {
        if (attempt.publishedReport == null) return
        val home = context.directory.home(attempt.request)
        attempt.home = home
        val targets = LinkedHashSet<RouterId>(2)
        targets += home
        targets += attempt.askedHomes
        pending[attempt.id] = Pending(attempt, targets)
        awaitingRepeat.remove(attempt.id)
        unsent += attempt.id
    }

    /** Queues the published report for one home. */
    fun queueFor(attempt: Attempt, home: RouterId) {
        if (attempt.publishedReport == null) return
        pending.getOrPut(attempt.id) { Pending(attempt, LinkedHashSet(1)) }.targets += home
        awaitingRepeat.remove(attempt.id)
        unsent += attempt.id
    }

    fun onSeen(from: RouterId, seen: Seen) {
        val entry = pending[seen.attempt] ?: return
        if (seen.version < (entry.attempt.publishedReport?.version ?: 0)) return
        entry.targets.remove(from)
        if (entry.targets.isEmpty()) remove(seen.attempt)
    }

    fun remove(attempt: AttemptId) {
        pending.remove(attempt)
        unsent.remove(attempt)
        awaitingRepeat.remove(attempt)
    }

    fun tick() {
        if (pending.isEmpty()) return
        val batches = LinkedHashMap<RouterId, ArrayList<AttemptReport>>()
        for (id in unsent.toList()) addToBatches(id, batches)
        while (awaitingRepeat.isNotEmpty()) {
            val id = awaitingRepeat.first()
            if ((pending[id]?.repeatAt ?: Duration.ZERO) > context.now) break
            awaitingRepeat.remove(id)
            addToBatches(id, batches)
        }
        unsent.clear()
        for ((home, reports) in batches) {
            for (part in reports.chunked(context.settings.batchSize)) {
                context.send(home, LedgerMessage.Reports(part))
            }
        }
    }

    private fun addToBatches(
        id: AttemptId,
        batches: MutableMap<RouterId, ArrayList<AttemptReport>>
    ) {
        val entry = pending[id] ?: return
        val directory = context.directory
        entry.targets.removeIf { !directory.isLive(it) }
        if (entry.targets.isEmpty()) {
            remove(id)
            return
        }
        val report = entry.attempt.publishedReport ?: return
        for (home in entry.targets) {
            if (directory.isReachable(home)) batches.getOrPut(home) { ArrayList() } += report
        }
        entry.repeatAt = context.now + context.settings.repeatDelay
        awaitingRepeat += id
    }
}
