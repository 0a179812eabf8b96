/*
 * Assembles one entry router. An entry host has less than one CPU core, so all components run on a
 * single event loop, which handles both decisions and traffic. They need no locks.
 */
package org.hemlockpond.router.entry

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpServerCodec
import java.net.InetSocketAddress
import java.util.UUID
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.entry.CrashReport
import org.hemlockpond.core.entry.DirectoryChange
import org.hemlockpond.core.entry.EndpointDirectory
import org.hemlockpond.core.entry.EndpointLimits
import org.hemlockpond.core.entry.EngineViews
import org.hemlockpond.core.entry.EntryConfig
import org.hemlockpond.core.entry.EntryDispatcher
import org.hemlockpond.core.entry.HostDiscovery
import org.hemlockpond.core.entry.HostName
import org.hemlockpond.core.entry.KnownHosts
import org.hemlockpond.core.entry.ListedEndpoint
import org.hemlockpond.core.entry.RolloutOrder
import org.hemlockpond.core.entry.ServiceId
import org.hemlockpond.core.entry.StoreReaderRole
import org.hemlockpond.core.entry.StoreRevisions
import org.hemlockpond.core.entry.Suspect
import org.hemlockpond.core.entry.TokenAction
import org.hemlockpond.core.entry.TokenBroker
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.RouterClock
import org.hemlockpond.router.RouterMetrics
import org.hemlockpond.router.SystemClock
import org.hemlockpond.router.callerOptions
import org.hemlockpond.router.listen
import org.hemlockpond.router.log
import org.hemlockpond.store.KeyValueStore

/**
 * @param group an event loop group with one thread
 * @param exit ends the process with the given exit code; called when another run of this host's
 *   router has taken over
 */
