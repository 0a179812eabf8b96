/*
 * A fleet of MoveFollowers on a simulated clock, with fakes of the store, the controller lease, the
 * network between routers and the endpoints. Results come from one seeded random generator.
 */
package org.hemlockpond.core.moves

import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteConfig
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.RouteKind
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.VersionId

internal val route = RouteId("advice")
internal val v1 = VersionId("v1")
internal val v2 = VersionId("v2")
internal val epoch = Instant.fromEpochSeconds(1_800_000_000)

/** How an endpoint serves a request: its failure probability and the factor on its latencies. */
internal data class Behaviour(
    val failureProbability: Double = 0.01,
    val latencyFactor: Double = 1.0
)

internal fun domainOf(index: Int) = FailureDomain("zone-${index % MoveFleet.DOMAINS}")

internal class FakeEndpoint(val config: EndpointConfig) {
    var version = v1
    private var fencing = 0L

    fun execute(order: EndpointOrder, number: Long): OrderAnswer {
        if (config.checksFencing && number < fencing) return OrderAnswer.Fenced
        fencing = maxOf(fencing, number)
        if (order is EndpointOrder.Load) version = order.version
        return OrderAnswer.Runs(version)
    }
}

internal class MoveFleet(
    val length: Duration = 600.seconds,
    checksFencing: Boolean = true,
    private val requestsPerTick: Int = 8,
    val behaviour: MoveFleet.(new: Boolean, domain: FailureDomain) -> Behaviour =
        { _, _ -> Behaviour() }
) {
    private val random = Random(7)
    val ids = List(ROUTERS) { RouterId("router-$it") }
    val endpoints = List(ENDPOINTS) {
        FakeEndpoint(
            EndpointConfig(
                EndpointId("runner-$it"),
                route,
                v1,
                domainOf(it),
                "127.0.0.1",
                1,
                checksFencing = checksFencing
            )
        )
    }
    val config = FleetConfig(
        routes = listOf(RouteConfig(route, RouteKind.MODEL, v1)),
        endpoints = endpoints.map { it.config }
    )
    val followers = ids.mapIndexed { i, id -> MoveFollower(id, domainOf(i)) }
    var time = Duration.ZERO
    var record: MoveRecord
    var revision = 1L
    var storeUp = true
    var partitionedDomain: FailureDomain? = null
    var load = 0.3
    val pausedRouters = mutableSetOf<Int>()

    /** The index of the router that holds the controller lease; [fencing] is its fencing number. */
    var leaseHolder = 0
    var fencing = 10L
    val log = mutableListOf<String>()
    val endedMoves = mutableListOf<MoveAction.MoveEnded>()
    val orders = mutableListOf<Pair<Int, MoveAction.OrderEndpoint>>()
    var newRequests = 0
    private var requests = 0
    private val queue = ArrayDeque<() -> Unit>()

    init {
        val change = startMove(null, route, v1, v2, epoch, epoch + length)
        record = (change as RecordChange.Write).record
        for (i in ids.indices) {
            deliver(i, MoveEvent.ConfigChanged(config))
            deliver(i, MoveEvent.PeersChanged(ids.toSet() - ids[i]))
        }
        queue.clear()
    }

    fun now() = Now(time, epoch + time)

    fun canReachStore(router: Int) = storeUp && domainOf(router) != partitionedDomain

    private fun connected(a: Int, b: Int) = domainOf(a) == domainOf(b) ||
        (domainOf(a) != partitionedDomain && domainOf(b) != partitionedDomain)

    /** Ends the partition; all routers see one another as live again. */
    fun healPartition() {
        partitionedDomain = null
        for (i in ids.indices) {
            deliver(i, MoveEvent.PeersChanged(emptySet()))
            deliver(i, MoveEvent.PeersChanged(ids.toSet() - ids[i]))
        }
    }

    fun run(duration: Duration) {
        val end = time + duration
        while (time < end) {
            time += TICK
            if (canReachStore(leaseHolder)) {
                deliver(leaseHolder, MoveEvent.ControllerLease(true, fencing, time + LEASE))
            }
            for (i in ids.indices) {
                if (canReachStore(i)) deliver(i, MoveEvent.RecordRead(route, record, revision))
                deliver(i, MoveEvent.Tick)
            }
            repeat(requestsPerTick) { request() }
            while (queue.isNotEmpty()) queue.removeFirst()()
        }
    }

    private fun request() {
        val id = requests++
        val router = id % ROUTERS
        if (router in pausedRouters) return
        val version = followers[router].versionFor(route, RequestId("r$id"), now()) ?: v1
        val domain = domainOf(router)
        if (version == v2) newRequests++
        val (failureProbability, latencyFactor) = behaviour(version == v2, domain)
        val failed = random.nextDouble() < failureProbability
        val first = (300 * latencyFactor * (0.6 + 0.8 * random.nextDouble())).milliseconds
        val gap = (40 * latencyFactor * (0.6 + 0.8 * random.nextDouble())).milliseconds
        val results = if (failed) {
            listOf(OutcomeResult.Failed)
        } else {
            listOf(
                OutcomeResult.FirstToken(first),
                OutcomeResult.TokenGap(gap),
                OutcomeResult.Completed
            )
        }
        for (result in results) {
            deliver(router, MoveEvent.Outcome(route, version, domain, load, result))
        }
    }

    fun deliver(router: Int, event: MoveEvent): List<MoveAction> {
        if (router in pausedRouters) return emptyList()
        val actions = followers[router].handle(event, now())
        for (action in actions) perform(router, action)
        return actions
    }

    private fun perform(router: Int, action: MoveAction) {
        if (action !is MoveAction.SendToPeers || action.message is MoveMessage.Stop) {
            log += "${time.inWholeSeconds}s router-$router ${describe(action)}"
        }
        when (action) {
            is MoveAction.SendToPeers -> for (peer in ids.indices) {
                if (peer == router || !connected(router, peer)) continue
                queue += { deliver(peer, MoveEvent.PeerReceived(ids[router], action.message)) }
            }

            is MoveAction.ReadRecord -> if (canReachStore(router)) {
                queue += { deliver(router, MoveEvent.RecordRead(route, record, revision)) }
            }

            is MoveAction.WriteRecord -> queue += { write(router, action) }

            is MoveAction.OrderEndpoint -> {
                orders += router to action
                val endpoint = endpoints.first { it.config.id == action.endpoint }
                val answer = endpoint.execute(action.order, action.fencing)
                queue += {
                    deliver(
                        router,
                        MoveEvent.OrderResult(
                            action.endpoint,
                            action.order,
                            action.fencing,
                            answer
                        )
                    )
                }
            }

            is MoveAction.MoveEnded -> endedMoves += action
        }
    }

    fun write(router: Int, action: MoveAction.WriteRecord): WriteOutcome {
        val outcome = when {
            !canReachStore(router) -> WriteOutcome.UNKNOWN
            action.expectedRevision != revision -> WriteOutcome.CONFLICT
            else -> WriteOutcome.APPLIED
        }
        if (outcome == WriteOutcome.APPLIED) {
            record = action.record
            revision++
        }
        deliver(router, MoveEvent.RecordWritten(route, outcome, revision))
        return outcome
    }

    private fun describe(action: MoveAction): String = when (action) {
        is MoveAction.ReadRecord -> "reads the record"

        is MoveAction.WriteRecord -> with(action.record) {
            "writes $state at fencing $fencing, placed ${reportedVersions.size}, " +
                "announced $endAnnounced"
        }

        is MoveAction.OrderEndpoint -> "orders ${action.endpoint}: ${action.order}"

        is MoveAction.SendToPeers -> "sends ${action.message::class.simpleName}"

        is MoveAction.MoveEnded ->
            "announces ${action.result} with ${action.version} in force, " +
                "metric ${(action.cause as? RollbackCause.Worse)?.finding?.metric}"
    }

    companion object {
        const val DOMAINS = 2
        const val ROUTERS = 4
        const val ENDPOINTS = 6
        val TICK = 250.milliseconds
        val LEASE = 10.seconds
    }
}
