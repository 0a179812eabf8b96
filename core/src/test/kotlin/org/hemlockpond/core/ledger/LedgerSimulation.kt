/*
 * Simulates a fleet of ledgers with a network, a store, budgets and callers. One seed determines
 * the schedule and its faults. Each request has its own customer, so the customer's total charge is
 * the bill of the request.
 */
package org.hemlockpond.core.ledger

import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.Execution
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

private const val TICK_MILLIS = 20L

internal class LedgerSimulation(
    seed: Long,
    private val faults: Faults,
    private val log: ((String) -> Unit)? = null
) {
    /** The kinds of faults that a schedule includes. */
    data class Faults(
        val loss: Boolean = false,
        val partitions: Boolean = false,
        val deaths: Boolean = false,
        val pauses: Boolean = false,
        val store: Boolean = false,
        val isolation: Boolean = false
    )

    private class ScheduledTask(val at: Long, val order: Long, val run: () -> Unit)

    private val random = Random(seed)
    private val queue = PriorityQueue<ScheduledTask>(compareBy({ it.at }, { it.order }))
    private var order = 0L
    private val store = SimulatedStore(random, this, faults.store)
    private var areDomainsCut = false
    private val settings = LedgerSettings(
        copyInterval = 10.milliseconds,
        copySilenceTimeout = 400.milliseconds,
        repeatDelay = 200.milliseconds,
        storeTimeout = 300.milliseconds,
        openWindow = 1.hours
    )
    val nodes = listOf("a", "b").flatMap { domain ->
        (1..3).map { Node(RouterId("$domain$it"), FailureDomain(domain), settings) }
    }
    val callers = ArrayList<Caller>()
    val violations = ArrayList<String>()

    /** Routers whose death is one of the documented in-doubt cases; their bills aren't checked. */
    val routersInDoubt = HashSet<RouterId>()
    private val isolations = ArrayList<Pair<Node, LongRange>>()
    var timeMillis = 0L
        private set

    fun run() {
        for (node in nodes) {
            schedule(random.nextLong(TICK_MILLIS)) { tick(node) }
        }
        updateMembership()
        repeat(random.nextInt(3, 7)) { addCaller(it) }
        if (faults.partitions && random.nextInt(4) > 0) addPartition()
        if (faults.deaths) repeat(random.nextInt(1, 4)) { addDeath() }
        if (faults.pauses) repeat(random.nextInt(1, 3)) { addPause() }
        if (faults.store) repeat(random.nextInt(1, 3)) { addStoreOutage() }
        if (faults.isolation) addIsolation()
        while (true) {
            val due = queue.poll() ?: break
            if (due.at > END_MILLIS) break
            timeMillis = due.at
            due.run()
        }
    }

    fun schedule(delay: Long, run: () -> Unit) {
        queue += ScheduledTask(timeMillis + delay, order++, run)
    }

    private fun tick(node: Node) {
        if (!node.isAlive) return
        deliver(node, LedgerEvent.Tick)
        schedule(TICK_MILLIS) { tick(node) }
    }

    /** Passes an event to a router; a paused router receives it when it resumes. */
    fun deliver(node: Node, event: LedgerEvent) {
        if (!node.isAlive) return
        if (node.pausedUntil > timeMillis) {
            node.inbox += event
            return
        }
        val now = Now(timeMillis.milliseconds, Instant.fromEpochMilliseconds(timeMillis))
        if (event != LedgerEvent.Tick) log?.invoke("$timeMillis ${node.id} <- $event")
        for (action in node.ledger.handle(event, now)) {
            log?.invoke("$timeMillis ${node.id} -> $action")
            perform(node, action)
        }
        if (event is LedgerEvent.RouterDied) closeSlices(event.router, node)
    }

    private fun perform(node: Node, action: LedgerAction) {
        when (action) {
            is LedgerAction.SendToPeer -> transmit(node, action.to, action.message)

            is LedgerAction.Proceed -> proceed(node, action)

            is LedgerAction.Reject -> answer(node, action.request, action.kind)

            is LedgerAction.Replay -> answer(node, action.request, action.answer)

            is LedgerAction.Release -> released(node, action)

            is LedgerAction.CreditBill -> node.spent.merge(
                action.customer,
                -action.tokens,
                Long::plus
            )

            is LedgerAction.WriteRunRecords -> store.writeRecords(node, action)

            is LedgerAction.ReadRunRecord -> store.readRecord(node, action.request)

            is LedgerAction.CommitSpend -> store.commit(node, action)
        }
    }

    private fun canReach(from: Node, to: Node): Boolean = !from.isIsolated && !to.isIsolated &&
        !(areDomainsCut && from.domain != to.domain)

    private fun transmit(from: Node, to: RouterId, message: LedgerMessage) {
        val target = nodes.first { it.id == to }
        val copies = if (faults.loss && random.nextInt(25) == 0) 2 else 1
        repeat(copies) {
            if (faults.loss && random.nextInt(50) == 0) return@repeat
            val slow = faults.loss && random.nextInt(20) == 0
            schedule(if (slow) random.nextLong(1, 80) else random.nextLong(1, 4)) {
                if (canReach(from, target)) {
                    deliver(target, LedgerEvent.PeerReceived(from.id, message))
                }
            }
        }
    }

    /** Tells every router, after a delay, which routers are live, reachable or proven dead. */
    private fun updateMembership() {
        for (node in nodes) {
            schedule(random.nextLong(20, 80)) {
                if (!node.isAlive) return@schedule
                val peers = ArrayList<Peer>()
                for (other in nodes) {
                    if (other == node) continue
                    val reach = canReach(node, other)
                    if (!other.isAlive && reach && node.knownDead.add(other.id)) {
                        deliver(node, LedgerEvent.RouterDied(other.id))
                    }
                    if (other.id in node.knownDead) continue
                    peers += Peer(other.id, other.domain, reach && other.isAlive)
                }
                deliver(node, LedgerEvent.PeersChanged(peers))
            }
        }
    }

    /** Closes a dead router's slices from the first complete copy, as the budget does. */
    private fun closeSlices(router: RouterId, by: Node) {
        val dead = nodes.first { it.id == router }
        val copies = by.ledger.copiesOf(router)
        if (dead.closedCharges != null || copies?.complete != true) return
        if (copies.epoch < (store.epochs[router] ?: 0)) return
        dead.closedCharges = (copies.settled.keys + copies.open.keys).associateWith {
            (copies.settled[it] ?: 0) + (copies.open[it] ?: 0)
        }
    }

    private fun addCaller(number: Int) {
        val caller = Caller(number, random.nextInt(4) > 0)
        callers += caller
        var at = random.nextLong(100, 1_500)
        repeat(random.nextInt(1, 4)) { attempt ->
            val digest = if (attempt > 0 && random.nextInt(12) == 0) "other" else "content"
            schedule(at) { call(caller, digest) }
            at += if (random.nextInt(5) == 0) random.nextLong(3) else random.nextLong(30, 1_500)
        }
    }

    private fun call(caller: Caller, digest: String) {
        val available = nodes.filter { it.isAlive && it.pausedUntil <= timeMillis }
        val node = available.randomOrNull(random) ?: return
        val call = Call(node, caller, digest, timeMillis)
        caller.calls += call
        val busy = node.active[caller.request]
        if (busy == null) node.active[caller.request] = call
        val begin = LedgerEvent.Begin(
            caller.request,
            caller.customer,
            digest,
            caller.idempotent,
            RESERVED
        )
        if (busy != null) {
            // The second Begin is answered immediately; the first call stays active.
            val now = Now(timeMillis.milliseconds, Instant.fromEpochMilliseconds(timeMillis))
            val reply = node.ledger.handle(begin, now).single() as LedgerAction.Reject
            call.reply = reply.kind
            call.answeredAt = timeMillis
        } else {
            node.held.merge(caller.customer, RESERVED, Long::plus)
            deliver(node, begin)
        }
    }

    private fun proceed(node: Node, action: LedgerAction.Proceed) {
        val call = node.active.getValue(action.request)
        if (call.proceeded) violations += "${action.request}: proceeded twice at ${node.id}"
        call.proceeded = true
        call.answeredAt = timeMillis
        call.takenOver = action.takenOver
        node.held.merge(call.caller.customer, -minOf(RESERVED, action.takenOver), Long::plus)
        schedule(random.nextLong(5, 250)) { end(node, call) }
    }

    private fun end(node: Node, call: Call) {
        if (!node.isAlive) return
        if (node.pausedUntil > timeMillis) {
            schedule(node.pausedUntil - timeMillis + 1) { end(node, call) }
            return
        }
        val request = call.caller.request
        val hold = maxOf(0, RESERVED - call.takenOver)
        node.held.merge(call.caller.customer, -hold, Long::plus)
        val used = random.nextLong(10, 100)
        val kind = random.nextInt(10)
        if (kind == 0) {
            call.abandoned = true
            node.active.remove(request)
            deliver(node, LedgerEvent.Abandon(request))
            return
        }
        call.used = used
        node.spent.merge(call.caller.customer, maxOf(0, used - call.takenOver), Long::plus)
        if (kind == 1) {
            node.active.remove(request)
            deliver(node, LedgerEvent.Interrupted(request, used))
            return
        }
        val answer = RecordedAnswer(200, "application/json", "$request $used")
        if (kind > 3) call.caller.answers += answer
        deliver(node, LedgerEvent.Finish(request, used, answer.takeIf { kind > 3 }))
    }

    private fun released(node: Node, action: LedgerAction.Release) {
        val call = node.active.remove(action.request)
        if (call?.used != action.bill.tokens) violations += "${action.request}: wrong release"
        call?.released = true
    }

    private fun answer(node: Node, request: RequestId, reply: Any) {
        val call = node.active.remove(request)
        if (call == null) {
            violations += "$request: $reply without a call at ${node.id}"
            return
        }
        node.held.merge(call.caller.customer, -RESERVED, Long::plus)
        call.reply = reply
        call.answeredAt = timeMillis
        if (call.proceeded && (reply as? ErrorKind)?.execution == Execution.NOT_RUN) {
            violations += "$request: untrue not run, $reply at ${node.id}"
        }
    }

    private fun addPartition() {
        schedule(random.nextLong(50, 1_500)) {
            areDomainsCut = true
            updateMembership()
            schedule(random.nextLong(200, 1_500)) {
                areDomainsCut = false
                updateMembership()
            }
        }
    }

    private fun addDeath() {
        schedule(random.nextLong(100, 3_000)) {
            val node = nodes.filter { it.isAlive }.random(random)
            val near = nodes.filter { it != node && it.domain == node.domain }
            for (other in near) {
                val diedAt = other.diedAt ?: continue
                if (timeMillis - diedAt < SECOND_FAILURE_MILLIS) {
                    routersInDoubt += other.id
                    routersInDoubt += node.id
                }
            }
            val cut = isolations.any { (isolated, span) ->
                isolated.domain == node.domain &&
                    timeMillis in span.first..span.last + SECOND_FAILURE_MILLIS
            }
            val alone =
                near.none { it.isAlive } ||
                    timeMillis - node.lastWithoutPeerAt < SECOND_FAILURE_MILLIS
            if (cut || alone) routersInDoubt += node.id
            log?.invoke("$timeMillis ${node.id} died")
            node.diedAt = timeMillis
            node.active.clear()
            node.inbox.clear()
            updateMembership()
        }
    }

    private fun addPause() {
        schedule(random.nextLong(100, 2_500)) {
            val node = nodes.filter { it.isAlive }.random(random)
            if (node.pausedUntil <= timeMillis) node.pausedSince = timeMillis
            val until = timeMillis + random.nextLong(50, 1_000)
            node.pausedUntil = maxOf(node.pausedUntil, until)
            schedule(until - timeMillis) { resume(node) }
        }
    }

    private fun resume(node: Node) {
        if (node.pausedUntil > timeMillis) return
        val from = node.pausedSince - TICK_MILLIS
        if (timeMillis - from > settings.copySilenceTimeout.inWholeMilliseconds) {
            routersInDoubt += nodes.filter { other ->
                other.domain == node.domain && (other.diedAt ?: 0) > from - DETECTION_MILLIS
            }.map { it.id }
        }
        while (node.inbox.isNotEmpty()) deliver(node, node.inbox.removeFirst())
    }

    private fun addStoreOutage() {
        schedule(random.nextLong(50, 1_500)) {
            val affected = nodes.filter { random.nextBoolean() }
            setStoreCut(affected, cut = true)
            schedule(random.nextLong(100, 1_200)) { setStoreCut(affected, cut = false) }
        }
    }

    private fun setStoreCut(affected: List<Node>, cut: Boolean) {
        for (node in affected) {
            node.isStoreCut = cut
            schedule(random.nextLong(20, 80)) {
                deliver(node, LedgerEvent.StoreReachable(!node.isStoreCut))
            }
        }
    }

    private fun addIsolation() {
        val at = random.nextLong(100, 1_500)
        val length = random.nextLong(200, 1_500)
        schedule(at) {
            val node = nodes.filter { it.isAlive }.random(random)
            isolations += node to timeMillis..timeMillis + length
            val near = nodes.filter { it.domain == node.domain }
            routersInDoubt +=
                near.filter {
                    timeMillis - (it.diedAt ?: -SECOND_FAILURE_MILLIS) <
                        SECOND_FAILURE_MILLIS
                }
                    .map { it.id }
            node.isIsolated = true
            updateMembership()
            schedule(length) {
                node.isIsolated = false
                updateMembership()
            }
        }
    }

    companion object {
        /** All faults end within 4.5 s; the remaining time is for reconciliation. */
        const val END_MILLIS = 8_000L

        /** Two deaths in one failure domain within this time are a documented in-doubt case. */
        const val SECOND_FAILURE_MILLIS = 1_500L

        /** The longest time from a death to its proof. */
        const val DETECTION_MILLIS = 100L
    }
}
