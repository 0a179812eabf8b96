/*
 * Assembles one router: the control thread with the decision components, the traffic thread with
 * callers and endpoints, the peer network, and the store.
 */
package org.hemlockpond.router

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import java.lang.management.ManagementFactory
import java.net.InetSocketAddress
import java.nio.file.Path
import java.util.UUID
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.budget.BudgetAction
import org.hemlockpond.core.budget.BudgetEvent
import org.hemlockpond.core.budget.BudgetHolder
import org.hemlockpond.core.budget.BudgetSettings
import org.hemlockpond.core.ledger.LedgerAction
import org.hemlockpond.core.ledger.LedgerEvent
import org.hemlockpond.core.ledger.LedgerSettings
import org.hemlockpond.core.ledger.RequestLedger
import org.hemlockpond.core.membership.Member
import org.hemlockpond.core.membership.Membership
import org.hemlockpond.core.membership.MembershipSettings
import org.hemlockpond.core.moves.MoveAction
import org.hemlockpond.core.moves.MoveEvent
import org.hemlockpond.core.moves.MoveFollower
import org.hemlockpond.core.routing.AttemptId
import org.hemlockpond.core.routing.AttemptOutcome
import org.hemlockpond.core.routing.ContractLimits
import org.hemlockpond.core.routing.Dispatcher
import org.hemlockpond.core.routing.RoutingEvent
import org.hemlockpond.core.routing.RoutingSettings
import org.hemlockpond.core.routing.StreamSettings
import org.hemlockpond.core.routing.StreamWindow
import org.hemlockpond.router.caller.CallerServer
import org.hemlockpond.router.caller.CallerService
import org.hemlockpond.router.caller.HttpAnswerWriter
import org.hemlockpond.router.endpoint.AttemptListener
import org.hemlockpond.router.endpoint.EndpointClient
import org.hemlockpond.router.endpoint.OrderClient
import org.hemlockpond.router.operator.OperatorServer
import org.hemlockpond.router.peer.PeerMessage
import org.hemlockpond.router.peer.PeerNetwork
import org.hemlockpond.router.store.LeaseKeeper
import org.hemlockpond.router.store.StoreWatch
import org.hemlockpond.router.store.StoreWorker
import org.hemlockpond.settings.RouterSecrets
import org.hemlockpond.settings.RouterSettings
import org.hemlockpond.store.EtcdStore

