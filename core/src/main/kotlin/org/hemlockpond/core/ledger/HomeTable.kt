/*
 * The home's part of the ledger: the attempts of each request, as reported by their keepers.
 *
 * This is soft state: when the home changes, keepers report again to the new one. During a
 * partition, several homes may decide about the same request. This is safe for two reasons. Only
 * the keeper of an attempt moves or credits its charge, and only once. All homes rank the charges
 * in the same order: chains that have ended before provisional ones, then by the lower first
 * attempt. No home therefore has the best ended chain credited.
 */
package org.hemlockpond.core.ledger

import kotlin.time.Duration
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

internal class HomeTable(private val context: LedgerContext) {
    private class ReportedAttempt(var report: AttemptReport, var keeper: RouterId)

    private class Entry(val request: RequestId) {
        val attempts = LinkedHashMap<AttemptId, ReportedAttempt>(2)
        var updatedAt: Duration = Duration.ZERO
    }

    private val entries = LinkedHashMap<RequestId, Entry>()

    /**
     * Requests with duplicate bills or unfinished moves, examined again until they are resolved.
     */
    private val conflicts = LinkedHashMap<RequestId, Duration>()

    val size: Int get() = entries.size

    fun onClaim(from: RouterId, report: AttemptReport) {
        if (context.directory.isDead(from)) return
        val entry = getOrCreateEntry(report.request)
        val verdict = if (entry == null) Verdict.FULL else verdictFor(entry, report)
        val priors = ArrayList<Prior>(0)
        if (entry != null && verdict == Verdict.GRANTED) {
            entry.updatedAt = context.now
            if (report.attempt !in entry.attempts) {
                entry.attempts[report.attempt] = ReportedAttempt(report, from)
            }
            for (known in chainHeads(entry)) {
                if (known.report.attempt == report.attempt) continue
                priors += Prior(known.report.attempt, known.keeper, known.report.answer)
            }
        }
        context.send(
            from,
            LedgerMessage.Decision(report.request, report.attempt, verdict, priors)
        )
    }

    private fun verdictFor(entry: Entry, claim: AttemptReport): Verdict {
        for (known in entry.attempts.values) {
            val report = known.report
            if (report.attempt == claim.attempt || report.state == AttemptState.VOID) continue
            if (report.digest != claim.digest) return Verdict.REUSED
        }
        val running = entry.attempts.values.any {
            it.report.state == AttemptState.OPEN && it.report.attempt != claim.attempt &&
                !context.directory.isDead(it.report.attempt.router)
        }
        return if (running) Verdict.IN_USE else Verdict.GRANTED
    }

    fun onReports(from: RouterId, reports: List<AttemptReport>) {
        val seen = ArrayList<Seen>(reports.size)
        for (report in reports) {
            val entry = getOrCreateEntry(report.request) ?: continue
            entry.updatedAt = context.now
            val known = entry.attempts[report.attempt]
            if (known == null) {
                entry.attempts[report.attempt] = ReportedAttempt(report, from)
            } else if (report.version > known.report.version) {
                known.report = report
                known.keeper = from
            }
            seen += Seen(report.request, report.attempt, report.version)
            reconcile(entry)
        }
        context.send(from, LedgerMessage.ReportsSeen(seen))
    }

    /** The open or charged attempts whose charge no other attempt has taken over. */
    private fun chainHeads(entry: Entry): List<ReportedAttempt> {
        if (entry.attempts.size == 1) {
            return entry.attempts.values.filter { it.report.state.isOpenOrCharged() }
        }
        val taken = entry.attempts.values.flatMapTo(HashSet()) { it.report.takenOverAttempts }
        return entry.attempts.values.filter {
            it.report.state.isOpenOrCharged() && it.report.attempt !in taken
        }
    }

    private fun AttemptState.isOpenOrCharged() =
        this == AttemptState.OPEN || this == AttemptState.DONE || this == AttemptState.HELD

