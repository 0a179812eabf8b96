package org.hemlockpond.core.ledger

import kotlin.time.Duration
import org.hemlockpond.core.RouterId

/** Reports attempts to their homes until the homes have acknowledged the published version. */
internal class Reporter(private val context: LedgerContext) {
    private class Pending(val attempt: Attempt, val targets: LinkedHashSet<RouterId>) {
        var due: Duration = Duration.ZERO
    }

    private val pending = HashMap<AttemptId, Pending>()
    private val fresh = LinkedHashSet<AttemptId>()
    private val repeats = LinkedHashSet<AttemptId>()

    fun isPending(attempt: Attempt): Boolean = attempt.id in pending

    /** Queues [report], which is copied, for every home that may hold the attempt. */
    fun publish(attempt: Attempt, report: AttemptReport) {
        val known = attempt.published
        if (known == null || report.version > known.version) attempt.published = report
        renew(attempt)
    }

    /** Queues the published version for every home that may hold the attempt. */
    fun renew(attempt: Attempt) {
        if (attempt.published == null) return
        val home = context.directory.home(attempt.request)
        attempt.home = home
        val targets = LinkedHashSet<RouterId>(2)
        targets += home
        targets += attempt.asked
        pending[attempt.id] = Pending(attempt, targets)
        repeats.remove(attempt.id)
        fresh += attempt.id
    }

    /** Queues the published version for one home. */
    fun inform(attempt: Attempt, home: RouterId) {
        if (attempt.published == null) return
        pending.getOrPut(attempt.id) { Pending(attempt, LinkedHashSet(1)) }.targets += home
        repeats.remove(attempt.id)
        fresh += attempt.id
    }

    fun onSeen(from: RouterId, seen: Seen) {
        val entry = pending[seen.attempt] ?: return
        if (seen.version < (entry.attempt.published?.version ?: 0)) return
        entry.targets.remove(from)
        if (entry.targets.isEmpty()) remove(seen.attempt)
    }

    fun remove(attempt: AttemptId) {
        pending.remove(attempt)
        fresh.remove(attempt)
        repeats.remove(attempt)
    }

    fun tick() {
        if (pending.isEmpty()) return
        val batches = LinkedHashMap<RouterId, ArrayList<AttemptReport>>()
        for (id in fresh.toList()) add(id, batches)
        while (repeats.isNotEmpty()) {
            val id = repeats.first()
            if ((pending[id]?.due ?: Duration.ZERO) > context.now) break
            repeats.remove(id)
            add(id, batches)
        }
        fresh.clear()
        for ((home, reports) in batches) {
            for (part in reports.chunked(context.settings.batchSize)) {
                context.send(home, LedgerMessage.Reports(part))
            }
        }
    }

    private fun add(id: AttemptId, batches: MutableMap<RouterId, ArrayList<AttemptReport>>) {
        val entry = pending[id] ?: return
        val directory = context.directory
        entry.targets.removeIf { !directory.isLive(it) }
        if (entry.targets.isEmpty()) {
            remove(id)
            return
        }
        val report = entry.attempt.published ?: return
        for (home in entry.targets) {
            if (directory.isReachable(home)) batches.getOrPut(home) { ArrayList() } += report
        }
        entry.due = context.now + context.settings.repeatAfter
        repeats += id
    }
}
