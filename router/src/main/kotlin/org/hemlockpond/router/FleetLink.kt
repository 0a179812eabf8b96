/*
 * Joins membership, configuration and the store's notices with the decision components. Callbacks
 * arrive on other threads and are posted to the control thread, where everything else runs.
 */
package org.hemlockpond.router

import kotlin.time.Duration
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.Now
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.RouteKind
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.budget.BudgetEvent
import org.hemlockpond.core.configuration.ConfigChange
import org.hemlockpond.core.configuration.ConfigEntry
import org.hemlockpond.core.configuration.ConfigState
import org.hemlockpond.core.ledger.LedgerEvent
import org.hemlockpond.core.ledger.Peer
import org.hemlockpond.core.membership.DeathProof
import org.hemlockpond.core.membership.Member
import org.hemlockpond.core.membership.MemberView
import org.hemlockpond.core.membership.Membership
import org.hemlockpond.core.membership.MembershipAction
import org.hemlockpond.core.membership.MembershipEvent
import org.hemlockpond.core.moves.MoveAction
import org.hemlockpond.core.moves.MoveEvent
import org.hemlockpond.core.moves.OrderAnswer
import org.hemlockpond.core.routing.LeavingSource
import org.hemlockpond.core.routing.RoutingEvent
import org.hemlockpond.core.routing.RoutingMessage
import org.hemlockpond.router.endpoint.OrderClient
import org.hemlockpond.router.peer.PeerListener
import org.hemlockpond.router.peer.PeerMessage
import org.hemlockpond.router.peer.PeerNetwork
import org.hemlockpond.router.store.LeaseKeeper
import org.hemlockpond.router.store.LeaseListener
import org.hemlockpond.router.store.StoreWatch
import org.hemlockpond.router.store.StoreWorker
import org.hemlockpond.router.store.WatchListener

