/*
 * Keeps the view of engines of this host: from its own calls, if it is the reader of its failure domain,
 * and from the reader's messages otherwise.
 */
package org.hemlockpond.router.entry

import kotlin.time.Duration
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.entry.EndpointProcess
import org.hemlockpond.core.entry.EngineViews
import org.hemlockpond.core.entry.EntryConfig
import org.hemlockpond.core.entry.ListedEndpoint
import org.hemlockpond.core.entry.StoreReaderRole
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.RouterMetrics
import org.hemlockpond.router.log

/**
 * @param caller null if the platform's engines give no reports
 * @param listed returns the endpoints that may get requests
 * @param tell sends a message to the other hosts of the domain
 */
internal class EngineReports(
    private val domain: FailureDomain,
    private val settings: EngineReportSettings,
    private val views: EngineViews,
    private val role: StoreReaderRole,
    caller: EngineCaller?,
    private val now: () -> Duration,
    private val listed: () -> Collection<ListedEndpoint>,
    private val tell: (EngineReportMessage) -> Unit
) {
    private val reader = caller?.let {
        EngineReportReader(settings, it, now, ::engines, ::taken)
    }
    private var config: EntryConfig? = null
    private var processes: Map<Int, EndpointProcess> = emptyMap()
    private val untold = LinkedHashMap<EndpointProcess, TakenReport>()
    private var tellAt = Duration.ZERO
    private var inUse = false

    fun registerGauges(metrics: RouterMetrics) {
        metrics.gauge("hemlockpond.engine.view.engines") { views.reportedCount(now()) }
        metrics.gauge("hemlockpond.engine.view.age.millis") {
            views.meanAge(now())?.inWholeMilliseconds ?: -1
        }
        metrics.gauge("hemlockpond.engine.placed.by.view") { views.placedByView }
        metrics.gauge("hemlockpond.engine.placed.without.view") { views.placedWithoutView }
        metrics.gauge("hemlockpond.engine.report.calls") { reader?.calls ?: 0 }
        metrics.gauge("hemlockpond.engine.report.failures") { reader?.failed ?: 0 }
    }

    fun configChanged(next: EntryConfig) {
        config = next
        endpointsChanged()
    }

    /** Notes which engines are listed, and how many hosts probably send to them. */
    fun endpointsChanged() {
        processes = engines().associate { EngineReportMessage.keyOf(it.process) to it.process }
    }

    private fun engines(): List<ListedEndpoint> =
        listed().filter { config?.services?.get(it.service)?.engine != null }
            .sortedBy { if (it.domain == domain) 0 else 1 }

    /** Handles a message of the domain's reader. */
    fun received(message: EngineReportMessage) {
        for (taken in message.unpack(processes, now())) {
            views.reported(taken.process, taken.report, taken.takenAt)
        }
    }

    private fun taken(report: TakenReport) {
        views.reported(report.process, report.report, report.takenAt)
        untold[report.process] = report
    }

    fun tick() {
        val now = now()
        val others = role.others
        reader?.tick(others.isNotEmpty() && role.isReader(now) && processes.isNotEmpty())
        if (now < tellAt) return
        tellAt = now + settings.sendInterval
        val domains = listed().mapTo(HashSet()) { it.domain }.size.coerceAtLeast(1)
        views.hosts = (others.size + 1) * domains
        if (untold.isNotEmpty()) {
            EngineReportMessage.pack(untold.values.toList(), now).forEach(tell)
            untold.clear()
        }
        logUse(now)
    }

    private fun logUse(now: Duration) {
        val known = views.reportedCount(now)
        if (inUse == known > 0) return
        inUse = known > 0
        val event = if (inUse) LogEvent.ENGINE_VIEW_USED else LogEvent.ENGINE_VIEW_LOST
        log(event, "engines" to processes.size, "reported" to known)
    }
}
