/*
 * The simulated fleet of MoveBench: arrivals, endpoints with load, and shared faults, in virtual time.
 * The policy under test chooses versions; everything else is the same for both policies and depends
 * on the seed alone.
 */
package org.hemlockpond.bench

import java.util.PriorityQueue
import java.util.SplittableRandom
import kotlin.math.exp
import kotlin.math.ln
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.RouteConfig
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.RouteKind
import org.hemlockpond.core.VersionId
import org.hemlockpond.core.moves.OutcomeResult

/** What a policy decides. */
internal interface MovePolicy {
    /** Whether request [id] at [router] goes to the new version. */
    fun isNew(router: Int, id: Long): Boolean

    fun outcome(router: Int, new: Boolean, domain: Int, load: Double, result: OutcomeResult)

    /** Called four times a second. */
    fun tick()

    /** Whether the move is done, rolled back, or neither. */
    val ended: MoveEnd
}

internal enum class MoveEnd { RUNNING, DONE, ROLLED_BACK }

internal class Endpoint(val index: Int, val domain: Int, val speed: Double) {
    var new = false
    var loading = false
    var inFlight = 0
}

/** What one run showed. Times are in seconds since the start of the move. */
internal class RunResult(
    val end: MoveEnd,
    val inTime: Boolean,
    val requests: Double,
    val newRequests: Int,
    val newAfterOnset: Int,
    val firstSign: Double?,
    val lastNew: Double?,
    val afterGrace: Int
)