    private fun reconcile(entry: Entry) {
        if (entry.attempts.size < 2) return
        var open = false
        val charged = chainHeads(entry).filter { it.report.state != AttemptState.OPEN }
            .sortedWith(compareBy({ !it.report.chainEnded }, { it.report.root }))
        val settler = findSettlingAttempt(charged)
        if (settler != null) grantTakeOver(settler, charged.first())
        for (known in charged.drop(1)) {
            open = true
            val report = known.report
            if (known === settler) continue
            context.send(
                known.keeper,
                LedgerMessage.Drop(report.request, report.attempt, report.version)
            )
        }
        for (known in entry.attempts.values) {
            if (known.report.state == AttemptState.MOVED && !isMoveReported(entry, known)) {
                open = true
                // On first sight, the report of the other attempt is usually still in transit.
                if (entry.request in conflicts) finishMove(entry, known)
            }
        }
        if (open) {
            conflicts[entry.request] = context.now + context.settings.repeatDelay
        } else {
            conflicts.remove(entry.request)
        }
    }

    /**
     * Returns a finished attempt that can take over the first charge, if that one is provisional.
     * The first charge can't be dropped: an attempt of its chain may have ended, in which case
     * other charges may have been credited in its favour.
     */
    private fun findSettlingAttempt(charged: List<ReportedAttempt>): ReportedAttempt? {
        if (charged.firstOrNull()?.report?.state != AttemptState.HELD) return null
        return charged.drop(1).firstOrNull {
            it.report.state == AttemptState.DONE && it.keeper == it.report.attempt.router
        }
    }

    /** Tells the router of [to] to take over the charge of [from]. */
    private fun grantTakeOver(to: ReportedAttempt, from: ReportedAttempt) {
        val report = to.report
        val prior = Prior(from.report.attempt, from.keeper)
        context.send(
            report.attempt.router,
            LedgerMessage.Decision(report.request, report.attempt, Verdict.GRANTED, listOf(prior))
        )
    }

    private fun isMoveReported(entry: Entry, known: ReportedAttempt): Boolean {
        val target = entry.attempts[known.report.movedTo] ?: return true
        return known.report.attempt in target.report.takenOverAttempts
    }

    /** Completes or undoes a move that the receiving attempt hasn't reported. */
    private fun finishMove(entry: Entry, known: ReportedAttempt) {
        val report = known.report
        val to = report.movedTo ?: return
        val target = entry.attempts[to] ?: return
        if (!context.directory.isDead(to.router)) {
            grantTakeOver(target, known)
        } else if (target.keeper != to.router) {
            context.send(known.keeper, LedgerMessage.Unmove(report.request, report.attempt, to))
        }
    }

    private fun getOrCreateEntry(request: RequestId): Entry? {
        entries[request]?.let { return it }
        if (entries.size >= context.settings.maxEntries) {
            val oldest = entries.values.first()
            if (oldest.attempts.values.any { isRunning(it) }) return null
            entries.remove(oldest.request)
            conflicts.remove(oldest.request)
        }
        return Entry(request).also {
            it.updatedAt = context.now
            entries[request] = it
        }
    }

    private fun isRunning(known: ReportedAttempt) = known.report.state == AttemptState.OPEN &&
        context.directory.isLive(known.report.attempt.router)

    /** Checks the requests in [conflicts] again when they are due. */
    fun tick() {
        if (conflicts.isEmpty()) return
        val due = conflicts.filterValues { it <= context.now }.keys
        for (request in due) {
            val entry = entries[request]
            if (entry == null) conflicts.remove(request) else reconcile(entry)
        }
    }

    /**
     * Removes entries without updates for [LedgerSettings.retryWindow], or for
     * [LedgerSettings.openWindow] while the request is running or during a partition.
     */
    fun expire() {
        val settings = context.settings
        val ended =
            if (context.directory.isPartitioned) settings.openWindow else settings.retryWindow
        entries.values.removeIf { entry ->
            val running = entry.attempts.values.any { isRunning(it) }
            context.now - entry.updatedAt > if (running) settings.openWindow else ended
        }
    }
}