/** @param post runs code on the control thread */
internal class FleetLink(
    private val self: Member,
    private val membership: Membership,
    private val decisions: Control,
    private val components: Components,
    private val state: FleetState,
    private val clock: RouterClock,
    private val post: (() -> Unit) -> Unit,
    private val exit: (Int) -> Unit
) : PeerListener,
    WatchListener,
    LeaseListener {
    private val config = ConfigState()
    private var reachable = true
    private var announced = emptyList<Member>()
    private var heartbeats = 0
    private var unregistered = emptySet<RouterId>()
    private lateinit var peers: PeerNetwork
    private lateinit var store: StoreWorker
    private lateinit var watch: StoreWatch
    private lateinit var orders: OrderClient
    lateinit var leases: LeaseKeeper

    /** Called on the control thread with each new configuration. */
    var onConfig: (FleetConfig) -> Unit = {}

    fun connect(peers: PeerNetwork, store: StoreWorker, watch: StoreWatch, orders: OrderClient) {
        this.peers = peers
        this.store = store
        this.watch = watch
        this.orders = orders
    }

    fun tick() = membership(MembershipEvent.Tick)

    private fun membership(event: MembershipEvent) =
        membership.handle(event, clock.now()).forEach { perform(it) }

    private fun perform(action: MembershipAction) {
        when (action) {
            is MembershipAction.Connect -> peers.connect(action.address)

            MembershipAction.SendHeartbeats -> peers.broadcast(heartbeat())

            is MembershipAction.MembersChanged -> membersChanged(action.members)

            is MembershipAction.RouterDied -> {
                log(LogEvent.PEER_DEAD, "router" to action.router, "proof" to action.proof)
                decisions.routerDied(action.router)
            }

            is MembershipAction.PullConfig ->
                peers.send(action.from, PeerMessage.ConfigPull(config.revision))

            is MembershipAction.WatchStore -> {
                watch.set(action.watch)
                leases.contender = action.watch
            }
        }
    }

    /** The list of members is the larger part of a heartbeat, so only some carry it. */
    private fun heartbeat(): PeerMessage.Heartbeat {
        val known = membership.members.map { it.member }
        val due = known != announced || heartbeats++ % HEARTBEATS_PER_LIST == 0
        if (due) announced = known
        return PeerMessage.Heartbeat(self, if (due) known else emptyList(), config.revision)
    }

    private fun membersChanged(members: List<MemberView>) {
        val reachable = members.filter { it.reachable }.map { it.member }
        val domains = reachable.associate { it.router to it.domain }
        state.routersInDomain = 1 + reachable.count { it.domain == self.domain }
        state.limits.routersChanged(domains.keys + self.router)
        decisions.budget(BudgetEvent.PeersChanged(domains))
        decisions.ledger(
            LedgerEvent.PeersChanged(
                members.map { Peer(it.member.router, it.member.domain, it.reachable) }
            )
        )
        decisions.routing(RoutingEvent.PeersChanged(domains + (self.router to self.domain)))
        decisions.moves(MoveEvent.PeersChanged(domains.keys))
    }

    override fun received(from: RouterId, message: PeerMessage) = post {
        if (!membership.isDead(from)) accept(from, message)
    }

    private fun accept(from: RouterId, message: PeerMessage) {
        when (message) {
            is PeerMessage.Heartbeat -> if (message.member.router == from) {
                membership(
                    MembershipEvent.Heartbeat(
                        message.member,
                        message.known,
                        message.configRevision
                    )
                )
            }

            is PeerMessage.ConfigPull -> sendConfig(from, message.after)

            is PeerMessage.ConfigEntries -> applied(config.apply(message.entries))

            PeerMessage.Leaving ->
                membership(MembershipEvent.ProvenDead(from, DeathProof.LEFT))

            is PeerMessage.Budget ->
                decisions.budget(BudgetEvent.PeerReceived(from, message.message))

            is PeerMessage.Ledger ->
                decisions.ledger(LedgerEvent.PeerReceived(from, message.message))

            is PeerMessage.Routing -> {
                val routing = message.message
                if (routing is RoutingMessage.LimitUsage) {
                    state.limits.received(from, routing, clock.now())
                } else {
                    decisions.routing(RoutingEvent.PeerReceived(from, routing))
                }
            }

            is PeerMessage.Moves ->
                decisions.moves(MoveEvent.PeerReceived(from, message.message))
        }
    }

    private fun sendConfig(to: RouterId, after: Long) = config.entriesSince(after)
        .chunked(ENTRIES_PER_MESSAGE)
        .forEach { peers.send(to, PeerMessage.ConfigEntries(it)) }

    override fun answered(address: String, router: RouterId) =
        post { membership(MembershipEvent.AddressAuthenticated(address, router)) }

    override fun refused(address: String) =
        post { membership(MembershipEvent.ConnectionRefused(address)) }

    override fun configRead(entries: List<ConfigEntry>, revision: Long) =
        post { applied(config.applySnapshot(entries, revision)) }

    override fun configChanged(entries: List<ConfigEntry>) = post { applied(config.apply(entries)) }

    private fun applied(change: ConfigChange) {
        change.invalid.forEach { log(LogEvent.CONFIG_INVALID, "key" to it) }
        if (!change.applied) return
        membership.configRevision = config.revision
        config.goneRouters.filterNot { membership.isDead(it) }.forEach {
            if (it == self.router) exit(Router.FENCED_EXIT)
            membership(MembershipEvent.ProvenDead(it, DeathProof.DECLARED_GONE))
        }
        val current = config.config ?: return
        log(LogEvent.CONFIG_APPLIED, "revision" to config.revision)
        onConfig(current)
        // Peers that are behind learn of the revision at once, not with the next heartbeat.
        peers.broadcast(heartbeat())
    }

    override fun moveChanged(route: RouteId, value: String?, revision: Long) =
        store.moveRead(route, value, revision)

    override fun hostChanged(host: String, state: String?) = post {
        val leaving = state == HOST_LEAVING
        this.state.config.endpoints.filter { it.host == host }.forEach {
            decisions.routing(RoutingEvent.EndpointLeaving(it.id, LeavingSource.HOST_LIST, leaving))
        }
    }

    override fun routerLeaseRenewed(sent: Now) =
        post { decisions.budget(BudgetEvent.LeaseRenewed(sent)) }

    override fun routerLeaseLost() {
        log(LogEvent.FENCED, "router" to self.router, "reason" to "the router lease expired")
        exit(Router.FENCED_EXIT)
    }

    override fun controllerLease(held: Boolean, fencing: Long, until: Duration) = post {
        if (held) log(LogEvent.CONTROLLER, "fencing" to fencing)
        decisions.moves(MoveEvent.ControllerLease(held, fencing, until))
    }

    override fun routersRegistered(routers: Set<RouterId>) = post {
        // A router registers before its first grant. One that holds tokens and is missing from two
        // lists in a row had registered before the second was read, so its lease expired.
        val missing = components.budget.holders() - routers - self.router
        (missing intersect unregistered).filterNot { membership.isDead(it) }
            .forEach { membership(MembershipEvent.ProvenDead(it, DeathProof.LEASE_EXPIRED)) }
        unregistered = missing
    }

    override fun storeAnswered(answered: Boolean) = store.seen(answered)

    /** Tells the components that the store answers, or doesn't; on the control thread. */
    fun storeReachable(now: Boolean) {
        reachable = now
        decisions.budget(BudgetEvent.StoreReachable(now))
        decisions.ledger(LedgerEvent.StoreReachable(now))
    }

    /** Sends an order of the move controller to an endpoint. */
    fun order(action: MoveAction.OrderEndpoint) {
        val endpoint = state.endpoint(action.endpoint)
        val done = { answer: OrderAnswer ->
            post {
                if (answer !is OrderAnswer.Runs) {
                    log(
                        LogEvent.ORDER_FAILED,
                        "endpoint" to action.endpoint,
                        "fencing" to action.fencing,
                        "answer" to answer
                    )
                }
                decisions.moves(
                    MoveEvent.OrderResult(action.endpoint, action.order, action.fencing, answer)
                )
            }
        }
        if (endpoint == null) {
            done(OrderAnswer.Failed)
        } else {
            orders.order(endpoint, action.order, action.fencing, done)
        }
    }

    /** Asks the model engines of this failure domain for their load. */
    fun pollLoad() {
        val models = state.config.routes.filter { it.kind == RouteKind.MODEL }.map { it.id }.toSet()
        state.config.endpoints.filter { it.domain == self.domain && it.route in models }.forEach {
            orders.load(it) { load ->
                if (load != null) post { loadReported(it.id, load.heldTokens, load.leaving) }
            }
        }
    }

    private fun loadReported(endpoint: EndpointId, heldTokens: Long, leaving: Boolean) {
        decisions.routing(RoutingEvent.LoadReport(endpoint, heldTokens))
        if (leaving) {
            decisions.routing(RoutingEvent.EndpointLeaving(endpoint, LeavingSource.ENDPOINT))
        }
    }

    /** The state of this router for operators; on the control thread. */
    fun statusJson(open: Int, readerBytes: Long): String = buildJsonObject {
        put("router", self.router.value)
        put("domain", self.domain.value)
        put("configRevision", config.revision)
        put("storeReachable", reachable)
        put("openRequests", open)
        put("readerBytes", readerBytes)
        putJsonArray("peers") {
            membership.members.forEach {
                add(
                    buildJsonObject {
                        put("router", it.member.router.value)
                        put("domain", it.member.domain.value)
                        put("address", it.member.address)
                        put("reachable", it.reachable)
                    }
                )
            }
        }
        putJsonArray("moves") {
            state.config.routes.mapNotNull { components.moves.record(it.id)?.first }
                .forEach { add(Json.encodeToJsonElement(it)) }
        }
    }.toString()

    private companion object {
        const val HOST_LEAVING = "leaving"
        const val ENTRIES_PER_MESSAGE = 32
        const val HEARTBEATS_PER_LIST = 20
    }
}
