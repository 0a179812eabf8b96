/*
 * Reads the reports of engines for the hosts of a failure domain: one call for each engine in each
 * interval, spread evenly over it.
 */
package org.hemlockpond.router.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hemlockpond.core.entry.EndpointProcess
import org.hemlockpond.core.entry.ListedEndpoint
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.log

/**
 * Settings of the view of engines.
 *
 * @property interval the time between two calls to one engine
 * @property timeout the limit for a call; an engine answers without a slot
 * @property maxOpenCalls the most calls that wait for their answers at once
 * @property maxEngines the most engines that one domain's reader calls, those of its own domain first
 * @property sendInterval the time between two messages with the newest reports
 */
data class EngineReportSettings(
    val interval: Duration = 500.milliseconds,
    val timeout: Duration = 250.milliseconds,
    val maxOpenCalls: Int = 16,
    val maxEngines: Int = 128,
    val sendInterval: Duration = 250.milliseconds
)

/**
 * @param engines returns the engines to read, the most important first
 * @param taken receives each report
 */
internal class EngineReportReader(
    private val settings: EngineReportSettings,
    private val caller: EngineCaller,
    private val now: () -> Duration,
    private val engines: () -> List<ListedEndpoint>,
    private val taken: (TakenReport) -> Unit
) {
    private var round: List<ListedEndpoint> = emptyList()
    private var next = 0

    /** The part of the calls of a round that is due and hasn't been made. */
    private var credit = 0.0
    private var creditAt: Duration? = null
    private val open = HashSet<EndpointProcess>()

    /** The rounds that engines without a report are left out, and how many come after the next failure. */
    private val silent = HashMap<EndpointProcess, Silence>()

    private class Silence(var roundsLeft: Int, var failures: Int)

    /** Reports that engines didn't give, or that couldn't be decoded. */
    var failed = 0L
        private set

    /** Calls since the start. */
    var calls = 0L
        private set

    /** Makes the calls that are due; [isReader] tells whether this host reads for its domain. */
    fun tick(isReader: Boolean) {
        val now = now()
        if (!isReader) {
            if (creditAt != null) stop()
            return
        }
        val elapsed = creditAt?.let { now - it } ?: Duration.ZERO
        creditAt = now
        if (next >= round.size) beginRound()
        if (round.isEmpty()) return
        // A late event loop doesn't make up for the calls that it missed.
        val due = credit + elapsed / settings.interval * round.size
        credit = due.coerceAtMost(settings.maxOpenCalls.toDouble())
        while (credit >= 1 && next < round.size && open.size < settings.maxOpenCalls) {
            credit--
            call(round[next++])
        }
    }

    private fun stop() {
        creditAt = null
        credit = 0.0
        round = emptyList()
        next = 0
        silent.clear()
        caller.retain(emptySet())
    }

    private fun beginRound() {
        next = 0
        round = engines().take(settings.maxEngines)
        val processes = round.mapTo(HashSet()) { it.process }
        silent.keys.retainAll(processes)
        caller.retain(processes)
    }

    private fun call(engine: ListedEndpoint) {
        val silence = silent[engine.process]
        if (silence != null && silence.roundsLeft-- > 0) return
        if (!open.add(engine.process)) return
        calls++
        caller.call(engine) { report ->
            open -= engine.process
            if (report == null) {
                noReport(engine)
            } else {
                silent -= engine.process
                taken(TakenReport(engine.process, report, now()))
            }
        }
    }

    private fun noReport(engine: ListedEndpoint) {
        failed++
        val silence = silent.getOrPut(engine.process) {
            log(LogEvent.ENGINE_REPORT_MISSING, "endpoint" to engine.id)
            Silence(0, 0)
        }
        silence.roundsLeft = (1 shl silence.failures.coerceAtMost(MAX_DOUBLINGS)) - 1
        silence.failures++
    }

    private companion object {
        /** An engine that gives no reports is called every 16 intervals in the end. */
        const val MAX_DOUBLINGS = 4
    }
}