class EntryRouter(
    private val settings: EntryRouterSettings,
    private val group: EventLoopGroup,
    unmeteredStore: KeyValueStore,
    private val dialect: EntryDialect,
    format: FleetFormat,
    private val exit: (Int) -> Unit
) {
    private val clock: RouterClock = SystemClock()
    private val loop = group.next()
    private val scope = CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher())
    private val id =
        RouterId("${settings.host}/${UUID.randomUUID().toString().take(RUN_ID_LENGTH)}")
    private val metrics = RouterMetrics()
    private val storeCalls = StoreCallSummary()
    private val store: KeyValueStore =
        MeteredStore(unmeteredStore) { purpose, outcome ->
            metrics.storeCall(purpose, outcome.label)
            storeCalls.called(purpose, outcome.label)
        }
    private val directory = EndpointDirectory()
    private val limits = EndpointLimits(settings.entry.limits)
    private val engineViews = EngineViews(settings.entry.view)
    private val dispatcher = EntryDispatcher(
        settings.domain,
        settings.entry,
        limits = limits,
        knownHosts = DiscoveredHosts(),
        views = engineViews
    )
    private val pool = EndpointConnectionPool(
        loop,
        dialect,
        clock,
        settings
    )
    private val hostName = HostName(settings.host)
    private val parts = PartSupervisor(scope, { clock.now().elapsed }, metrics::partEnded)
    private val skippedEntries = SkippedEntries()
    private val broker = TokenBroker(hostName, settings.tokens)
    private val domainHosts = settings.peerAddress?.let { StoreRegisteredHosts(it) }
    private val budgets: DomainBudgets =
        DomainBudgets(settings.domain, broker, domainHosts, clock, BudgetEvents(), ::createBudgets)
    private val crashRecords = CrashRecords(id, store, settings, parts, clock, CrashEvents())
    private val limitRecords = LimitRecords(id, store, settings, parts, clock, limits)
    private val sharedRecords = SharedRecords(crashRecords, limitRecords)
    private val lateness = LoopLateness(settings.lateLoopLimit)
    private val requests: EntryRequests =
        EntryRequests(
            settings,
            dialect,
            dispatcher,
            budgets,
            pool,
            clock,
            metrics,
            loop,
            crashRecords,
            limitRecords,
            lateness
        ) { applyEndpointChanges(directory.processLeaves(it)) }
    private val readerRole = StoreReaderRole(hostName, settings.reader) { broker.hosts }
    private val engineReports: EngineReports = EngineReports(
        settings.domain,
        settings.reports,
        engineViews,
        readerRole,
        dialect.engineReports?.let { EngineReportCalls(loop, it, settings.reports.timeout) },
        now = { clock.now().elapsed },
        // An evacuated domain gets no calls either.
        listed = { directory.endpoints.filter { it.domain !in dispatcher.evacuatedDomains } },
        tell = { domainHosts?.peers?.tell(it) }
    )
    private val fleetWatcher = FleetWatcher(
        store,
        format,
        settings,
        parts,
        sharedRecords,
        readerRole,
        FleetEvents(),
        send = { domainHosts?.peers?.tell(it) },
        skippedEntries,
        now = { clock.now().elapsed }
    )
    private val eraWatch = StoreEraWatch(store, ::storeReturned)
    private val rolloutRefusal = RolloutRefusal(store, format, settings, parts)
    private val connections = HashSet<CallerConnection>()
    private val bodies = RequestBodies(settings.maxRequestBodyBytes)
    private val listeners = ArrayList<Channel>()
    private lateinit var callerListener: Channel
    private val callerIdleTimeout = CallerIdleTimeout(DEFAULT_CALLER_TIMEOUT, IDLE_TIMEOUT_OVERLAP)
    private var config: EntryConfig? = null

    /** How often a part of an answer was not written, because its answer was further on. */
    private var refusedWrites = 0L
    private var endpointListRead = false
    private var storeReachable = true
    private var storeAnsweredAt = Duration.ZERO
    private val entryStop =
        EntryStop(settings, loop, clock, requests, connections, { callerListener }, budgets::drain)

    @Volatile
    private var stopLimit = settings.stopLimit

    private fun createBudgets(listener: BudgetListener) = EntryBudgets(
        id,
        settings.domain,
        settings.budget,
        store,
        parts,
        clock,
        HostMarks(id, settings.callerAddress.toString(), store, clock, SystemMachineClock()),
        listener
    )

    /** Binds all addresses and starts to watch the store. */
    fun start() {
        listeners +=
            StatusServer(settings.readinessAddress, group, dialect.readinessPath, ::readiness)
                .start()
        listeners += StatusServer(settings.metricsAddress, group, "/metrics") {
            StatusPage(OK, metrics.scrape())
        }.start()
        callerListener = listen(
            settings.callerAddress,
            group,
            options = { callerOptions(CALLER_BUFFER_BYTES) },
            accept = ::accept
        )
        listeners += callerListener
        domainHosts?.bind()
        registerGauges()
        loop.execute {
            budgets.start()
            fleetWatcher.start()
            every(settings.tickInterval) { tick() }
            every(STORE_CALLS_LOG_INTERVAL) { logStoreCalls() }
        }
        log(
            LogEvent.ENTRY_STARTED,
            "router" to id,
            "domain" to settings.domain,
            "callers" to settings.callerAddress,
            "store" to settings.storeAddress
        )
    }

    private fun registerGauges() {
        metrics.gauge("hemlockpond.open.requests") { dispatcher.openRequests }
        metrics.gauge("hemlockpond.waiting.requests") { dispatcher.waitingRequests }
        metrics.gauge("hemlockpond.endpoint.connections.opened") { pool.openedConnections }
        metrics.gauge("hemlockpond.endpoint.surplus") { pool.surplusCount }
        metrics.gauge("hemlockpond.budget.store.calls") { budgets.storeCalls }
        metrics.gauge("hemlockpond.budget.store.lost") { if (budgets.isStoreReachable) 0 else 1 }
        metrics.gauge("hemlockpond.store.entries.skipped") { skippedEntries.count }
        metrics.gauge("hemlockpond.peer.hosts") { broker.hosts.size }
        metrics.gauge("hemlockpond.peer.reservations") { broker.heldCount }
        broker.remoteCounts.let { counts ->
            metrics.gauge("hemlockpond.peer.remote.asked") { counts.asked }
            metrics.gauge("hemlockpond.peer.remote.reserved") { counts.reserved }
            metrics.gauge("hemlockpond.peer.remote.refused") { counts.refused }
            metrics.gauge("hemlockpond.peer.remote.silent") { counts.silent }
        }
        metrics.gauge("hemlockpond.store.reader") {
            if (readerRole.isReader(clock.now().elapsed) && storeReachable) 1 else 0
        }
        domainHosts?.let { hosts ->
            metrics.gauge("hemlockpond.peer.datagrams.sent") { hosts.peers.sent }
            metrics.gauge("hemlockpond.peer.datagrams.refused") { hosts.peers.refused }
        }
        metrics.gauge("hemlockpond.buffered.answer.bytes") { requests.bufferedBytes }
        metrics.gauge("hemlockpond.answer.writes.refused") { refusedWrites }
        metrics.gauge("hemlockpond.request.body.bytes") { bodies.reservedBytes }
        metrics.gauge("hemlockpond.direct.memory.bytes") { usedDirectMemory }
        metrics.gauge("hemlockpond.caller.connections") { connections.size }
        metrics.gauge("hemlockpond.store.returns") { eraWatch.returns }
        metrics.gauge("hemlockpond.endpoints") { directory.endpoints.size }
        metrics.gauge("hemlockpond.placement.evacuated") { dispatcher.evacuatedDomains.size }
        metrics.gauge("hemlockpond.placement.cold.endpoints") {
            dispatcher.coldEndpoints(clock.now().elapsed)
        }
        metrics.gauge("hemlockpond.placement.cold.sends") { dispatcher.coldSends }
        metrics.gauge("hemlockpond.placement.withdrawn") { dispatcher.withdrawnSends }
        engineReports.registerGauges(metrics)
    }

    private fun accept(channel: SocketChannel) {
        val bytes = config?.limits?.maxHeaderBytes ?: DEFAULT_HEADER_BYTES
        val decoder = HttpDecoderConfig()
            .setMaxInitialLineLength(bytes)
            .setMaxHeaderSize(bytes)
        val headers = HeaderStartTracker { clock.now().elapsed }
        val connection = CallerConnection(CallerEvents(), headers)
        connections += connection
        channel.pipeline()
            .addLast(headers, HttpServerCodec(decoder), headers.DecodedHandler(), connection)
            .addLast(FailedWriteHandler())
    }

    private fun every(interval: Duration, block: () -> Unit) {
        val millis = interval.inWholeMilliseconds
        loop.scheduleWithFixedDelay(
            {
                // An exception or error would cancel the scheduled task.
                try {
                    block()
                } catch (e: Throwable) {
                    parts.taskFailed("tick", e)
                }
            },
            millis,
            millis,
            TimeUnit.MILLISECONDS
        )
    }

    private fun logStoreCalls() {
        storeCalls.next()?.let { log(LogEvent.STORE_CALLS, "calls" to it) }
    }

    private fun tick() {
        val now = clock.now().elapsed
        lateness.ticked(now)
        eraWatch.check()
        // A watch that is cut off ends only after its wait.
        if (storeReachable && isCutOffFromStore) storeReachabilityChanged(false, "silence")
        budgets.tick()
        applyEndpointChanges(directory.tick(now))
        fleetWatcher.tick(directory.graceLeft(now))
        requests.tick(now)
        pool.tick()
        engineReports.tick()
    }

    /** The host [from] has the store's answers; this one then counts as in contact with it, too. */
    private fun revisionsTold(from: HostName, revisions: StoreRevisions) {
        val now = clock.now().elapsed
        fleetWatcher.revisionsTold(from, revisions)
        if (readerRole.isFollowing(now)) storeAnsweredAt = now
        directory.extendGrace(revisions.graceMillis.milliseconds, now)
    }

    /** The store has returned from an older copy. */
    private fun storeReturned() {
        directory.extendGrace(EndpointDirectory.RENEWAL_GRACE_PERIOD, clock.now().elapsed)
        domainHosts?.storeReturned()
        crashRecords.storeReturned()
        limitRecords.storeReturned()
    }

    private fun storeReachabilityChanged(reachable: Boolean, cause: String?) {
        budgets.storeReachabilityChanged(reachable)
        if (reachable == storeReachable) return
        storeReachable = reachable
        if (reachable) {
            log(LogEvent.STORE_REACHABLE)
            directory.storeReturned(clock.now().elapsed)
        } else {
            log(LogEvent.STORE_UNREACHABLE, "cause" to cause)
            directory.storeLost()
        }
    }

    /**
     * Applies the settings that can change while the router runs: the stop limit. Changed addresses
     * take effect at the next start.
     */
    fun reload(next: EntryRouterSettings) {
        stopLimit = next.stopLimit
        log(LogEvent.SETTINGS_RELOADED, "stop limit" to next.stopLimit)
    }

    /** Reports that a repeated [task] of the process has thrown [cause]; it goes on. */
    fun taskFailed(task: String, cause: Throwable) = parts.taskFailed(task, cause)

    /** Logs the [errors] of a changed settings file, which is ignored. */
    fun reloadRefused(errors: List<String>) =
        log(LogEvent.SETTINGS_REFUSED, "errors" to errors.joinToString("; "))

    /**
     * Whether this host has lost contact with the store. Such a host has an outdated configuration
     * and few tokens, so it reports not ready and callers go to other hosts. If most hosts have
     * lost contact, the platform sends callers to all of them.
     */
    private val isCutOffFromStore: Boolean
        get() = !storeReachable ||
            clock.now().elapsed - storeAnsweredAt > settings.storeSilenceLimit

    private val isReady: Boolean
        get() = config != null && endpointListRead && sharedRecords.isRead &&
            !entryStop.isStopping && !isCutOffFromStore && parts.areCaughtUp

    private fun readiness(): StatusPage =
        if (isReady) StatusPage(OK, "ready\n") else StatusPage(UNAVAILABLE, "not ready\n")

    private fun applyEndpointChanges(changes: List<DirectoryChange>) {
        for (change in changes) {
            when (change) {
                is DirectoryChange.Added -> logEndpoint("usable", change.endpoint)

                is DirectoryChange.Updated -> Unit

                is DirectoryChange.Removed -> log(
                    LogEvent.ENDPOINT_CHANGED,
                    "endpoint" to change.id,
                    "state" to "gone",
                    "reason" to change.reason
                )
            }
        }
        if (changes.isEmpty()) return
        requests.endpointsChanged(changes)
        engineReports.endpointsChanged()
    }

    private fun logEndpoint(state: String, endpoint: ListedEndpoint) = log(
        LogEvent.ENDPOINT_CHANGED,
        "endpoint" to endpoint.id,
        "state" to state,
        "service" to endpoint.service,
        "domain" to endpoint.domain,
        "version" to endpoint.version
    )

    /**
     * Stops the router: reports not ready, finishes the open requests and returns the unspent
     * tokens. Blocks until this is done or the stop limit is reached.
     */
    fun stop() {
        val limit = stopLimit - STOP_MARGIN
        loop.execute { entryStop.begin(limit) }
        if (!entryStop.await(limit)) log(LogEvent.DRAIN_TIMEOUT, "open" to dispatcher.openRequests)
        scope.cancel()
        log(LogEvent.ROUTER_STOPPED)
    }

    /** The hosts that have registered in the store. */
    private inner class StoreRegisteredHosts(address: InetSocketAddress) : DomainHosts {
        val peers = HostPeers(hostName, id, settings.domain, address, group) {
            budgets.frameReceived(it)
            it.revisions?.let { told -> revisionsTold(it.host, told) }
            it.engines?.let(engineReports::received)
        }
        private val registry = HostRegistry(
            hostName,
            settings.domain,
            address,
            store,
            parts,
            settings,
            SystemMachineClock(),
            peers,
            skippedEntries
        )

        fun bind() = peers.start()

        fun storeReturned() = registry.storeReturned()

        override fun start(found: (Set<HostName>, Map<HostName, FailureDomain>) -> Unit) =
            registry.start(found)

        override fun send(action: TokenAction.Send) = peers.send(action.to, action.message)

        override fun announce() = peers.announce()

        override fun announceToOthers() = peers.announceToOthers()
    }

    private inner class BudgetEvents : BudgetListener {
        override fun reserved(request: RequestId) = requests.budgetReserved(request)

        override fun refused(request: RequestId, kind: ErrorKind) =
            requests.budgetRefused(request, kind)

        override fun fenced() {
            log(LogEvent.FENCED)
            exit(EXIT_FENCED)
        }

        override fun drained() = entryStop.tokensReturned()
    }

    private fun logEvacuations(domains: Set<FailureDomain>, known: Set<FailureDomain>) {
        log(
            LogEvent.EVACUATIONS_CHANGED,
            "evacuated" to domains.joinToString(),
            "returned" to (known - domains).joinToString()
        )
        val regions = settings.entry.placement.regions
        for (domain in domains - known) {
            if (regions.isNotEmpty() && domain !in regions) {
                log(LogEvent.EVACUATION_UNKNOWN, "domain" to domain)
            }
        }
    }

    private inner class DiscoveredHosts : KnownHosts {
        override val self: HostName get() = hostName
        override val others: Set<HostName> get() = broker.hosts
        override val discovery: HostDiscovery get() = budgets.discovery
    }

    private inner class CrashEvents : CrashListener {
        override fun crashReported(report: CrashReport) = requests.crashReported(report)

        override fun suspectsCleared(service: ServiceId, suspects: List<Suspect>) =
            requests.suspectsCleared(service, suspects)
    }

    private inner class FleetEvents : FleetListener {
        override fun configReceived(config: EntryConfig, revision: Long) {
            val known = this@EntryRouter.config
            if (known != null && config.version <= known.version) return
            callerIdleTimeout.update(config.limits.idleTimeout, clock.now().elapsed)
            requests.configChanged(config)
            budgets.configChanged(config)
            engineReports.configChanged(config)
            // Last, so that a configuration whose use broke off is applied again.
            this@EntryRouter.config = config
            log(
                LogEvent.CONFIG_APPLIED,
                "version" to config.version,
                "revision" to revision,
                "routes" to config.routes.size,
                "customers" to config.customers.size
            )
        }

        override fun rolloutOrdered(order: RolloutOrder) {
            requests.rolloutOrdered(order)
            rolloutRefusal.refuse(order)
        }

        override fun rolloutWithdrawn(service: ServiceId) {
            requests.rolloutWithdrawn(service)
            rolloutRefusal.withdrawn(service)
        }

        override fun endpointsListed(entries: List<ListedEndpoint>) {
            applyEndpointChanges(directory.replaceAll(entries, clock.now().elapsed))
            endpointListRead = true
        }

        override fun endpointChanged(entry: ListedEndpoint) =
            applyEndpointChanges(directory.update(entry))

        override fun endpointRemoved(id: EndpointId) =
            applyEndpointChanges(directory.remove(id, clock.now().elapsed))

        override fun evacuationsRead(domains: Set<FailureDomain>) {
            val known = dispatcher.evacuatedDomains
            requests.evacuationsChanged(domains)
            if (domains != known) logEvacuations(domains, known)
        }

        override fun endpointInvalid(id: EndpointId) =
            applyEndpointChanges(directory.removeUnreadable(id))

        // A budget call may fail while another host's messages say that the store answers.
        override val isReachable: Boolean get() = storeReachable && budgets.isStoreReachable

        override fun callEnded(answered: Boolean, cause: String?) {
            // Before the entries that were read are applied.
            eraWatch.check()
            if (answered) storeAnsweredAt = clock.now().elapsed
            storeReachabilityChanged(answered, cause)
        }
    }

    private inner class CallerEvents : CallerListener {
        override val isClosing: Boolean get() = entryStop.isStopping || isCutOffFromStore

        override val isLoopLate: Boolean get() = lateness.isLate(now())
        override val maxBodyBytes: Int
            get() = minOf(config?.limits?.maxBodyBytes ?: DEFAULT_BODY_BYTES, bodies.maxLength)

        override val bodies: RequestBodies get() = this@EntryRouter.bodies

        override val idleTimeout: Duration get() = callerIdleTimeout.longest(now())
        override val headerTimeout: Duration
            get() = config?.limits?.headerTimeout ?: DEFAULT_CALLER_TIMEOUT

        override fun requestReceived(
            connection: CallerConnection,
            request: HttpRequest,
            body: ByteBuf,
            arrival: Duration
        ) = requests.requestReceived(connection, request, body, arrival)

        override fun connectionClosed(connection: CallerConnection) {
            connections -= connection
            connection.exchange?.let { requests.callerDisconnected(it) }
        }

        override fun writabilityChanged(connection: CallerConnection) {
            connection.exchange?.callerWritabilityChanged(connection.isWritable)
        }

        override fun requestMalformed(kind: ErrorKind, detail: String?) {
            metrics.refused(null, kind)
            log(LogEvent.REQUEST_MALFORMED, "kind" to kind.code, "detail" to detail)
        }

        override fun answerRefused(request: RequestId?, part: String) {
            refusedWrites++
            log(LogEvent.SECOND_ANSWER_REFUSED, "request" to request, "part" to part)
        }

        override fun roomLacking(request: HttpRequest) = requests.refusedForRoom(request)

        override fun now(): Duration = clock.now().elapsed
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val EXIT_FENCED = 5

        /** Characters of the run's part of the router id, which distinguishes runs on one host. */
        const val RUN_ID_LENGTH = 8

        /** Bounds the log; a host that is killed loses the calls of this time at most. */
        val STORE_CALLS_LOG_INTERVAL = 5.seconds

        /** Limits that apply before the first configuration is read. */
        const val DEFAULT_HEADER_BYTES = 16 * 1024
        const val DEFAULT_BODY_BYTES = 4 * 1024 * 1024
        val DEFAULT_CALLER_TIMEOUT = 15.seconds

        /** Bytes buffered for a slow caller before reading from its endpoint is paused. */
        const val CALLER_BUFFER_BYTES = 32 * 1024

        /**
         * Time to write the last log lines before the platform ends the process at the stop limit.
         */
        val STOP_MARGIN = 300.milliseconds

        /**
         * How long a replaced idle timeout stays in force; connections idle under it end by then.
         */
        val IDLE_TIMEOUT_OVERLAP = 30.seconds
    }
}
