/*
 * Manages the open requests of an entry router: validates each incoming request, performs the
 * actions that the dispatcher and the budget return, and logs one line per request when it ends.
 */
package org.hemlockpond.router.entry

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.entry.AttemptEnd
import org.hemlockpond.core.entry.CrashReport
import org.hemlockpond.core.entry.DirectoryChange
import org.hemlockpond.core.entry.EndpointProcess
import org.hemlockpond.core.entry.EntryAction
import org.hemlockpond.core.entry.EntryConfig
import org.hemlockpond.core.entry.EntryCustomer
import org.hemlockpond.core.entry.EntryDispatcher
import org.hemlockpond.core.entry.EntryRequest
import org.hemlockpond.core.entry.EntryRoute
import org.hemlockpond.core.entry.RetrySafety
import org.hemlockpond.core.entry.RolloutOrder
import org.hemlockpond.core.entry.ServiceId
import org.hemlockpond.core.entry.StopSchedule
import org.hemlockpond.core.entry.Suspect
import org.hemlockpond.core.entry.TokenRetryAfter
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.RouterClock
import org.hemlockpond.router.RouterMetrics
import org.hemlockpond.router.log

/** Tells the other hosts what this one knows about crashes of endpoints. */
internal interface CrashReporter {
    fun reportCrash(report: CrashReport)

    fun reportCleared(service: ServiceId, suspects: Collection<Suspect>)
}

/** Receives what endpoints say of themselves in their answers. */
internal fun interface EndpointStatements {
    /** [process] said that it leaves. */
    fun endpointLeaves(process: EndpointProcess)
}

