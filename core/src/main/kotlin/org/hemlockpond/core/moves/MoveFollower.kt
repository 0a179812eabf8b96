/*
 * The version-move component of one router. It splits traffic by the schedule, counts results,
 * exchanges the counters with its peers, and stops a bad version without waiting for the
 * controller. It contains the controller, which acts only while the router holds the controller
 * lease.
 */
package org.hemlockpond.core.moves

import kotlin.math.ln
import kotlin.time.Duration
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.VersionId

/** The state of a route's latest move as this router knows it. */
internal class KnownMove(var record: MoveRecord, var revision: Long, settings: MoveSettings) {
    val evidence = Evidence()
    val failureTest = SequentialTest(Metric.FAILURES, settings.maxPeriods, settings.loadLevels)
    val latencyTests = listOf(Metric.FIRST_TOKEN, Metric.TOKEN_GAP)
        .map { SequentialTest(it, settings.maxPeriods, settings.loadLevels) }
    val tests = listOf(failureTest) + latencyTests

    /** Cells changed since the last update of [latencyTests]. */
    val latencyPendingCells = LinkedHashSet<CellKey>()
    var latenciesTestedAt: Duration = Duration.ZERO
    val periodLength: Duration = maxOf(
        settings.minPeriodLength,
        record.duration / settings.maxPeriods
    )
    var stopCause: RollbackCause? = null

    /** This router's cells with counts not yet sent to the peers. */
    val unsentCells = LinkedHashSet<CellKey>()

    /** This router's cells of the last periods, whose counters are sent again. */
    val recentCells = LinkedHashSet<CellKey>()

    /** Whether the new version must get no traffic. */
    val isStopped: Boolean get() = stopCause != null || record.state == MoveState.ROLLED_BACK
}

/**
 * Chooses the version of each request during a move and stops a bad version.
 *
 * @param self the id of this router's incarnation
 * @param domain this router's failure domain
 */
