/*
 * The two policies that MoveBench compares: a fleet of MoveFollowers, and a naive version with fixed
 * steps and a fixed error threshold that knows every outcome at once.
 */
package org.hemlockpond.bench

import java.util.SplittableRandom
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.moves.EndpointOrder
import org.hemlockpond.core.moves.MoveAction
import org.hemlockpond.core.moves.MoveEvent
import org.hemlockpond.core.moves.MoveFollower
import org.hemlockpond.core.moves.MoveMessage
import org.hemlockpond.core.moves.MoveRecord
import org.hemlockpond.core.moves.MoveSettings
import org.hemlockpond.core.moves.MoveState
import org.hemlockpond.core.moves.OrderAnswer
import org.hemlockpond.core.moves.OutcomeResult
import org.hemlockpond.core.moves.RecordChange
import org.hemlockpond.core.moves.WriteOutcome
import org.hemlockpond.core.moves.startMove

/**
 * Fixed steps of 5, 25, 50 and 100% of traffic at equal intervals. A step needs [STEP_SAMPLES]
 * requests. The move is rolled back when over 5% of the last 200 requests of the new version failed,
 * or 20% of them waited over 1.8 s for the first token, which is the latency target of the design.
 * A limit of 5% for waits rolled back every good move of Authority.
 */
internal class NaivePolicy(private val world: MoveWorld) : MovePolicy {
    private val failed = ArrayDeque<Boolean>()
    private val slow = ArrayDeque<Boolean>()
    private var samples = 0
    private var step = 0
    override var ended = MoveEnd.RUNNING
        private set

    init {
        convert()
    }

    private fun convert() {
        val count = maxOf(1, (SHARES[step] * world.endpoints.size).toInt())
        for (endpoint in world.endpoints) {
            endpoint.new = ended != MoveEnd.ROLLED_BACK && endpoint.index < count
        }
    }

    override fun isNew(router: Int, id: Long): Boolean {
        if (ended == MoveEnd.ROLLED_BACK) return false
        val own = world.endpoints.filter { it.domain == world.domainOf(router) }
        if (own.none { it.new }) return false
        if (own.all { it.new }) return true
        // Domains without a new endpoint get none, so the others get more.
        val served = world.endpoints.filter { it.new }.map { it.domain }.distinct().size
        val share = minOf(
            SHARES[step] * world.deployment.domains / served,
            own.count { it.new }.toDouble() / own.size
        )
        return SplittableRandom(id).nextDouble() < share
    }

    override fun outcome(
        router: Int,
        new: Boolean,
        domain: Int,
        load: Double,
        result: OutcomeResult
    ) {
        if (!new || ended != MoveEnd.RUNNING) return
        when (result) {
            OutcomeResult.Completed -> failed.addLast(false)

            OutcomeResult.Failed -> failed.addLast(true)

            is OutcomeResult.FirstToken ->
                slow.addLast(result.after.toDouble(DurationUnit.SECONDS) > FIRST_TOKEN_LIMIT)

            is OutcomeResult.TokenGap -> return
        }
        if (result !is OutcomeResult.FirstToken) samples++
        for ((window, limit) in listOf(failed to FAILED_LIMIT, slow to SLOW_LIMIT)) {
            if (window.size > WINDOW) window.removeFirst()
            if (window.size >= LEAST && window.count { it } > limit * window.size) {
                ended = MoveEnd.ROLLED_BACK
                convert()
            }
        }
    }

    override fun tick() {
        if (ended != MoveEnd.RUNNING) return
        if (world.time >= world.length * STEP_PART * (step + 1) && samples >= STEP_SAMPLES) {
            samples = 0
            if (step == SHARES.lastIndex) {
                ended = MoveEnd.DONE
            } else {
                step++
                convert()
            }
        }
    }

    private companion object {
        val SHARES = listOf(0.05, 0.25, 0.5, 1.0)
        const val WINDOW = 200
        const val LEAST = 20
        const val FAILED_LIMIT = 0.05
        const val SLOW_LIMIT = 0.2
        const val FIRST_TOKEN_LIMIT = 1.8
        const val STEP_SAMPLES = 50

        // Four steps of this part of the move leave a reserve before the deadline.
        const val STEP_PART = 0.24
    }
}

