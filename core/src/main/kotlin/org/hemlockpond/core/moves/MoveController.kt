/*
 * The controller of version moves. One router at a time holds the controller lease; it alone writes
 * outcomes and gives orders to endpoints. The lease's fencing number goes into the record before the
 * first order, so an earlier controller's writes fail from then on.
 */
package org.hemlockpond.core.moves

import kotlin.time.Duration
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.Now
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.VersionId

internal class MoveController(
    private val settings: MoveSettings,
    private val adopt: (MoveRecord, Long) -> Boolean
) {
    private class Write(val record: MoveRecord, val expected: Long, val at: Duration)

    private class EndpointState {
        /** The version that the endpoint reported to this controller. */
        var runs: VersionId? = null
        var readAt: Duration = Duration.ZERO
        var order: EndpointOrder? = null
        var orderedAt: Duration = Duration.ZERO
        var retryAt: Duration = Duration.ZERO
    }

    private var fencing = 0L
    private var until: Duration = Duration.ZERO
    private var held = false
    private var quietUntil: Duration = Duration.ZERO
    private val writes = HashMap<RouteId, Write>()
    private val reads = HashMap<RouteId, Duration>()
    private val states = HashMap<EndpointId, EndpointState>()
    private val announced = HashSet<Pair<RouteId, Long>>()

    fun onLease(event: MoveEvent.ControllerLease, now: Now) {
        if (event.held && event.fencing > fencing) {
            fencing = event.fencing
            quietUntil = now.elapsed + settings.quietPeriod
            states.clear()
            writes.clear()
            announced.clear()
        }
        held = event.held && event.fencing == fencing
        until = event.until
    }

    fun onRecordRead(route: RouteId, revision: Long) {
        // A read that a watch or a peer caused may be older than the write under way.
        val asked = reads.remove(route) != null
        if (asked || revision > (writes[route]?.expected ?: 0)) writes.remove(route)
    }

    fun onWritten(event: MoveEvent.RecordWritten): List<MoveAction> {
        val write = writes.remove(event.route) ?: return emptyList()
        if (event.outcome == WriteOutcome.APPLIED) {
            adopt(write.record, event.revision)
            return listOf(notice(write.record, event.revision))
        }
        return listOf(MoveAction.ReadRecord(event.route))
    }

    fun onOrderResult(event: MoveEvent.OrderResult, now: Now) {
        if (event.fencing != fencing) return
        val state = states[event.endpoint] ?: return
        state.order = null
        when (val answer = event.answer) {
            is OrderAnswer.Runs -> {
                // A load is read back before it counts, in case another order came in between.
                state.runs = answer.version.takeIf { event.order == EndpointOrder.ReadVersion }
                state.readAt = now.elapsed
            }

            OrderAnswer.Failed -> {
                state.runs = null
                state.retryAt = now.elapsed + settings.orderRetry
            }

            // A later controller has spoken to the endpoint.
            OrderAnswer.Fenced -> held = false
        }
    }

    /** What the controller does at [now]; nothing without a lease that surely still runs. */
    fun act(
        moves: Map<RouteId, KnownMove>,
        endpoints: Map<RouteId, List<EndpointConfig>>,
        now: Now
    ): List<MoveAction> = buildList {
        if (!held || now.elapsed >= until - settings.leaseMargin) return@buildList
        for ((route, move) in moves) {
            if (move.record.fencing > fencing) continue
            val own = endpoints[route].orEmpty()
            write(move, own, now)
            if (move.record.fencing == fencing) order(move, own, now)
        }
    }

    private fun MutableList<MoveAction>.write(
        move: KnownMove,
        endpoints: List<EndpointConfig>,
        now: Now
    ) {
        val record = move.record
        val pending = writes[record.route]
        if (pending != null) {
            if (now.elapsed - pending.at < settings.writeTimeout) return
            val asked = reads[record.route]
            if (asked == null || now.elapsed - asked >= settings.writeTimeout) {
                reads[record.route] = now.elapsed
                add(MoveAction.ReadRecord(record.route))
            }
            return
        }
        val change = desired(move, endpoints, now)
        if (change == record) return
        if (change.announced && !record.announced &&
            announced.add(record.route to record.number * 2 + record.state.ordinal)
        ) {
            add(ended(record))
        }
        writes[record.route] = Write(change, move.revision, now.elapsed)
        add(MoveAction.WriteRecord(record.route, move.revision, change))
    }

    private fun ended(record: MoveRecord) = MoveAction.MoveEnded(
        record.route,
        record.number,
        if (record.state == MoveState.DONE) record.to else record.from,
        record.state,
        record.cause
    )

    /** The record as it ought to be. */
    private fun desired(move: KnownMove, endpoints: List<EndpointConfig>, now: Now): MoveRecord {
        var record = move.record
        val stop = move.stop
        if (record.state != MoveState.RUNNING && !record.announced) {
            record = record.copy(announced = true)
        }
        val changed = when {
            stop != null -> rollBack(record, stop)
            isDue(record, endpoints, now) -> completeMove(record)
            else -> RecordChange.Unchanged
        }
        if (changed is RecordChange.Write) record = changed.record
        val read = endpoints.mapNotNull { endpoint ->
            states[endpoint.id]?.runs?.takeIf { it != runs(record, endpoint) }
                ?.let { endpoint.id to it }
        }
        return record.copy(fencing = fencing, placed = record.placed + read)
    }

    /**
     * Whether the move must be completed: the deadline is near, or the course has ended. Traffic
     * doesn't matter, so a version without requests is completed too. Every failure domain needs an
     * endpoint that runs the new version first.
     */
    private fun isDue(record: MoveRecord, endpoints: List<EndpointConfig>, now: Now): Boolean {
        if (record.state != MoveState.RUNNING) return false
        val last = record.start + record.length * record.course.steps.last().after
        val due = last + (record.deadline - last) * COMPLETION_PART
        if (now.wall < due) return false
        val ready = endpoints.groupBy { it.domain }.values.all { list ->
            list.any { runs(record, it) == record.to }
        }
        return ready
    }

    private fun MutableList<MoveAction>.order(
        move: KnownMove,
        endpoints: List<EndpointConfig>,
        now: Now
    ) {
        val record = move.record
        if (isSettled(record, endpoints, now)) return
        val toMove = if (move.stopped) emptySet() else planned(record, endpoints, now)
        val loading = endpoints
            .filter { states[it.id]?.order is EndpointOrder.Load }
            .groupingBy { it.domain }.eachCount().toMutableMap()
        val size = endpoints.groupingBy { it.domain }.eachCount()
        for (endpoint in endpoints) {
            val state = states.getOrPut(endpoint.id) { EndpointState() }
            if (!mayOrder(endpoint, state, now)) continue
            val order = next(record, endpoint, state, endpoint.id in toMove, now) ?: continue
            if (order is EndpointOrder.Load) {
                val count = loading[endpoint.domain] ?: 0
                if (count >= maxOf(1, size.getValue(endpoint.domain) / LOADING_PART)) continue
                loading[endpoint.domain] = count + 1
                // What the endpoint runs is unknown until it has answered.
                state.runs = null
            }
            state.order = order
            state.orderedAt = now.elapsed
            add(MoveAction.OrderEndpoint(endpoint.id, order, fencing))
        }
    }

    /** The endpoints that run the new version according to the course, or after its end. */
    private fun planned(
        record: MoveRecord,
        endpoints: List<EndpointConfig>,
        now: Now
    ): Set<EndpointId> {
        if (record.state == MoveState.DONE) return endpoints.mapTo(HashSet()) { it.id }
        val count = record.course.endpoints(record.stepAt(now.wall), endpoints.size)
        return endpointsToMove(record, endpoints, count).mapTo(HashSet()) { it.id }
    }

    /** Whether the move ended long ago and its endpoints run what it left in force. */
    private fun isSettled(record: MoveRecord, endpoints: List<EndpointConfig>, now: Now): Boolean {
        val inForce = record.versionInForce ?: return false
        return now.wall > record.deadline + settings.settleTime &&
            endpoints.all { runs(record, it) == inForce }
    }

    private fun mayOrder(endpoint: EndpointConfig, state: EndpointState, now: Now): Boolean {
        if (!endpoint.checksFencing && now.elapsed < quietUntil) return false
        val open = state.order != null && now.elapsed - state.orderedAt < settings.orderTimeout
        return !open && now.elapsed >= state.retryAt
    }

    private fun next(
        record: MoveRecord,
        endpoint: EndpointConfig,
        state: EndpointState,
        toNew: Boolean,
        now: Now
    ): EndpointOrder? {
        val present = state.runs
        val stale = !endpoint.checksFencing && now.elapsed - state.readAt >= settings.readInterval
        val back = record.state == MoveState.ROLLED_BACK && present == record.to
        return when {
            present == null || stale -> EndpointOrder.ReadVersion
            toNew && present != record.to -> EndpointOrder.Load(record.to)
            back && endpoint.version != record.to -> EndpointOrder.Load(record.from)
            else -> null
        }
    }

    private companion object {
        // The last step gets half of its time before completion; the rest is a reserve for writing
        // the outcome.
        const val COMPLETION_PART = 0.5

        // At most one endpoint in this many of a failure domain loads a version at a time, so that
        // the domain keeps its capacity.
        const val LOADING_PART = 8
    }
}