class MoveFollower(
    private val self: RouterId,
    private val domain: FailureDomain,
    private val settings: MoveSettings = MoveSettings()
) {
    private val moves = HashMap<RouteId, KnownMove>()
    private val earlyStops = HashMap<RouteId, MoveMessage.Stop>()
    private val controller = MoveController(settings, ::adoptRecord)
    private val logThreshold = ln(settings.eValueThreshold)
    private var config = FleetConfig()
    private var endpoints: Map<RouteId, List<EndpointConfig>> = emptyMap()
    private var peers: Set<RouterId> = emptySet()
    private var lastReportAt: Duration = Duration.ZERO
    private var lastRepeatAt: Duration = Duration.ZERO

    /** Handles [event] and returns the actions that the router must perform. */
    fun handle(event: MoveEvent, now: Now): List<MoveAction> = buildList {
        when (event) {
            is MoveEvent.Outcome -> onOutcome(event, now)

            is MoveEvent.RecordRead -> {
                controller.onRecordRead(event.route, event.revision)
                if (event.record != null && adoptRecord(event.record, event.revision)) {
                    add(recordNotice(event.record, event.revision))
                }
            }

            is MoveEvent.PeerReceived -> onPeerMessage(event.from, event.message, now)

            is MoveEvent.PeersChanged -> onPeersChanged(event.routers)

            is MoveEvent.ConfigChanged -> {
                config = event.config
                endpoints = event.config.endpoints.filter { !it.leaving }.groupBy { it.route }
            }

            is MoveEvent.RecordWritten -> addAll(controller.onRecordWritten(event))

            is MoveEvent.ControllerLease -> controller.onLease(event, now)

            is MoveEvent.OrderResult -> controller.onOrderResult(event, now)

            MoveEvent.Tick -> onTick(now)
        }
        addAll(controller.nextActions(moves, endpoints, now))
    }

    /**
     * Returns the version that serves [request], or null if no move applies to [route] and the
     * declared version is used. A retry within the same failure domain gets the same version unless
     * the split changed or the new version was stopped in between.
     */
    fun versionFor(route: RouteId, request: RequestId, now: Now): VersionId? {
        val move = moves[route] ?: return null
        val record = move.record
        val own = endpoints[route].orEmpty()
        if (record.state != MoveState.RUNNING && !appliesToDeclaredVersion(record)) return null
        return when {
            move.isStopped -> record.from

            record.state == MoveState.DONE ->
                if (newVersionShare(record, own, domain) > 0 || own.none { it.domain == domain }) {
                    record.to
                } else {
                    record.from
                }

            else -> {
                val share = scheduledShare(record, own, domain, now.wall)
                if (splitPoint(request, record.number) < share) record.to else record.from
            }
        }
    }

    /** Returns the version that an ended move of [route] left in force, or null. */
    fun versionInForce(route: RouteId): VersionId? = moves[route]?.record?.versionInForce

    /** Returns the latest known record of [route] and its revision, or null if there is none. */
    fun record(route: RouteId): Pair<MoveRecord, Long>? =
        moves[route]?.let { it.record to it.revision }

    /** Whether this router sends no traffic of [route] to the new version of its latest move. */
    fun isStopped(route: RouteId): Boolean = moves[route]?.isStopped == true

    /** Returns the current state of the test of each metric for the latest move of [route]. */
    fun findings(route: RouteId): List<Finding> =
        moves[route]?.tests?.map { it.finding() }.orEmpty()

    /** Whether the declared version of the route is one of the move's versions. */
    private fun appliesToDeclaredVersion(record: MoveRecord): Boolean {
        val declared = config.routes.find { it.id == record.route }?.version ?: return true
        return declared == record.from || declared == record.to
    }

    /** Stores [record] if [revision] is newer than the known one; returns whether it did. */
    private fun adoptRecord(record: MoveRecord, revision: Long): Boolean {
        val known = moves[record.route]
        if (known != null && revision <= known.revision) return false
        if (known == null || known.record.number != record.number) {
            val fresh = KnownMove(record, revision, settings)
            fresh.stopCause = earlyStops[record.route]?.takeIf { it.number == record.number }?.cause
            moves[record.route] = fresh
        } else {
            known.record = record
            known.revision = revision
        }
        return true
    }

    private fun MutableList<MoveAction>.onOutcome(event: MoveEvent.Outcome, now: Now) {
        val move = moves[event.route] ?: return
        val record = move.record
        val new = event.version == record.to
        if (record.state != MoveState.RUNNING || now.wall < record.start) return
        if (!new && event.version != record.from) return
        val period = ((now.wall - record.start) / move.periodLength).toInt()
            .coerceAtMost(Evidence.MAX_PERIOD)
        val moved = endpoints[event.route].orEmpty()
            .count { it.domain == event.domain && runningVersion(record, it) == record.to }
        val load = (event.load / settings.overloadThreshold * settings.loadLevels).toInt()
            .coerceIn(0, settings.loadLevels)
        val key = CellKey(moved, period, event.domain, load)
        move.evidence.add(self, key, new, event.result)
        move.unsentCells += key
        move.recentCells += key
        // All other results are tested at the next tick.
        if (!new || event.result != OutcomeResult.Failed) return
        evaluateTests(move, now)
        if (now.elapsed - lastReportAt >= settings.urgentReportInterval) {
            lastReportAt = now.elapsed
            reportEvidence(move)
        }
    }

    /**
     * Tests for failures at every call, and for latencies, which need more samples, every
     * [MoveSettings.latencyTestInterval] (one second). Stops the move if a test reaches the
     * threshold.
     */
    private fun MutableList<MoveAction>.evaluateTests(move: KnownMove, now: Now) {
        for (key in move.evidence.drainChangedCells()) {
            move.failureTest.update(key, move.evidence.cells.getValue(key))
            move.latencyPendingCells += key
        }
        val due = now.elapsed - move.latenciesTestedAt >= settings.latencyTestInterval
        if (due) {
            move.latenciesTestedAt = now.elapsed
            for (key in move.latencyPendingCells) {
                val cell = move.evidence.cells.getValue(key)
                for (test in move.latencyTests) test.update(key, cell)
            }
            move.latencyPendingCells.clear()
        }
        if (move.isStopped) return
        val tests = if (due) move.tests else listOf(move.failureTest)
        val test = tests.firstOrNull { it.logEValue() >= logThreshold } ?: return
        stopMove(move, RollbackCause.Worse(test.finding()))
    }

    private fun MutableList<MoveAction>.stopMove(move: KnownMove, cause: RollbackCause) {
        move.stopCause = cause
        add(stopMessage(move, cause))
    }

    private fun MutableList<MoveAction>.onPeerMessage(
        from: RouterId,
        message: MoveMessage,
        now: Now
    ) {
        when (message) {
            is MoveMessage.EvidenceReport -> {
                val move = moves[message.route] ?: return
                if (message.number != move.record.number) return
                move.evidence.merge(from, message.cells)
                if (message.cells.any {
                        it.isNewVersion && OutcomeCounts.FAILED_INDEX in it.counts
                    }
                ) {
                    evaluateTests(move, now)
                }
            }

            is MoveMessage.Stop -> {
                val move = moves[message.route]
                val number = move?.record?.number ?: 0
                if (move != null && message.number == number && !move.isStopped) {
                    stopMove(move, message.cause)
                }
                if (message.number > number) earlyStops[message.route] = message
            }

            is MoveMessage.RecordNotice -> adoptRecord(message.record, message.revision)
        }
    }

    private fun MutableList<MoveAction>.onPeersChanged(routers: Set<RouterId>) {
        val joined = routers - peers
        peers = routers
        if (joined.isEmpty()) return
        for (move in moves.values) {
            add(recordNotice(move.record, move.revision))
            if (move.record.state == MoveState.RUNNING) reportEvidence(move, null)
            move.stopCause?.let { add(stopMessage(move, it)) }
        }
    }

    private fun MutableList<MoveAction>.onTick(now: Now) {
        if (now.elapsed - lastReportAt >= settings.reportInterval) {
            lastReportAt = now.elapsed
            for (move in moves.values) if (move.unsentCells.isNotEmpty()) reportEvidence(move)
        }
        if (now.elapsed - lastRepeatAt >= settings.resendInterval) {
            lastRepeatAt = now.elapsed
            moves.values.forEach { resendRecent(it, now) }
        }
        moves.values.forEach { evaluateTests(it, now) }
    }

    /**
     * Sends recent counters, and a stop not yet in the record, again in case messages were lost.
     */
    private fun MutableList<MoveAction>.resendRecent(move: KnownMove, now: Now) {
        val record = move.record
        if (!move.isStopped) {
            for (test in move.tests) {
                test.updateBaselines(
                    move.evidence.oldByDomain
                )
            }
        }
        move.stopCause?.let {
            if (record.state != MoveState.ROLLED_BACK) add(stopMessage(move, it))
        }
        if (record.state != MoveState.RUNNING || now.wall < record.start) return
        val oldest =
            (now.wall - record.start - settings.resendInterval * RESEND_COUNT) / move.periodLength
        move.recentCells.removeIf { it.period < oldest }
        reportEvidence(move, move.recentCells)
    }

    private fun MutableList<MoveAction>.reportEvidence(
        move: KnownMove,
        keys: Collection<CellKey>? = move.unsentCells
    ) {
        val cells = move.evidence.reports(self, keys)
        move.unsentCells.clear()
        if (cells.isEmpty() || peers.isEmpty()) return
        val message =
            MoveMessage.EvidenceReport(move.record.route, move.record.number, cells)
        add(MoveAction.SendToPeers(message))
    }

    private fun stopMessage(move: KnownMove, cause: RollbackCause): MoveAction =
        MoveAction.SendToPeers(MoveMessage.Stop(move.record.route, move.record.number, cause))

    private companion object {
        // How often a counter is sent again. A peer that misses all of them is partitioned, and
        // gets a full report when the partition ends.
        const val RESEND_COUNT = 3
    }
}

internal fun recordNotice(record: MoveRecord, revision: Long): MoveAction =
    MoveAction.SendToPeers(MoveMessage.RecordNotice(record, revision))
