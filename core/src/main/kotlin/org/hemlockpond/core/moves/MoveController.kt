/*
 * The controller of version moves. One router at a time holds the controller lease. Only this
 * router writes outcomes and sends orders to endpoints. It writes the lease's fencing number to the
 * record before its first order, so that later writes of an earlier controller fail.
 */
package org.hemlockpond.core.moves

import kotlin.time.Duration
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.Now
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.VersionId

/**
 * Completes or rolls back moves and loads versions while this router holds the controller lease.
 */
internal class MoveController(
    private val settings: MoveSettings,
    private val adoptRecord: (MoveRecord, Long) -> Boolean
) {
    private class PendingWrite(
        val record: MoveRecord,
        val expectedRevision: Long,
        val sentAt: Duration
    )

    private class EndpointState {
        /** The version that the endpoint reported to this controller, or null if unknown. */
        var reportedVersion: VersionId? = null
        var readAt: Duration = Duration.ZERO
        var pendingOrder: EndpointOrder? = null
        var orderSentAt: Duration = Duration.ZERO
        var retryAt: Duration = Duration.ZERO
    }

    private var fencing = 0L
    private var leaseEnd: Duration = Duration.ZERO
    private var holdsLease = false
    private var quietPeriodEnd: Duration = Duration.ZERO
    private val pendingWrites = HashMap<RouteId, PendingWrite>()
    private val pendingReads = HashMap<RouteId, Duration>()
    private val endpointStates = HashMap<EndpointId, EndpointState>()
    private val announcedEnds = HashSet<Pair<RouteId, Long>>()

    fun onLease(event: MoveEvent.ControllerLease, now: Now) {
        if (event.held && event.fencing > fencing) {
            fencing = event.fencing
            quietPeriodEnd = now.elapsed + settings.quietPeriod
            endpointStates.clear()
            pendingWrites.clear()
            announcedEnds.clear()
        }
        holdsLease = event.held && event.fencing == fencing
        leaseEnd = event.until
    }

    /** Drops the pending write of [route] if the record that was read settles its outcome. */
    fun onRecordRead(route: RouteId, revision: Long) {
        // A record that this controller didn't request may be older than the pending write.
        val asked = pendingReads.remove(route) != null
        if (asked ||
            revision > (pendingWrites[route]?.expectedRevision ?: 0)
        ) {
            pendingWrites.remove(route)
        }
    }

    fun onRecordWritten(event: MoveEvent.RecordWritten): List<MoveAction> {
        val write = pendingWrites.remove(event.route) ?: return emptyList()
        if (event.outcome == WriteOutcome.APPLIED) {
            adoptRecord(write.record, event.revision)
            return listOf(recordNotice(write.record, event.revision))
        }
        return listOf(MoveAction.ReadRecord(event.route))
    }

    fun onOrderResult(event: MoveEvent.OrderResult, now: Now) {
        if (event.fencing != fencing) return
        val state = endpointStates[event.endpoint] ?: return
        state.pendingOrder = null
        when (val answer = event.answer) {
            is OrderAnswer.Runs -> {
                // A load counts only after a read-back, because another order may have followed it.
                state.reportedVersion =
                    answer.version.takeIf { event.order == EndpointOrder.ReadVersion }
                state.readAt = now.elapsed
            }

            OrderAnswer.Failed -> {
                state.reportedVersion = null
                state.retryAt = now.elapsed + settings.orderRetryDelay
            }

            // The endpoint has received an order of a later controller.
            OrderAnswer.Fenced -> holdsLease = false
        }
    }

    /**
     * Returns the actions due at [now]. Returns none without the lease, and none from
     * [MoveSettings.leaseMargin] before its end on.
     */
    fun nextActions(
        moves: Map<RouteId, KnownMove>,
        endpoints: Map<RouteId, List<EndpointConfig>>,
        now: Now
    ): List<MoveAction> = buildList {
        if (!holdsLease || now.elapsed >= leaseEnd - settings.leaseMargin) return@buildList
        for ((route, move) in moves) {
            if (move.record.fencing > fencing) continue
            val own = endpoints[route].orEmpty()
            addRecordWrites(move, own, now)
            if (move.record.fencing == fencing) addEndpointOrders(move, own, now)
        }
    }

    private fun MutableList<MoveAction>.addRecordWrites(
        move: KnownMove,
        endpoints: List<EndpointConfig>,
        now: Now
    ) {
        val record = move.record
        val pending = pendingWrites[record.route]
        if (pending != null) {
            if (now.elapsed - pending.sentAt < settings.writeTimeout) return
            val asked = pendingReads[record.route]
            if (asked == null || now.elapsed - asked >= settings.writeTimeout) {
                pendingReads[record.route] = now.elapsed
                add(MoveAction.ReadRecord(record.route))
            }
            return
        }
        val change = desiredRecord(move, endpoints, now)
        if (change == record) return
        if (change.endAnnounced && !record.endAnnounced &&
            announcedEnds.add(record.route to record.number * 2 + record.state.ordinal)
        ) {
            add(moveEndedAction(record))
        }
        pendingWrites[record.route] = PendingWrite(change, move.revision, now.elapsed)
        add(MoveAction.WriteRecord(record.route, move.revision, change))
    }

    private fun moveEndedAction(record: MoveRecord) = MoveAction.MoveEnded(
        record.route,
        record.number,
        if (record.state == MoveState.DONE) record.to else record.from,
        record.state,
        record.cause
    )

    /** Returns the record of [move] with all changes that are due at [now]. */
    private fun desiredRecord(
        move: KnownMove,
        endpoints: List<EndpointConfig>,
        now: Now
    ): MoveRecord {
        var record = move.record
        val stop = move.stopCause
        if (record.state != MoveState.RUNNING && !record.endAnnounced) {
            record = record.copy(endAnnounced = true)
        }
        val changed = when {
            stop != null -> rollBack(record, stop)
            mustComplete(record, endpoints, now) -> completeMove(record)
            else -> RecordChange.Unchanged
        }
        if (changed is RecordChange.Write) record = changed.record
        val read = endpoints.mapNotNull { endpoint ->
            endpointStates[endpoint.id]?.reportedVersion?.takeIf {
                it !=
                    runningVersion(record, endpoint)
            }
                ?.let { endpoint.id to it }
        }
        return record.copy(fencing = fencing, reportedVersions = record.reportedVersions + read)
    }

    /**
     * Whether the move must be completed at [now]: a part of the time between the last step of the
     * schedule and the deadline has passed, and every failure domain has an endpoint that runs the
     * new version. A move without requests is completed too.
     */
    private fun mustComplete(
        record: MoveRecord,
        endpoints: List<EndpointConfig>,
        now: Now
    ): Boolean {
        if (record.state != MoveState.RUNNING) return false
        val last = record.start + record.duration * record.schedule.steps.last().startFraction
        val due = last + (record.deadline - last) * COMPLETION_FRACTION
        if (now.wall < due) return false
        val ready = endpoints.groupBy { it.domain }.values.all { list ->
            list.any { runningVersion(record, it) == record.to }
        }
        return ready
    }

    private fun MutableList<MoveAction>.addEndpointOrders(
        move: KnownMove,
        endpoints: List<EndpointConfig>,
        now: Now
    ) {
        val record = move.record
        if (isSettled(record, endpoints, now)) return
        val toMove = if (move.isStopped) emptySet() else plannedEndpoints(record, endpoints, now)
        val loading = endpoints
            .filter { endpointStates[it.id]?.pendingOrder is EndpointOrder.Load }
            .groupingBy { it.domain }.eachCount().toMutableMap()
        val size = endpoints.groupingBy { it.domain }.eachCount()
        for (endpoint in endpoints) {
            val state = endpointStates.getOrPut(endpoint.id) { EndpointState() }
            if (!mayOrder(endpoint, state, now)) continue
            val order = nextOrder(record, endpoint, state, endpoint.id in toMove, now) ?: continue
            if (order is EndpointOrder.Load) {
                val count = loading[endpoint.domain] ?: 0
                if (count >= maxOf(1, size.getValue(endpoint.domain) / ENDPOINTS_PER_LOAD)) continue
                loading[endpoint.domain] = count + 1
                // The endpoint's version is unknown until it answers.
                state.reportedVersion = null
            }
            state.pendingOrder = order
            state.orderSentAt = now.elapsed
            add(MoveAction.OrderEndpoint(endpoint.id, order, fencing))
        }
    }

    /** Returns the endpoints that run the new version at [now], or all after a completed move. */
    private fun plannedEndpoints(
        record: MoveRecord,
        endpoints: List<EndpointConfig>,
        now: Now
    ): Set<EndpointId> {
        if (record.state == MoveState.DONE) return endpoints.mapTo(HashSet()) { it.id }
        val count = record.schedule.endpointCount(record.stepAt(now.wall), endpoints.size)
        return endpointsToMove(record, endpoints, count).mapTo(HashSet()) { it.id }
    }

    /**
     * Whether the move's deadline passed more than [MoveSettings.settleTime] ago and all endpoints
     * run the version that the move left in force.
     */
    private fun isSettled(record: MoveRecord, endpoints: List<EndpointConfig>, now: Now): Boolean {
        val inForce = record.versionInForce ?: return false
        return now.wall > record.deadline + settings.settleTime &&
            endpoints.all { runningVersion(record, it) == inForce }
    }

    private fun mayOrder(endpoint: EndpointConfig, state: EndpointState, now: Now): Boolean {
        if (!endpoint.checksFencing && now.elapsed < quietPeriodEnd) return false
        val open =
            state.pendingOrder != null && now.elapsed - state.orderSentAt < settings.orderTimeout
        return !open && now.elapsed >= state.retryAt
    }

    private fun nextOrder(
        record: MoveRecord,
        endpoint: EndpointConfig,
        state: EndpointState,
        shouldRunNew: Boolean,
        now: Now
    ): EndpointOrder? {
        val present = state.reportedVersion
        val stale =
            !endpoint.checksFencing && now.elapsed - state.readAt >= settings.readBackInterval
        val back = record.state == MoveState.ROLLED_BACK && present == record.to
        return when {
            present == null || stale -> EndpointOrder.ReadVersion
            shouldRunNew && present != record.to -> EndpointOrder.Load(record.to)
            back && endpoint.version != record.to -> EndpointOrder.Load(record.from)
            else -> null
        }
    }

    private companion object {
        // The fraction of the time between the last step and the deadline after which a move is
        // completed. The rest is reserved for writing the outcome.
        const val COMPLETION_FRACTION = 0.5

        // At most one in this many endpoints of a failure domain (but at least one) loads a version
        // at a time, to limit the loss of capacity.
        const val ENDPOINTS_PER_LOAD = 8
    }
}