/** A follower in each router, a store, a lease that one router holds, and endpoints that load. */
internal class FollowerPolicy(
    private val world: MoveWorld,
    settings: MoveSettings = MoveSettings(),
    private val onMessage: (MoveMessage) -> Unit = {}
) : MovePolicy {
    private val epoch = Instant.fromEpochSeconds(1_800_000_000)
    private val ids = List(world.deployment.routers) { RouterId("router-$it") }
    private val routers = ids.mapIndexed { i, id ->
        MoveFollower(id, domainName(world.domainOf(i)), settings)
    }
    private var record: MoveRecord
    private var revision = 1L
    private var fencing = 0L
    private var renewed = -LEASE_RENEWAL

    /** The time at which a router first stopped the new version on its own. */
    var firstStop: Double? = null
        private set

    private fun now() = Now(world.time.seconds, epoch + world.time.seconds)

    init {
        val started = startMove(
            null,
            benchRoute,
            oldVersion,
            newVersion,
            epoch,
            epoch + world.length.seconds
        )
        record = (started as RecordChange.Write).record
        for (i in routers.indices) {
            tell(i, MoveEvent.ConfigChanged(fleetConfig(world)))
            tell(i, MoveEvent.PeersChanged(ids.toSet() - ids[i]))
            tell(i, MoveEvent.RecordRead(benchRoute, record, revision))
        }
    }

    override val ended: MoveEnd
        get() = when (record.state) {
            MoveState.RUNNING -> MoveEnd.RUNNING
            MoveState.DONE -> MoveEnd.DONE
            MoveState.ROLLED_BACK -> MoveEnd.ROLLED_BACK
        }

    override fun isNew(router: Int, id: Long): Boolean =
        routers[router].versionFor(benchRoute, RequestId("r$id"), now()) == newVersion

    override fun outcome(
        router: Int,
        new: Boolean,
        domain: Int,
        load: Double,
        result: OutcomeResult
    ) {
        val version = if (new) newVersion else oldVersion
        tell(router, MoveEvent.Outcome(benchRoute, version, domainName(domain), load, result))
        if (firstStop == null && routers[router].isStopped(benchRoute)) firstStop = world.time
    }

    override fun tick() {
        if (world.time - renewed >= LEASE_RENEWAL && world.storeReachable(world.domainOf(HOLDER))) {
            // A lease that ran out in an outage is granted anew, with a higher fencing number.
            if (world.time - renewed >= LEASE) fencing = ++revision
            renewed = world.time
            val until = (world.time + LEASE).seconds
            tell(HOLDER, MoveEvent.ControllerLease(true, fencing, until))
        }
        for (i in routers.indices) {
            if (world.storeReachable(world.domainOf(i))) {
                tell(i, MoveEvent.RecordRead(benchRoute, record, revision))
            }
            tell(i, MoveEvent.Tick)
        }
    }

    private fun tell(router: Int, event: MoveEvent) {
        for (action in routers[router].handle(event, now())) perform(router, action)
    }

    private fun later(delay: Double, run: () -> Unit) = world.at(world.time + delay, run)

    private fun perform(router: Int, action: MoveAction) {
        when (action) {
            is MoveAction.SendToPeers -> {
                onMessage(action.message)
                for (peer in routers.indices) {
                    if (peer == router) continue
                    if (!world.connected(world.domainOf(router), world.domainOf(peer))) continue
                    later(PEER_DELAY) {
                        tell(peer, MoveEvent.PeerReceived(ids[router], action.message))
                    }
                }
            }

            is MoveAction.ReadRecord -> later(STORE_DELAY) {
                if (world.storeReachable(world.domainOf(router))) {
                    tell(router, MoveEvent.RecordRead(action.route, record, revision))
                }
            }

            is MoveAction.WriteRecord -> later(STORE_DELAY) { write(router, action) }

            is MoveAction.OrderEndpoint -> later(PEER_DELAY) { order(router, action) }

            is MoveAction.MoveEnded -> Unit
        }
    }

    private fun write(router: Int, action: MoveAction.WriteRecord) {
        val outcome = when {
            !world.storeReachable(world.domainOf(router)) -> WriteOutcome.UNKNOWN
            action.expectedRevision != revision -> WriteOutcome.CONFLICT
            else -> WriteOutcome.APPLIED
        }
        if (outcome == WriteOutcome.APPLIED) {
            record = action.record
            revision++
        }
        tell(router, MoveEvent.RecordWritten(action.route, outcome, revision))
    }

    private fun order(router: Int, action: MoveAction.OrderEndpoint) {
        val endpoint = world.endpoints.first { endpointId(it.index) == action.endpoint }
        val answer = { answer: OrderAnswer ->
            tell(
                router,
                MoveEvent.OrderResult(action.endpoint, action.order, action.fencing, answer)
            )
        }
        val version = { if (endpoint.new) newVersion else oldVersion }
        when (val order = action.order) {
            EndpointOrder.ReadVersion -> answer(OrderAnswer.Runs(version()))

            is EndpointOrder.Load -> {
                endpoint.loading = true
                later(LOAD_TIME) {
                    endpoint.loading = false
                    endpoint.new = order.version == newVersion
                    answer(OrderAnswer.Runs(version()))
                }
            }
        }
    }

    private companion object {
        const val HOLDER = 0
        const val LEASE = 10.0
        const val LEASE_RENEWAL = 3.0
        const val LOAD_TIME = 20.0
        val PEER_DELAY = 1.milliseconds.toDouble(DurationUnit.SECONDS)
        val STORE_DELAY = 5.milliseconds.toDouble(DurationUnit.SECONDS)
    }
}
