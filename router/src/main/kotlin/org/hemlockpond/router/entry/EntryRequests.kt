/*
 * The requests under way: reads each request, carries out what the dispatcher and the budget decide,
 * and logs one line for each request when it ends.
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
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.entry.AttemptEnd
import org.hemlockpond.core.entry.DirectoryChange
import org.hemlockpond.core.entry.EntryAction
import org.hemlockpond.core.entry.EntryConfig
import org.hemlockpond.core.entry.EntryCustomer
import org.hemlockpond.core.entry.EntryDispatcher
import org.hemlockpond.core.entry.EntryRequest
import org.hemlockpond.core.entry.EntryRoute
import org.hemlockpond.core.entry.RetrySafety
import org.hemlockpond.core.entry.TokenRetryAfter
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.RouterClock
import org.hemlockpond.router.RouterMetrics
import org.hemlockpond.router.log

/** @param recordCrash tells the other routers of a crash: the content and how often it happened */
internal class EntryRequests(
    private val settings: EntryRouterSettings,
    private val dialect: EntryDialect,
    private val dispatcher: EntryDispatcher,
    private val budgets: EntryBudgets,
    private val pool: EndpointPool,
    private val clock: RouterClock,
    private val metrics: RouterMetrics,
    private val loop: EventLoop,
    private val recordCrash: (Long, Int) -> Unit
) : ExchangeListener {
    private val exchanges = HashMap<RequestId, EntryExchange>()
    private val crashes = HashMap<Long, MutableSet<String>>()
    private val tokenRetryAfter = TokenRetryAfter()
    private var config: EntryConfig? = null

    /** Requests that aren't ended. */
    val open: Int get() = exchanges.size

    private fun now(): Duration = clock.now().elapsed

    fun configChanged(next: EntryConfig) {
        config = next
        dispatcher.configChanged(next)
    }

    fun endpointsChanged(changes: List<DirectoryChange>) =
        act(dispatcher.endpointsChanged(changes, now()))

    fun crashRecorded(content: Long, record: String) {
        val known = crashes.getOrPut(content) { HashSet(2) }
        known += record
        dispatcher.crashesRecorded(content, known.size)
    }

    fun tick(now: Duration) = act(dispatcher.tick(now))

    /** A whole request was read. */
    fun received(caller: CallerConnection, http: HttpRequest, body: ByteBuf, arrival: Duration) {
        val current = config
        val head = dialect.caller(http)
        val path = http.uri().substringBefore('?')
        val host = http.headers()[HttpHeaderNames.HOST].orEmpty().substringBefore(':')
        val route = current?.route(host, path)
        val customer = head.key?.let { current?.customer(it) }
        val kind = when {
            current == null -> ErrorKind.NOT_CONFIGURED
            route == null -> ErrorKind.UNKNOWN_ROUTE
            customer == null && !route.allowsAnonymous -> ErrorKind.UNAUTHENTICATED
            head.id == null || head.id in exchanges -> ErrorKind.MALFORMED_REQUEST
            else -> null
        }
        if (kind != null) {
            refuseUnread(caller, head, kind, current?.version)
            body.release()
            return
        }
        val service = route!!.target(head.id!!.value.hashCode())
        if (service == null) {
            refuseUnread(caller, head, ErrorKind.NO_ENDPOINT, current?.version)
            body.release()
            return
        }
        val patience = minOf(head.patience ?: route.timeout, route.timeout)
        val request = EntryRequest(
            id = head.id,
            route = route,
            service = service,
            customer = customer?.id,
            rank = customer?.rank ?: route.rank,
            prompt = head.prompt,
            arrival = arrival,
            deadline = arrival + patience,
            contentDigest = digest(route, customer, http.uri(), body)
        )
        begin(EntryExchange(request, http, body, caller, head, dialect, settings, this))
    }

    private fun digest(
        route: EntryRoute,
        customer: EntryCustomer?,
        uri: String,
        body: ByteBuf
    ): Long {
        val names = (route.host + uri + customer?.id?.value.orEmpty()).hashCode()
        return names.toLong() shl Int.SIZE_BITS xor
            ByteBufUtil.hashCode(body).toLong().and(INT_MASK)
    }

    private fun refuseUnread(
        caller: CallerConnection,
        head: CallerHead,
        kind: ErrorKind,
        version: Long?
    ) {
        metrics.refused(null, kind)
        log(
            LogEvent.ENTRY_REFUSED,
            "request" to head.id,
            "kind" to kind.code,
            "config" to version
        )
        val retryAfter = if (kind == ErrorKind.NOT_CONFIGURED) CONFIG_RETRY else null
        caller.refuse(kind, retryAfter)
    }

    private fun begin(exchange: EntryExchange) {
        val request = exchange.request
        exchanges[request.id] = exchange
        exchange.caller.exchange = exchange
        val left = request.deadline - now()
        loop.schedule({ timeUp(exchange) }, left.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        val customer = request.customer
        if (customer != null && request.maxTokens > 0 && budgets.isPrepaid(customer)) {
            exchange.reserving = true
            budgets.reserve(request.id, customer, request.maxTokens)
        } else {
            act(dispatcher.submit(request, now()))
        }
    }

    /** The tokens of a request are reserved. */
    fun reserved(id: RequestId) {
        val exchange = exchanges[id]
        if (exchange == null) {
            budgets.settle(id, 0)
            return
        }
        exchange.reserving = false
        exchange.reserved = true
        act(dispatcher.submit(exchange.request, now()))
    }

    /** The budget doesn't cover a request. */
    fun budgetRefused(id: RequestId, kind: ErrorKind) {
        val exchange = exchanges[id] ?: return
        exchange.reserving = false
        val retryAfter = if (kind == ErrorKind.BUDGET_EXHAUSTED) {
            null
        } else {
            tokenRetryAfter.delay(budgets.isStoreReachable)
        }
        exchange.request.customer?.let { customer ->
            val state = budgets.state(customer)
            log(
                LogEvent.BUDGET_REFUSED,
                "request" to id,
                "needed" to exchange.request.maxTokens,
                "free" to state.free,
                "allowed" to state.spendable,
                "recorded" to state.availableInRecord,
                "record age" to millis(state.recordAge)
            )
        }
        end(exchange, "refused", kind) { exchange.refuse(kind, retryAfter) }
    }

    private fun act(actions: List<EntryAction>) {
        for (action in actions) {
            val exchange = exchanges[action.request.id] ?: continue
            when (action) {
                is EntryAction.Send -> send(exchange, action)

                is EntryAction.Deliver -> end(exchange, "answered", null) { exchange.deliver() }

                is EntryAction.Refuse -> refuse(exchange, action)

                is EntryAction.Fail -> end(exchange, "failed", action.kind) {
                    exchange.refuse(action.kind, null)
                }

                is EntryAction.CancelAttempt -> {
                    exchange.cancelAttempt()
                    attemptEnded(exchange, AttemptEnd.Broken("endpoint silent", crash = false))
                }

                is EntryAction.RecordCrash ->
                    recordCrash(action.request.contentDigest, action.crashes)
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
        end(exchange, "refused", action.kind) { exchange.refuse(action.kind, action.retryAfter) }
    }

    private fun send(exchange: EntryExchange, action: EntryAction.Send) {
        val endpoint = action.endpoint
        exchange.attempts = action.attempt
        exchange.endpoint = endpoint.id
        val address = InetSocketAddress(endpoint.host, endpoint.port)
        exchange.address = address
        // An idle connection may end as a request is sent, which then can't be repeated.
        val unsafe = exchange.request.route.retrySafety == RetrySafety.UNSAFE
        val freshness = if (unsafe) FRESH_CONNECTION else Duration.INFINITE
        pool.connect(address, freshness) { connection, cause ->
            when {
                exchange.finished || exchange.attempts != action.attempt ->
                    connection?.channel?.close()

                connection == null -> {
                    logAttempt(exchange, "not connected: $cause")
                    act(
                        dispatcher.attemptEnded(
                            exchange.request.id,
                            AttemptEnd.NotSent,
                            now(),
                            true
                        )
                    )
                }

                else -> {
                    exchange.attach(connection)
                    connection.send(exchange.request.id, message(exchange, action), exchange)
                }
            }
        }
    }

    private fun message(exchange: EntryExchange, action: EntryAction.Send): DefaultFullHttpRequest {
        val http = exchange.http
        val request = exchange.request
        val head = SendHead(
            endpoint = action.endpoint.id,
            customer = request.customer,
            timeLeft = (request.deadline - now()).coerceAtLeast(1.milliseconds),
            rank = request.rank,
            resumeAfter = exchange.resumeAfter
        )
        val headers = dialect.send(http, head)
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

    override fun heard(exchange: EntryExchange) =
        dispatcher.bytesReceived(exchange.request.id, now())

    override fun answering(exchange: EntryExchange) {
        val now = now()
        if (exchange.firstAfter == null) exchange.firstAfter = now - exchange.request.arrival
        dispatcher.answerStarted(exchange.request.id, now)
    }

    override fun attemptEnded(exchange: EntryExchange, end: AttemptEnd) {
        if (end !is AttemptEnd.Answered) logAttempt(exchange, end.toString())
        val repeatable = !exchange.begun ||
            exchange.request.route.retrySafety == RetrySafety.RESUMABLE
        act(dispatcher.attemptEnded(exchange.request.id, end, now(), repeatable))
    }

    private fun logAttempt(exchange: EntryExchange, cause: String) = log(
        LogEvent.ENTRY_ATTEMPT_FAILED,
        "request" to exchange.request.id,
        "endpoint" to exchange.endpoint,
        "attempt" to exchange.attempts,
        "age" to millis(now() - exchange.request.arrival),
        "cause" to cause
    )

    private fun timeUp(exchange: EntryExchange) {
        if (exchange.finished) return
        val kind = if (exchange.sent) ErrorKind.ENDPOINT_TIMEOUT else ErrorKind.OVERLOADED
        val sent = exchange.sent
        end(exchange, if (sent) "timeout" else "refused", kind) {
            exchange.refuse(
                kind,
                if (sent) null else tokenRetryAfter.delay(budgets.isStoreReachable)
            )
        }
    }

    /** The caller closed its connection. */
    fun callerGone(exchange: EntryExchange) {
        if (exchange.finished) return
        end(exchange, "caller gone", null) {
            exchange.cancelAttempt()
            exchange.finish()
        }
    }

    private fun end(
        exchange: EntryExchange,
        outcome: String,
        kind: ErrorKind?,
        answer: () -> Unit
    ) {
        val request = exchange.request
        exchanges.remove(request.id, exchange)
        val ran = exchange.sent || exchange.mayHaveRun
        closeSilent(exchange)
        answer()
        val tokens = if (ran) tokens(exchange) else 0
        if (exchange.reserved || exchange.reserving) budgets.settle(request.id, tokens)
        logEnd(exchange, outcome, kind, tokens)
        act(dispatcher.requestCancelled(request.id, now()))
    }

    /**
     * Closes the idle connections to an endpoint that left a request without an answer. Should it be
     * cut off, a new connection fails before anything is sent, and the request can go elsewhere.
     */
    private fun closeSilent(exchange: EntryExchange) {
        val silent = now() - exchange.request.arrival >= settings.entry.silenceLimit
        if (!exchange.sent || exchange.firstAfter != null || !silent) return
        exchange.address?.let { pool.forget(it) }
    }

    /** The prompt counts once; of the answer, what was passed on. */
    private fun tokens(exchange: EntryExchange): Long {
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
            exchange.firstAfter?.let { metrics.firstToken(customer, request.route.id.value, it) }
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
            "endpoint" to exchange.endpoint,
            "attempts" to exchange.attempts,
            "first" to exchange.firstAfter?.let { millis(it) },
            "total" to millis(total),
            "events" to exchange.events,
            "tokens" to tokens,
            "config" to config?.version
        )
    }

    private fun millis(duration: Duration): Long = duration.toLong(DurationUnit.MILLISECONDS)

    private companion object {
        const val INT_MASK = 0xffff_ffffL

        /** Metrics of requests on routes without keys. */
        val NO_CUSTOMER = CustomerId("none")

        /** The configuration is there within a second of the start, unless the store is away. */
        val CONFIG_RETRY = 500.milliseconds

        /** Endpoints keep idle connections for longer than this. */
        val FRESH_CONNECTION = 1.seconds
    }
}