internal class MoveWorld(
    val deployment: MoveDeployment,
    val scenario: Scenario,
    val length: Double,
    val seed: Long
) {
    private class Event(val time: Double, val order: Long, val run: () -> Unit)

    private val queue = PriorityQueue<Event>(compareBy({ it.time }, { it.order }))
    private var order = 0L
    private val plan = SplittableRandom(seed)
    private val faultFrom = length * (0.05 + 0.75 * plan.nextDouble())
    private val faultUntil = faultFrom + length * FAULT_PART
    private val onset = when {
        scenario.badness?.late != true -> 0.0

        scenario.fault == SharedFault.NONE -> length * (0.2 + 0.6 * plan.nextDouble())

        // Badness that begins during a shared fault.
        else -> faultFrom + 0.5 * length * FAULT_PART * plan.nextDouble()
    }
    private val faultDomain = plan.nextInt(deployment.domains)

    val endpoints = List(deployment.runners) { i ->
        Endpoint(i, i % deployment.domains, exp(ENDPOINT_SIGMA * gaussian(plan)))
    }
    var time = 0.0
        private set

    private var newRequests = 0
    private var newAfterOnset = 0
    private var firstSign: Double? = null
    private var lastNew: Double? = null
    private var afterGrace = 0

    private fun faultNow(kind: SharedFault) =
        scenario.fault == kind && time >= faultFrom && time < faultUntil

    val storeUp: Boolean get() = !faultNow(SharedFault.STORE_OUTAGE)

    /** Whether hosts of two domains reach each other; the store is in none of them. */
    fun connected(a: Int, b: Int): Boolean =
        a == b || !faultNow(SharedFault.PARTITION) || (a != faultDomain && b != faultDomain)

    fun storeReachable(domain: Int): Boolean =
        storeUp && !(faultNow(SharedFault.PARTITION) && domain == faultDomain)

    fun domainOf(router: Int): Int = router % deployment.domains

    fun at(time: Double, run: () -> Unit) {
        queue += Event(time, order++, run)
    }

    /** Runs the move under [policy] until [GRACE] seconds after its end, or past the deadline. */
    fun run(policy: MovePolicy): RunResult {
        val arrivals = SplittableRandom(seed + 1)
        arrive(policy, arrivals, 0L)
        ticks(policy)
        var stopAt = length + OVERTIME
        var endedAt: Double? = null
        while (true) {
            val event = queue.poll() ?: break
            if (event.time > stopAt) break
            time = event.time
            event.run()
            if (endedAt == null && policy.ended != MoveEnd.RUNNING) {
                endedAt = time
                stopAt = minOf(stopAt, if (policy.ended == MoveEnd.DONE) time else time + GRACE)
            }
        }
        return RunResult(
            policy.ended,
            (endedAt ?: Double.MAX_VALUE) <= length,
            deployment.rate * scenario.rateFactor * length,
            newRequests,
            newAfterOnset,
            firstSign,
            lastNew,
            afterGrace
        )
    }

    private fun ticks(policy: MovePolicy) {
        at(time + TICK) {
            policy.tick()
            ticks(policy)
        }
    }

    private fun arrive(policy: MovePolicy, random: SplittableRandom, id: Long) {
        val surge = if (faultNow(SharedFault.OVERLOAD)) SURGE else 1.0
        val rate = deployment.rate * scenario.rateFactor * surge
        at(time - ln(1 - random.nextDouble()) / rate) {
            dispatch(policy, random.nextInt(deployment.routers), id, 0)
            arrive(policy, random, id + 1)
        }
    }

    private fun dispatch(policy: MovePolicy, router: Int, id: Long, retry: Int) {
        val domain = domainOf(router)
        val new = policy.isNew(router, id)
        val own = endpoints.filter { it.domain == domain }
        val endpoint = own.filter { it.new == new && !it.loading }.minByOrNull { it.inFlight }
            ?: return
        val load = own.sumOf { it.inFlight } / (CAPACITY * own.size)
        if (new) countNew()
        val sick = faultNow(SharedFault.UNHEALTHY_DOMAIN) && domain == faultDomain
        val conditions = Conditions(
            load = endpoint.inFlight / CAPACITY,
            failures = if (sick) SICK_FAILURES else 0.0,
            slowness = endpoint.speed * if (sick) SICK_SLOWNESS else 1.0
        )
        val badness = scenario.badness.takeIf { new && time >= onset }
        val random = SplittableRandom(seed * 1_000_003 + id * 8 + retry)
        val attempt = drawAttempt(random, deployment.mix, conditions, badness)
        endpoint.inFlight++
        val tell = { result: OutcomeResult -> policy.outcome(router, new, domain, load, result) }
        val first = minOf(attempt.firstToken, FIRST_TOKEN_WAIT)
        val sign = { if (attempt.showsBadness && firstSign == null) firstSign = time }
        if (!attempt.failed || attempt.firstToken > FIRST_TOKEN_WAIT) {
            at(time + first) {
                sign()
                tell(OutcomeResult.FirstToken(first.seconds()))
            }
        }
        at(time + attempt.end) {
            sign()
            endpoint.inFlight--
            if (attempt.failed) {
                tell(OutcomeResult.Failed)
                if (retry < RETRIES) dispatch(policy, router, id, retry + 1)
            } else {
                tell(OutcomeResult.TokenGap(attempt.gap.seconds()))
                tell(OutcomeResult.Completed)
            }
        }
    }

    private fun countNew() {
        newRequests++
        lastNew = time
        if (time >= onset) newAfterOnset++
        if ((firstSign ?: Double.MAX_VALUE) + GRACE_AFTER_SIGN < time) afterGrace++
    }

    companion object {
        const val TICK = 0.25
        private const val OVERTIME = 120.0
        private const val GRACE = 30.0
        private const val GRACE_AFTER_SIGN = 3.0
        private const val FAULT_PART = 0.15
        private const val SURGE = 3.0
        private const val SICK_FAILURES = 0.2
        private const val SICK_SLOWNESS = 2.0
        private const val CAPACITY = 32.0
        private const val RETRIES = 1
        private const val FIRST_TOKEN_WAIT = 5.0

        // Two endpoints of one version differ by about this part in speed.
        private const val ENDPOINT_SIGMA = 0.1
    }
}

internal fun Double.seconds(): kotlin.time.Duration =
    with(kotlin.time.Duration.Companion) { this@seconds.seconds }

internal val benchRoute = RouteId("advice")
internal val oldVersion = VersionId("v1")
internal val newVersion = VersionId("v2")

internal fun domainName(index: Int) = FailureDomain("zone-$index")

internal fun endpointId(index: Int) = EndpointId("runner-$index")

internal fun fleetConfig(world: MoveWorld) = FleetConfig(
    domains = List(world.deployment.domains) { domainName(it) },
    routes = listOf(RouteConfig(benchRoute, RouteKind.MODEL, oldVersion)),
    endpoints = world.endpoints.map {
        EndpointConfig(
            id = endpointId(it.index),
            route = benchRoute,
            version = oldVersion,
            domain = domainName(it.domain),
            host = "127.0.0.1",
            port = 1,
            checksFencing = it.index % 2 == 0
        )
    }
)