internal class EntryRequests(
    private val settings: EntryRouterSettings,
    private val dialect: EntryDialect,
    private val dispatcher: EntryDispatcher,
    private val budgets: DomainBudgets,
    private val pool: EndpointConnectionPool,
    private val clock: RouterClock,
    private val metrics: RouterMetrics,
    private val loop: EventLoop,
    private val crashReporter: CrashReporter,
    private val limitRecords: LimitRecords,
    private val lateness: LoopLateness,
    private val statements: EndpointStatements
) : ExchangeListener {
    private val exchanges = HashMap<RequestId, EntryExchange>()
    private val crashCheck = CrashCheck(pool)
    private val buffers = AnswerBuffers(settings.maxBufferedBytes)
    private val tokenRetryAfter = TokenRetryAfter()
    private var config: EntryConfig? = null

    /** What is still taken; null unless the router stops. */
    private var stop: StopSchedule? = null

    /** The bytes of answers that are kept until an event or the answer is complete. */
    val bufferedBytes: Int get() = buffers.total

    /** The number of requests that haven't ended. */
    val openCount: Int get() = exchanges.size

    private fun now(): Duration = clock.now().elapsed

    fun configChanged(next: EntryConfig) {
        config = next
        dispatcher.configChanged(next)
    }

    fun evacuationsChanged(domains: Set<FailureDomain>) =
        perform(dispatcher.evacuationsChanged(domains, now()))

    fun rolloutOrdered(order: RolloutOrder) = dispatcher.rolloutOrdered(order)

    fun rolloutWithdrawn(service: ServiceId) = dispatcher.rolloutWithdrawn(service)

    fun endpointsChanged(changes: List<DirectoryChange>) =
        perform(dispatcher.endpointsChanged(changes, now()))

    fun crashReported(report: CrashReport) = perform(dispatcher.crashReported(report, now()))

    fun suspectsCleared(service: ServiceId, suspects: List<Suspect>) =
        dispatcher.suspectsCleared(service, suspects)

    fun tick(now: Duration) = perform(dispatcher.tick(now))

    /** Handles a completely read request; takes ownership of [body]. */
    fun requestReceived(
        caller: CallerConnection,
        http: HttpRequest,
        body: ByteBuf,
        arrival: Duration
    ) {
        val current = config
        val head = dialect.parseCallerHead(http)
        val path = http.uri().substringBefore('?')
        val host = http.headers()[HttpHeaderNames.HOST].orEmpty().substringBefore(':')
        val route = current?.route(host, path)
        val customer = head.apiKey?.let { current?.customer(it) }
        val kind = when {
            current == null -> ErrorKind.NOT_CONFIGURED
            route == null -> ErrorKind.UNKNOWN_ROUTE
            customer == null && !route.allowsAnonymous -> ErrorKind.UNAUTHENTICATED
            head.requestId == null || head.requestId in exchanges -> ErrorKind.MALFORMED_REQUEST
            else -> null
        }
        if (kind != null) {
            refuseBeforeAccept(caller, head, kind, current?.version)
            body.release()
            return
        }
        val service = route!!.target(head.requestId!!.value.hashCode())
        if (service == null) {
            refuseBeforeAccept(caller, head, ErrorKind.NO_ENDPOINT, current?.version)
            body.release()
            return
        }
        val deadline = arrival + minOf(head.timeout ?: route.timeout, route.timeout)
        if (stop?.accepts(deadline, now()) == false) {
            refuseBeforeAccept(caller, head, ErrorKind.ROUTER_STOPPING, current?.version)
            body.release()
            return
        }
        val request = EntryRequest(
            id = head.requestId,
            route = route,
            service = service,
            customer = customer?.id,
            rank = customer?.rank ?: route.rank,
            prompt = head.prompt,
            arrival = arrival,
            deadline = deadline,
            contentDigest = contentDigest(route, customer, http.uri(), body)
        )
        startExchange(EntryExchange(request, http, body, caller, head, dialect, settings, this))
    }

    private fun contentDigest(
        route: EntryRoute,
        customer: EntryCustomer?,
        uri: String,
        body: ByteBuf
    ): Long {
        val names = (route.host + uri + customer?.id?.value.orEmpty()).hashCode()
        return names.toLong() shl Int.SIZE_BITS xor
            ByteBufUtil.hashCode(body).toLong().and(INT_MASK)
    }

    private fun refuseBeforeAccept(
        caller: CallerConnection,
        head: CallerHead,
        kind: ErrorKind,
        version: Long?
    ) {
        noteRefusal(head, kind, version)
        val retryAfter = when (kind) {
            ErrorKind.NOT_CONFIGURED -> CONFIG_RETRY
            ErrorKind.ROUTER_STOPPING -> stop?.retryAfter()
            else -> null
        }
        caller.refuse(kind, retryAfter)
    }

    /** The caller's connection refuses [http], because there is no room for its body. */
    fun refusedForRoom(http: HttpRequest) =
        noteRefusal(dialect.parseCallerHead(http), ErrorKind.NO_ROOM, config?.version)

    private fun noteRefusal(head: CallerHead, kind: ErrorKind, version: Long?) {
        metrics.refused(null, kind)
        log(
            LogEvent.ENTRY_REFUSED,
            "request" to head.requestId,
            "kind" to kind.code,
            "config" to version
        )
    }

    private fun startExchange(exchange: EntryExchange) {
        val request = exchange.request
        exchanges[request.id] = exchange
        exchange.caller.exchange = exchange
        val left = request.deadline - now()
        loop.schedule({
            deadlineReached(exchange)
        }, left.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        val customer = request.customer
        val refusal = dispatcher.placementRefusal(request)
        if (refusal != null) {
            perform(listOf(refusal))
        } else if (customer != null && request.maxTokens > 0 && budgets.isPrepaid(customer)) {
            exchange.isReserving = true
            budgets.reserve(request.id, customer, request.maxTokens, left)
        } else {
            perform(dispatcher.submit(request, now()))
        }
    }

    /** Submits a request whose tokens have been reserved to the dispatcher. */
    fun budgetReserved(id: RequestId) {
        val exchange = exchanges[id]
        if (exchange == null) {
            budgets.settle(id, 0)
            return
        }
        exchange.isReserving = false
        exchange.isReserved = true
        perform(dispatcher.submit(exchange.request, now()))
    }

    /** Refuses a request whose tokens couldn't be reserved, with [kind]. */
    fun budgetRefused(id: RequestId, kind: ErrorKind) {
        val exchange = exchanges[id] ?: return
        exchange.isReserving = false
        val retryAfter = when (kind) {
            ErrorKind.BUDGET_EXHAUSTED -> null
            ErrorKind.ROUTER_STOPPING -> stop?.retryAfter()
            else -> tokenRetryAfter.delay(budgets.isStoreReachable)
        }
        endExchange(exchange, "refused", kind) { exchange.refuse(kind, retryAfter) }
    }

    private fun perform(actions: List<EntryAction>) {
        for (action in actions) {
            val exchange = exchanges[action.request.id] ?: continue
            when (action) {
                is EntryAction.Send -> send(exchange, action)

                is EntryAction.Deliver -> endExchange(exchange, "answered", null) {
                    exchange.deliver()
                }

                is EntryAction.Refuse -> refuse(exchange, action)

                is EntryAction.Fail -> endExchange(exchange, "failed", action.kind) {
                    exchange.refuse(action.kind, null)
                }

                is EntryAction.CancelAttempt -> {
                    exchange.cancelAttempt()
                    attemptEnded(exchange, AttemptEnd.Broken("endpoint silent", crash = false))
                }

                is EntryAction.ReportCrash -> crashReporter.reportCrash(action.report)

                is EntryAction.ReportCleared ->
                    crashReporter.reportCleared(action.request.service, action.cleared)
            }
        }
    }

    private fun refuse(exchange: EntryExchange, action: EntryAction.Refuse) {
        val pause = action.eventGap
        if (pause != null) {
            log(
                LogEvent.LOAD_SHED,
                "request" to action.request.id,
                "rank" to action.request.route.rank,
                "pause" to millis(pause),
                "goal" to action.request.route.eventGapGoal?.let { millis(it) }
            )
        }
        endExchange(exchange, "refused", action.kind) {
            exchange.refuse(action.kind, action.retryAfter)
        }
    }

    private fun send(exchange: EntryExchange, action: EntryAction.Send) {
        val endpoint = action.endpoint
        exchange.attempts = action.attempt
        exchange.endpoint = endpoint.process
        val address = InetSocketAddress(endpoint.host, endpoint.port)
        exchange.endpointAddress = address
        val send = exchange.beginSend()
        // The endpoint may close an idle connection while a request is being sent on it. A request
        // that is unsafe to repeat can't be retried then.
        val unsafe = exchange.request.route.retrySafety == RetrySafety.UNSAFE
        val maxIdle = if (unsafe) MAX_IDLE_IF_UNSAFE else Duration.INFINITE
        pool.acquire(address, maxIdle, exchange::mayUse) { connection, cause ->
            if (lateness.isLate(now())) {
                // The caller may have left while the request waited for the connection, or before.
                loop.runAfterNextRead { sendOn(connection, exchange, action, send, cause) }
            } else {
                sendOn(connection, exchange, action, send, cause)
            }
        }
    }

    /**
     * Sends the request on [connection]; null if there is none because of [cause].
     *
     * @param send the number of the send, which may have been cancelled meanwhile
     */
    private fun sendOn(
        connection: EndpointConnection?,
        exchange: EntryExchange,
        action: EntryAction.Send,
        send: Int,
        cause: Throwable?
    ) {
        when {
            !exchange.isCurrentSend(send) -> connection?.channel?.close()

            connection == null || !connection.channel.isActive -> {
                logFailedAttempt(exchange, "not connected: ${cause?.message}")
                perform(
                    dispatcher.attemptEnded(
                        exchange.request.id,
                        AttemptEnd.NotSent,
                        now(),
                        true
                    )
                )
            }

            !dispatcher.beginWrite(exchange.request.id, now()) -> {
                connection.channel.close()
                logFailedAttempt(exchange, "not sent: the endpoint may not get the request")
                perform(
                    dispatcher.attemptEnded(exchange.request.id, AttemptEnd.Withdrawn, now())
                )
            }

            else -> {
                exchange.attach(connection)
                connection.send(exchange.request.id, endpointRequest(exchange, action), exchange)
            }
        }
    }

    private fun endpointRequest(
        exchange: EntryExchange,
        action: EntryAction.Send
    ): DefaultFullHttpRequest {
        val http = exchange.http
        val request = exchange.request
        val head = EndpointRequestHead(
            endpoint = action.endpoint.id,
            customer = request.customer,
            timeLeft = (request.deadline - now()).coerceAtLeast(1.milliseconds),
            rank = request.rank,
            resumeAfter = exchange.resumeAfter
        )
        val headers = dialect.endpointHeaders(http, head)
        val hasBody = HttpUtil.isContentLengthSet(http) || HttpUtil.isTransferEncodingChunked(http)
        if (hasBody) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, exchange.body.readableBytes())
        }
        return DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            http.method(),
            http.uri(),
            exchange.body.retainedDuplicate(),
            headers,
            DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders()
        )
    }

    override fun bytesReceived(exchange: EntryExchange) =
        dispatcher.bytesReceived(exchange.request.id, now())

    override fun bufferChanged(exchange: EntryExchange) {
        buffers.update(exchange, exchange.bufferedBytes)
        while (true) {
            val largest = buffers.largestOverLimit() ?: return
            largest.endLargestAnswer()
            buffers.update(largest, 0)
        }
    }

    override fun answerStarted(exchange: EntryExchange) {
        val now = now()
        if (exchange.firstAnswerDelay ==
            null
        ) {
            exchange.firstAnswerDelay = now - exchange.request.arrival
        }
        perform(dispatcher.answerStarted(exchange.request.id, now))
    }

    override fun endpointStated(exchange: EntryExchange, answer: AnswerHead) {
        val process = exchange.endpoint ?: return
        answer.pause?.let { pause ->
            log(LogEvent.ENDPOINT_PAUSED, "endpoint" to process.endpoint, "for" to millis(pause))
            dispatcher.endpointPaused(process, pause, now())
        }
        if (answer.isLeaving) statements.endpointLeaves(process)
    }

    override fun limitNamed(exchange: EntryExchange, perSecond: Double?) {
        exchange.endpoint?.let { limitRecords.limitNamed(it, perSecond) }
    }

    override fun attemptEnded(exchange: EntryExchange, end: AttemptEnd) {
        buffers.update(exchange, 0)
        val address = exchange.endpointAddress
        if (end !is AttemptEnd.Broken || !end.crash || address == null) {
            attemptCompleted(exchange, end)
            return
        }
        val attempt = exchange.attempts
        crashCheck.start(address) { hasCrashed ->
            if (!exchange.finished && exchange.attempts == attempt) {
                attemptCompleted(exchange, end.copy(crash = hasCrashed))
            }
        }
    }

    private fun attemptCompleted(exchange: EntryExchange, end: AttemptEnd) {
        if (end !is AttemptEnd.Answered) logFailedAttempt(exchange, end.toString())
        val isResumable = exchange.request.route.retrySafety == RetrySafety.RESUMABLE
        val repeatable = when (exchange.answerState) {
            AnswerState.NO_HEAD -> true
            AnswerState.HEAD_WRITTEN -> isResumable && exchange.canResume
            AnswerState.ENDED -> false
        }
        perform(dispatcher.attemptEnded(exchange.request.id, end, now(), repeatable))
    }

    private fun logFailedAttempt(exchange: EntryExchange, cause: String) = log(
        LogEvent.ENTRY_ATTEMPT_FAILED,
        "request" to exchange.request.id,
        "endpoint" to exchange.endpoint?.endpoint,
        "attempt" to exchange.attempts,
        "age" to millis(now() - exchange.request.arrival),
        "cause" to cause
    )

    private fun deadlineReached(exchange: EntryExchange) {
        if (exchange.finished) return
        // An attempt that broke off may have run, even if it isn't known yet whether its endpoint crashed.
        val ran = exchange.isAttemptRunning || exchange.mayHaveRun
        val kind = if (ran) ErrorKind.ENDPOINT_TIMEOUT else ErrorKind.OVERLOADED
        endExchange(exchange, if (ran) "timeout" else "refused", kind) {
            exchange.refuse(
                kind,
                if (ran) null else tokenRetryAfter.delay(budgets.isStoreReachable)
            )
        }
    }

    /** The router stops; from now on requests are taken as [schedule] says. */
    fun stopBegan(schedule: StopSchedule) {
        stop = schedule
    }

    /**
     * Ends all requests, because the process ends soon. Those that haven't run are refused first, so that
     * none of them is sent in the place of another.
     */
    fun endAll() {
        val (ran, waiting) = exchanges.values.partition { it.isAttemptRunning || it.mayHaveRun }
        for (exchange in waiting) {
            endExchange(exchange, "refused", ErrorKind.ROUTER_STOPPING) {
                exchange.refuse(ErrorKind.ROUTER_STOPPING, stop?.retryAfter())
            }
        }
        for (exchange in ran) {
            endExchange(exchange, "stopped", ErrorKind.ENDPOINT_TIMEOUT) {
                exchange.refuse(ErrorKind.ENDPOINT_TIMEOUT, null)
            }
        }
    }

    /** Cancels the attempt under way and ends the exchange: its caller closed the connection. */
    fun callerDisconnected(exchange: EntryExchange) {
        if (exchange.finished) return
        endExchange(exchange, "caller gone", null) {
            exchange.cancelAttempt()
            exchange.finish()
        }
    }

    private fun endExchange(
        exchange: EntryExchange,
        outcome: String,
        kind: ErrorKind?,
        answer: () -> Unit
    ) {
        val request = exchange.request
        exchanges.remove(request.id, exchange)
        buffers.update(exchange, 0)
        val ran = exchange.isAttemptRunning || exchange.mayHaveRun
        closeIdleToSilentEndpoint(exchange)
        answer()
        val tokens = if (ran) billedTokens(exchange) else 0
        if (exchange.isReserved || exchange.isReserving) budgets.settle(request.id, tokens)
        logEnd(exchange, outcome, kind, tokens)
        perform(dispatcher.requestCancelled(request.id, now()))
    }

    /**
     * Closes the idle connections to an endpoint that didn't answer a request. If the endpoint is
     * unreachable, opening a new connection fails before a request is sent, so the request can go
     * to another endpoint.
     */
    private fun closeIdleToSilentEndpoint(exchange: EntryExchange) {
        val silent = now() - exchange.request.arrival >= settings.entry.silenceLimit
        if (!exchange.isAttemptRunning || exchange.firstAnswerDelay != null || !silent) return
        exchange.endpointAddress?.let { pool.closeIdle(it) }
    }

    /** The tokens to bill: those of the prompt once, and those of the events sent to the caller. */
    private fun billedTokens(exchange: EntryExchange): Long {
        val prompt = exchange.request.prompt ?: return 0
        val perEvent = config?.services?.get(exchange.request.service)?.engine?.tokensPerEvent ?: 1
        return prompt.tokens + minOf(prompt.maxAnswerTokens, exchange.events * perEvent)
    }

    private fun logEnd(exchange: EntryExchange, outcome: String, kind: ErrorKind?, tokens: Long) {
        val request = exchange.request
        val total = now() - request.arrival
        val customer = request.customer ?: NO_CUSTOMER
        if (kind != null) {
            metrics.refused(request.customer, kind)
        } else {
            exchange.firstAnswerDelay?.let {
                metrics.firstToken(customer, request.route.id.value, it)
            }
            metrics.answered(customer, request.route.id.value, total)
        }
        log(
            LogEvent.ENTRY_REQUEST,
            "request" to request.id,
            "route" to request.route.id,
            "customer" to request.customer,
            "outcome" to outcome,
            "status" to exchange.answeredStatus,
            "kind" to kind?.code,
            "endpoint" to exchange.endpoint?.endpoint,
            "attempts" to exchange.attempts,
            "first" to exchange.firstAnswerDelay?.let { millis(it) },
            "total" to millis(total),
            "events" to exchange.events,
            "tokens" to tokens,
            "config" to config?.version
        )
    }

    private fun millis(duration: Duration): Long = duration.toLong(DurationUnit.MILLISECONDS)

    private companion object {
        const val INT_MASK = 0xffff_ffffL

        /** The customer label in metrics of requests without a customer. */
        val NO_CUSTOMER = CustomerId("none")

        /** The configuration arrives within a second of the start if the store is reachable. */
        val CONFIG_RETRY = 500.milliseconds

        /**
         * Maximum idle time of a connection for unsafe requests; endpoints keep idle ones longer.
         */
        val MAX_IDLE_IF_UNSAFE = 1.seconds
    }
}