/** @param exit ends the process; called when the router is fenced */
internal class Router(
    private val settings: RouterSettings,
    secrets: RouterSecrets,
    private val clock: RouterClock = SystemClock(),
    private val exit: (Int) -> Unit
) {
    private val id = RouterId("${settings.router}/${incarnation()}")
    private val self = Member(id, settings.domain, settings.advertise.toString())
    private val controlThread = Executors.newSingleThreadScheduledExecutor { Thread(it, "control") }
    private val trafficGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val trafficLoop = trafficGroup.next()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val client = EtcdStore(
        settings.platform.stores.map { InetSocketAddress(it.host, it.port) },
        settings.platform.timeout
    )
    private val metrics = RouterMetrics()
    private val components = Components(
        budget = BudgetHolder(id, settings.domain, budgetSettings()),
        ledger = RequestLedger(
            id,
            settings.domain,
            LedgerSettings(retryWindow = settings.timing.retryWindow)
        ),
        dispatcher = Dispatcher(id, settings.domain, routingSettings()),
        moves = MoveFollower(id, settings.domain)
    )
    private val state = FleetState(components.moves, ContractLimits(id), ::control)
    private val orders = OrderClient(trafficGroup)
    private val outside = RouterOutside()
    private val decisions = Control(components, state, clock, outside)
    private val endpoints = EndpointClient(trafficGroup, Attempts())
    private val relays = RelayTable(::control) { flows }
    private val readers = SlowReaders(StreamWindow(streamSettings()), clock, relays)
    private val flows = RequestFlows(
        state,
        decisions,
        { trafficLoop.execute(it) },
        ::startAttempt,
        clock,
        metrics
    ).also { decisions.flows = it }
    private val fleet = FleetLink(
        self = self,
        membership = Membership(
            self,
            MembershipSettings(heartbeatInterval = settings.timing.heartbeat)
        ),
        decisions = decisions,
        components = components,
        state = state,
        clock = clock,
        post = ::control,
        exit = exit
    )
    private val peers = PeerNetwork(self, secrets.peerSecret, settings.listen.peers, fleet)
    private val store =
        StoreWorker(id, client, scope, clock, decisions, ::control, fleet::storeReachable)
    private val tls = settings.tls?.let { sslContext(it.certificateFile, it.keyFile) }
    private val callers = CallerServer(
        InetSocketAddress(settings.listen.callers.host, settings.listen.callers.port),
        trafficGroup,
        settings.limits,
        tls,
        Callers()
    )
    private val operators = OperatorServer(
        InetSocketAddress(settings.listen.operators.host, settings.listen.operators.port),
        trafficGroup,
        secrets.operatorToken,
        tls
    ) { reply -> control { reply(fleet.statusJson(flows.open, readers.heldBytes)) } }

    @Volatile
    private var accepting = false

    @Volatile
    private var slicesReturned = false

    /** Binds all ports and starts serving. */
    fun start() {
        // The peer port is bound first: it proves to others that this process lives.
        runBlocking { peers.start() }
        fleet.connect(peers, store, StoreWatch(client, scope, fleet), orders)
        fleet.onConfig = { config -> configChanged(config) }
        settings.peers.filter { it.name != settings.router }
            .forEach { peers.connect(it.address.toString()) }
        val leases =
            LeaseKeeper(client, scope, self, settings.timing.routerLease, clock, fleet)
        fleet.leases = leases
        leases.start()
        callers.start()
        operators.start()
        startGauges()
        every(LEDGER_TICK) { decisions.tickLedger() }
        every(CONTROL_TICK) { decisions.tick() }
        every(MOVE_TICK) { decisions.tickMoves() }
        every(settings.timing.heartbeat / 2) { fleet.tick() }
        every(READER_TICK) { trafficLoop.execute { readers.tick() } }
        every(LOAD_REPORT) { fleet.pollLoad() }
        accepting = true
        log(
            LogEvent.ROUTER_STARTED,
            "router" to id,
            "domain" to settings.domain,
            "callers" to settings.listen.callers,
            "operators" to settings.listen.operators,
            "peers" to settings.listen.peers
        )
    }

    private fun startGauges() {
        val threads = ManagementFactory.getThreadMXBean()
        val control = controlThread.submit<Long> { Thread.currentThread().id }.get()
        metrics.gauge("hemlockpond.control.cpu.seconds") {
            threads.getThreadCpuTime(control) / NANOS_PER_SECOND
        }
        metrics.gauge("hemlockpond.heap.bytes") {
            Runtime.getRuntime().run { totalMemory() - freeMemory() }
        }
        metrics.gauge("hemlockpond.reader.bytes") { readers.heldBytes }
        metrics.gauge("hemlockpond.peer.sent.bytes") { peers.sentBytes }
        metrics.gauge("hemlockpond.store.calls") { store.calls }
    }

    /** Ends open requests, returns unspent tokens and stops; blocks up to the drain time. */
    fun stop() {
        log(LogEvent.ROUTER_DRAINING)
        accepting = false
        control {
            flows.drain()
            decisions.routing(RoutingEvent.Drain)
        }
        val deadline = clock.now().elapsed + settings.timing.drain
        while (openRequests() > 0 && clock.now().elapsed < deadline) Thread.sleep(POLL_MILLIS)
        if (openRequests() > 0) log(LogEvent.DRAIN_TIMEOUT, "open" to openRequests())
        callers.stopAccepting()
        control { decisions.budget(BudgetEvent.Drain) }
        val returned = clock.now().elapsed + RETURN_LIMIT
        while (!slicesReturned && clock.now().elapsed < returned) Thread.sleep(POLL_MILLIS)
        if (slicesReturned) peers.broadcast(PeerMessage.Leaving)
        // Answers and the last messages leave before the connections close.
        Thread.sleep(LAST_WRITES_MILLIS)
        close()
        log(LogEvent.ROUTER_STOPPED)
    }

    private fun close() {
        controlThread.shutdownNow()
        scope.cancel()
        operators.stop()
        trafficGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
        client.close()
        peers.close()
    }

    private fun openRequests(): Int = controlThread.submit<Int> { flows.open }.get()

    private fun control(block: () -> Unit) {
        if (controlThread.isShutdown) return
        controlThread.execute { guarded(block) }
    }

    /** A failed event must not end the control thread or its timers. */
    private fun guarded(block: () -> Unit) {
        try {
            block()
        } catch (e: Exception) {
            log(LogEvent.CONTROL_FAILED, cause = e)
        }
    }

    /** Runs [block] on the control thread at each [interval]. */
    private fun every(interval: Duration, block: () -> Unit) {
        val millis = interval.inWholeMilliseconds
        val task = { guarded(block) }
        controlThread.scheduleAtFixedRate(task, millis, millis, TimeUnit.MILLISECONDS)
    }

    private fun configChanged(config: FleetConfig) {
        state.update(config)
        state.limits.configChanged(state.config)
        decisions.routing(RoutingEvent.ConfigChanged(state.config))
        decisions.moves(MoveEvent.ConfigChanged(config))
        callerDirectory = Directory(config)
    }

    @Volatile
    private var callerDirectory: Directory? = null

    private fun startAttempt(flow: RequestFlow, attempt: RunningAttempt, priority: Int) {
        trafficLoop.execute {
            endpoints.start(flow.request, flow.relay, attempt.id, attempt.endpoint, priority)
        }
    }

    private fun budgetSettings() = BudgetSettings(
        grantWait = settings.timing.grantWait,
        routerLease = settings.timing.routerLease,
        leaseMargin = settings.timing.leaseMargin
    )

    /** Memory shares must hold for routers that are started but not heard, so settings count. */
    private fun routingSettings(): RoutingSettings {
        val others = settings.peers.filter { it.name != settings.router }
        val inDomain = others.count { it.domain == settings.domain }
        return RoutingSettings(
            routersPerDomain = 1 + inDomain,
            routersElsewhere = (others.size - inDomain).coerceAtLeast(1)
        )
    }

    private fun streamSettings() = StreamSettings(
        streamBytes = settings.limits.readerWindowBytes.toInt(),
        sharedBytes = settings.limits.totalReaderBytes,
        pieceBytes = EndpointClient.READ_BYTES,
        stallTimeout = settings.timing.stalledReader
    )

    private fun sslContext(certificate: Path, key: Path): SslContext =
        SslContextBuilder.forServer(certificate.toFile(), key.toFile()).build()

    /** The callers' view of the router; used on the traffic thread. */
    private inner class Callers : CallerService {
        override val directory: Directory? get() = callerDirectory
        override val ready: Boolean get() = accepting && callerDirectory != null
        override val metrics: RouterMetrics get() = this@Router.metrics
        override val streamsPerCustomer: Int get() = settings.limits.streamsPerCustomer
        override val openAnswers = HashMap<String, Int>()

        override fun relayFor(request: CallerRequest, writer: HttpAnswerWriter): AnswerRelay =
            AnswerRelay(request, writer, readers, relays)

        override fun begin(request: CallerRequest, relay: AnswerRelay) {
            relays.put(request.request, relay)
            control { flows.begin(request, relay) }
        }

        override fun callerGone(request: CallerRequest, relay: AnswerRelay) {
            val delivered = relay.delivered
            relay.callerGone()
            control { flows.callerGone(request.request, delivered) }
        }
    }

    private inner class Attempts : AttemptListener {
        override fun sending(attempt: AttemptId) = control { flows.sending(attempt) }

        override fun ended(
            attempt: AttemptId,
            request: RequestId,
            outcome: AttemptOutcome,
            usage: Usage?
        ) = control {
            if (outcome !is AttemptOutcome.Answered) {
                log(LogEvent.ENDPOINT_FAILED, "attempt" to attempt, "outcome" to outcome)
            }
            flows.attemptEnded(attempt, request, outcome, usage)
        }
    }

    private inner class RouterOutside : Outside {
        override fun send(to: RouterId, message: PeerMessage) = peers.send(to, message)

        override fun broadcast(message: PeerMessage) = peers.broadcast(message)

        override fun store(action: BudgetAction.ReadRecord) {
            store.readBudget(action)
        }

        override fun store(action: BudgetAction.WriteRecord) {
            store.writeBudget(action)
        }

        override fun store(action: LedgerAction.WriteRunRecords) {
            store.writeRuns(action)
        }

        override fun store(action: LedgerAction.ReadRunRecord) {
            store.readRun(action)
        }

        override fun store(action: LedgerAction.CommitSpend) {
            store.commitSpend(action)
        }

        override fun readSpendEpoch(router: RouterId, done: (Long) -> Unit) {
            store.readSpendEpoch(router, done)
        }

        override fun store(action: MoveAction.ReadRecord) {
            store.readMove(action)
        }

        override fun store(action: MoveAction.WriteRecord) {
            store.writeMove(action)
        }

        override fun order(action: MoveAction.OrderEndpoint) = fleet.order(action)

        override fun fenced() {
            log(LogEvent.FENCED, "router" to id)
            exit(FENCED_EXIT)
        }

        override fun drained() {
            slicesReturned = true
        }
    }

    companion object {
        /** The exit code of a router that another router has fenced. */
        const val FENCED_EXIT = 5
        private val LEDGER_TICK = 10.milliseconds
        private val CONTROL_TICK = 50.milliseconds
        private val MOVE_TICK = 250.milliseconds
        private val READER_TICK = 100.milliseconds
        private val LOAD_REPORT = 1.seconds
        private val RETURN_LIMIT = 5.seconds
        private const val POLL_MILLIS = 20L
        private const val NANOS_PER_SECOND = 1e9
        private const val LAST_WRITES_MILLIS = 200L

        private fun incarnation(): String = UUID.randomUUID().toString().take(8)
    }
}
