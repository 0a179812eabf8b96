/*
 * The shared view of engines: what each engine last reported of its load, with the age of the report,
 * and the requests that this host has sent since. One host of each failure domain reads the reports and
 * passes them on, so all hosts of a domain know the same; docs/design/engine-view.md says how they avoid
 * that all of them choose the same engine.
 */
package org.hemlockpond.core.entry

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * The load that one engine reported.
 *
 * @property waiting requests that have no slot yet
 * @property active requests that have a slot
 * @property unreadTokens an estimate of the prompt tokens that the engine has to read before a new request
 * @property freeTokens the memory that requests can get, in tokens
 */
data class EngineReport(
    val waiting: Int,
    val active: Int,
    val unreadTokens: Long,
    val freeTokens: Long
)

/**
 * Settings of [EngineViews].
 *
 * @property maxAge the age up to which a report is used; covers two lost reports
 * @property reportLag how old an engine's state may be when it reports it. Requests that this host sent
 *   less than this before the report count as not in it.
 * @property minReportedShare the share of the engines of a service that must have a report for the view to
 *   be used. Engines without a report would look idle beside the others.
 * @property onTimeFraction the fraction of the time left to the goal within which a predicted latency
 *   counts as on time. Requests of other hosts are in the view, so no margin is needed for them; a smaller
 *   value moves more shared prompt parts to other engines.
 * @property overflowCacheProbabilities the probabilities that the places after the preferred ones have a
 *   prompt part cached. All hosts use them in the same order when the preferred ones are late, so that few
 *   engines read the part.
 * @property choices how many random engines are compared. Hosts that all
 *   compared all engines would send to the same one until the next report.
 * @property activeCost the cost of each request that an engine runs; the predicted first event alone doesn't
 *   distinguish engines that read nothing at the moment
 * @property drainShare the share of the time since the state of a report during which an engine is assumed
 *   to have read more than it got; the tokens read meanwhile are subtracted
 * @property longQueue the waiting requests from which on an engine gets no more while another has room
 */
data class EngineViewSettings(
    val maxAge: Duration = 1_500.milliseconds,
    val reportLag: Duration = 300.milliseconds,
    val minReportedShare: Double = 0.75,
    val onTimeFraction: Double = 1.0,
    val overflowCacheProbabilities: List<Double> = listOf(0.3, 0.2),
    val choices: Int = 3,
    val activeCost: Duration = 1.milliseconds,
    val drainShare: Double = 0.5,
    val longQueue: Int = 4
)

/** The reports of all engines, as far as this host knows them. */
class EngineViews(
    private val settings: EngineViewSettings = EngineViewSettings(),
    private val random: Random = Random.Default
) {
    private val views = HashMap<EndpointProcess, EngineView>()

    /** An estimate of the number of hosts that send to the engines; at least 1. */
    var hosts = 1
        set(value) {
            field = value.coerceAtLeast(1)
        }

    /** Requests to engines that were placed by the view. */
    var placedByView = 0L
        private set

    /** Requests to engines that were placed without it. */
    var placedWithoutView = 0L
        private set

    internal fun placed(byView: Boolean) {
        if (byView) placedByView++ else placedWithoutView++
    }

    internal fun of(process: EndpointProcess): EngineView =
        views.getOrPut(process) { EngineView(settings, random) { hosts } }

    internal fun remove(process: EndpointProcess) {
        views -= process
    }

    /** The engine [process] reported at [takenAt]; unknown engines and older reports are ignored. */
    fun reported(process: EndpointProcess, report: EngineReport, takenAt: Duration) {
        views[process]?.reported(report, takenAt)
    }

    /** The number of engines whose report is recent enough to be used. */
    fun reportedCount(now: Duration): Int = views.values.count { it.current(now) != null }

    /** The mean age of the newest report of each engine that has one; null if none has. */
    fun meanAge(now: Duration): Duration? {
        val ages = views.values.mapNotNull { it.age(now) }
        return if (ages.isEmpty()) null else ages.reduce(Duration::plus) / ages.size
    }
}

/** The newest report of one engine. */
internal class EngineView(
    private val settings: EngineViewSettings,
    private val random: Random,
    private val hosts: () -> Int
) {
    private var report: EngineReport? = null
    private var takenAt = -Duration.INFINITE

    /** Decides whether a fraction of a request that is this host's share of the room is rounded up. */
    private var draw = 0.0
    private val sentAt = ArrayDeque<Duration>()

    /** The requests that this host sent after this time may be missing in the report. */
    val countedUntil: Duration get() = takenAt - settings.reportLag

    fun reported(next: EngineReport, at: Duration) {
        if (at <= takenAt) return
        report = next
        takenAt = at
        draw = random.nextDouble()
        while (sentAt.isNotEmpty() && sentAt.first() <= countedUntil) sentAt.removeFirst()
    }

    fun requestSent(now: Duration) {
        sentAt.addLast(now)
        if (sentAt.size > MAX_SENT) sentAt.removeFirst()
    }

    /** The report; null if there is none or it is too old. */
    fun current(now: Duration): EngineReport? = report?.takeIf { now - takenAt <= settings.maxAge }

    /**
     * The unread tokens now by the report, if the engine reads [perMilli] tokens a millisecond; null if
     * the report is missing or too old.
     */
    fun unreadTokens(perMilli: Double, now: Duration): Long? {
        val known = current(now) ?: return null
        val millis = (now - countedUntil).toDouble(DurationUnit.MILLISECONDS)
        val read = perMilli * settings.drainShare * millis
        return (known.unreadTokens - read).toLong().coerceAtLeast(0)
    }

    fun age(now: Duration): Duration? = if (report == null) null else now - takenAt

    /** Whether the engine has room for a request of [tokens] by the report. */
    fun hasRoom(tokens: Long, slots: Int, now: Duration): Boolean {
        val known = current(now) ?: return false
        return known.waiting < settings.longQueue && known.freeTokens >= tokens &&
            known.active + known.waiting + sentAt.size < slots
    }

    /**
     * Whether this host has sent less than its share of the free slots since the report. All hosts see the
     * same free slots; without shares they would all send to the only engine that has some.
     */
    fun hasShare(slots: Int, now: Duration): Boolean {
        val known = current(now) ?: return false
        val share = (slots - known.active - known.waiting).toDouble() / hosts()
        return sentAt.size + draw < share
    }

    private companion object {
        /** More than the slots of an engine; bounds the memory while no reports come. */
        const val MAX_SENT = 256
    }
}

/**
 * Estimates the prompt tokens that an engine has to read before a new request. The report doesn't say how
 * much of the prompts that have begun is read; half of them is the mean.
 *
 * @param startingTokens the tokens in memory of the requests that have a slot and no event yet
 * @param nextTokens the tokens of the first of the [waiting] requests
 */
fun estimateUnreadTokens(startingTokens: Long, waiting: Int, nextTokens: Long): Long =
    startingTokens / 2 + waiting * nextTokens
