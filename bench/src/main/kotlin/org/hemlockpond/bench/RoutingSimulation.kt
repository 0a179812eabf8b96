/*
 * Routers, engines and callers in virtual time, in steps of 20 ms.
 */
package org.hemlockpond.bench

import java.util.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.routing.AttemptOutcome
import org.hemlockpond.core.routing.RoutingAction
import org.hemlockpond.core.routing.RoutingEvent
import org.hemlockpond.core.routing.RoutingMessage
import org.hemlockpond.core.routing.RoutingSettings

/** Counts of one run. Times are in seconds. */
internal class RoutingResult {
    val crashes = HashMap<CrashCause, Int>()
    val quickWaits = ArrayList<Double>()
    val longWaits = ArrayList<Double>()
    var completed = 0
    var events = 0L
    val rejected = HashMap<ErrorKind, Int>()
    var lookups = 0
    var hits = 0
}

/**
 * @property poisonAt when the crashing request is first sent; it is sent again under a new key,
 *   through another router, one second after each error
 */
internal class RoutingSimulation(
    private val deployment: RoutingDeployment,
    kind: PolicyKind,
    seed: Long,
    private val poisonAt: Double? = null,
    base: RoutingSettings = RoutingSettings()
) {
    private class Letter(
        val at: Double,
        val from: RouterId,
        val to: RouterId,
        val m: RoutingMessage
    )

    private val random = Random(seed xor 0x5eed)
    private val workload = Workload(deployment, seed)
    private val domains = List(deployment.routers) { RouterId("r$it") to deployment.domain(it) }
        .toMap()
    private val policies = domains.mapValues {
        kind.create(it.key, it.value, deployment, base)
    }
    private val engines = deployment.config.endpoints.associate { it.id to EngineModel(it) }
    private val arrivals = HashMap<RequestId, Arrival>()
    private val letters = ArrayDeque<Letter>()
    private val resends = ArrayDeque<Arrival>()
    private val result = RoutingResult()
    private var poisons = 0
    private var time = 0.0

    fun run(seconds: Double, flood: ClosedFloatingPointRange<Double>?): RoutingResult {
        val queue = ArrayDeque(workload.arrivals(seconds, flood))
        policies.keys.forEach { handle(it, RoutingEvent.ConfigChanged(deployment.config)) }
        policies.keys.forEach { handle(it, RoutingEvent.PeersChanged(domains)) }
        poisonAt?.let { resends += workload.poison(it, poisons++) }
        var step = 0
        // The time after the last arrival lets the queues empty.
        while (time < seconds + 120) {
            time = ++step * STEP
            while (letters.isNotEmpty() && letters.first().at <= time) {
                val letter = letters.removeFirst()
                handle(letter.to, RoutingEvent.PeerReceived(letter.from, letter.m))
            }
            while (queue.isNotEmpty() && queue.first().at <= time) submit(queue.removeFirst())
            while (resends.isNotEmpty() && resends.first().at <= time) submit(resends.removeFirst())
            engines.values.forEach { advance(it) }
            if (step % TICK_STEPS == 0) policies.keys.forEach { handle(it, RoutingEvent.Tick) }
            if (step % REPORT_STEPS == 0) report()
        }
        engines.values.forEach { engine ->
            result.lookups += engine.lookups
            result.hits += engine.hits
        }
        return result
    }

    private fun submit(arrival: Arrival) {
        arrivals[arrival.work.id] = arrival
        // The load balancer knows nothing of load.
        val router = domains.keys.elementAt(random.nextInt(domains.size))
        handle(router, RoutingEvent.Submit(arrival.work))
    }

    private fun report() = engines.values.forEach { engine ->
        val healthy = !engine.isDown(time)
        val report = RoutingEvent.LoadReport(engine.config.id, engine.held.toLong(), healthy)
        policies.keys.forEach { handle(it, report) }
    }

    private fun handle(router: RouterId, event: RoutingEvent) {
        result.events++
        val now = Now(time.seconds, Instant.fromEpochSeconds(0) + time.seconds)
        for (action in policies.getValue(router).handle(event, now)) apply(router, action)
    }

    private fun apply(router: RouterId, action: RoutingAction) {
        when (action) {
            is RoutingAction.Dispatch -> dispatch(router, action)

            is RoutingAction.Reject -> rejected(action)

            is RoutingAction.Complete -> result.completed++

            is RoutingAction.CancelAttempt -> engines.getValue(action.endpoint).sequences
                .removeIf { it.router == router && it.attempt == action.attempt }

            is RoutingAction.SendToPeer -> send(router, action.to, action.message)

            is RoutingAction.SendToPeers ->
                (domains.keys - router).forEach { send(router, it, action.message) }

            is RoutingAction.DropAnswer -> Unit
        }
    }

    private fun send(from: RouterId, to: RouterId, message: RoutingMessage) {
        letters += Letter(time + STEP, from, to, message)
    }

    private fun dispatch(router: RouterId, action: RoutingAction.Dispatch) {
        val engine = engines.getValue(action.endpoint)
        val arrival = arrivals.getValue(action.request)
        if (engine.isDown(time)) {
            end(router, action, AttemptOutcome.NotSent)
            return
        }
        engine.start(Sequence(router, action.attempt, arrival))
    }

    private fun end(router: RouterId, action: RoutingAction.Dispatch, outcome: AttemptOutcome) =
        handle(router, RoutingEvent.Completed(action.attempt, action.request, outcome))

    private fun rejected(action: RoutingAction.Reject) {
        result.rejected.merge(action.kind, 1, Int::plus)
        val arrival = arrivals.getValue(action.request)
        if (arrival.poison && poisons < POISON_SENDS) {
            resends += workload.poison(time + 1, poisons++)
        }
    }

    private fun advance(engine: EngineModel) {
        if (engine.isDown(time)) return
        val cause = engine.advance(STEP)
        if (cause != null) {
            result.crashes.merge(cause, 1, Int::plus)
            for (lost in engine.crash(time)) completed(lost, AttemptOutcome.Crashed)
            return
        }
        // Handlers may start or cancel sequences, so the loop runs over a copy.
        val current = engine.sequences.filter { it.isDone || (it.firstToken && !it.firstReported) }
        for (sequence in current) {
            if (sequence !in engine.sequences) continue
            if (!sequence.firstReported) firstToken(sequence)
            if (!sequence.isDone) continue
            engine.sequences -= sequence
            completed(sequence, AttemptOutcome.Answered(sequence.arrival.answer.toLong()))
        }
    }

    private fun firstToken(sequence: Sequence) {
        sequence.firstReported = true
        val arrival = sequence.arrival
        val waits = if (arrival.isQuick) result.quickWaits else result.longWaits
        if (!arrival.poison) waits += time - arrival.at
        val event = RoutingEvent.FirstToken(sequence.attempt, arrival.work.id)
        handle(sequence.router, event)
    }

    private fun completed(sequence: Sequence, outcome: AttemptOutcome) {
        val request = sequence.arrival.work.id
        handle(sequence.router, RoutingEvent.Completed(sequence.attempt, request, outcome))
    }

    private companion object {
        const val STEP = 0.02
        const val TICK_STEPS = 3
        const val REPORT_STEPS = 50
        const val POISON_SENDS = 10
    }
}
