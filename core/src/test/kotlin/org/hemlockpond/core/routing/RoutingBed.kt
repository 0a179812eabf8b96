/*
 * Simulates dispatchers, endpoints and the messages between them in virtual time, for the routing
 * tests.
 */
package org.hemlockpond.core.routing

import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestClass
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteConfig
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.RouteKind
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.VersionId

internal val route = RouteId("advisor")
internal val versionOne = VersionId("1")
internal val classes = listOf(
    RequestClass("quick", 1_000, queueMillis = 5_000, weight = 4),
    RequestClass("review", 100_000, queueMillis = 60_000)
)

internal fun endpoint(name: String, domain: String = "a", memory: Long = 100_000) = EndpointConfig(
    EndpointId(name),
    route,
    versionOne,
    FailureDomain(domain),
    "127.0.0.1",
    1,
    memory
)

internal fun fleet(vararg endpoints: EndpointConfig) = FleetConfig(
    classes = classes,
    routes = listOf(RouteConfig(route, RouteKind.MODEL, versionOne)),
    endpoints = endpoints.toList()
)

internal fun request(name: String, prompt: Long = 100, content: String = name) = RoutingRequest(
    RequestId(name),
    CustomerId("c"),
    route,
    promptTokens = prompt,
    maxAnswerTokens = 100,
    contentDigest = content
)

internal enum class Mode { ANSWERS, FAILS, STALLS, DOWN }

/** [routers] maps each router to its domain; [loss] is the fraction of messages that is lost. */
internal class RoutingBed(
    routers: Map<String, String>,
    val config: FleetConfig,
    settings: RoutingSettings = RoutingSettings(),
    seed: Long = 1,
    private val loss: Double = 0.0
) {
    class Running(
        val router: RouterId,
        val attempt: AttemptId,
        val request: RoutingRequest,
        val start: Duration,
        val end: Duration
    ) {
        var firstToken = false
    }

    class Box(val config: EndpointConfig) {
        var mode = Mode.ANSWERS
        var running = ArrayList<Running>()
        var highest = 0L
        var crashes = 0
        var restart: Duration? = null
        val started = ArrayList<Pair<Duration, RequestId>>()
        val held: Long get() = running.sumOf {
            it.request.promptTokens + it.request.maxAnswerTokens
        }
    }

    private class Message(
        val at: Duration,
        val from: RouterId,
        val to: RouterId,
        val message: RoutingMessage
    )

    private val random = Random(seed)
    private val domains = routers.entries.associate {
        RouterId(it.key) to FailureDomain(it.value)
    }
    val dispatchers = domains.mapValues { Dispatcher(it.key, it.value, settings) }
    val boxes = config.endpoints.associate { it.id.value to Box(it) }
    private val messages = ArrayList<Message>()
    private val requests = HashMap<RequestId, RoutingRequest>()
    var now = Duration.ZERO
        private set
    var connected: (RouterId, RouterId) -> Boolean = { _, _ -> true }
    var poison: Set<String> = emptySet()
    var serviceTime: (RoutingRequest) -> Duration = { 1.seconds }
    val completed = ArrayList<RequestId>()
    val rejected = LinkedHashMap<RequestId, ErrorKind>()
    val waits = HashMap<RequestId, Duration>()
    val dropped = ArrayList<AttemptId>()
    var observer: (RouterId, RoutingAction) -> Unit = { _, _ -> }
    private val submitted = HashMap<RequestId, Duration>()

    init {
        for (router in dispatchers.keys) handle(router, RoutingEvent.ConfigChanged(config))
    }

    fun introduce() = dispatchers.keys.forEach { handle(it, RoutingEvent.PeersChanged(domains)) }

    fun submit(router: String, request: RoutingRequest): List<RoutingAction> {
        requests[request.id] = request
        submitted[request.id] = now
        return handle(RouterId(router), RoutingEvent.Submit(request))
    }

    fun handle(router: RouterId, event: RoutingEvent): List<RoutingAction> {
        val actions = dispatchers.getValue(router)
            .handle(event, Now(now, Instant.fromEpochSeconds(0) + now))
        actions.forEach { apply(router, it) }
        return actions
    }

    private fun apply(router: RouterId, action: RoutingAction) {
        observer(router, action)
        when (action) {
            is RoutingAction.Dispatch -> dispatch(router, action)

            is RoutingAction.Reject -> rejected[action.request] = action.kind

            is RoutingAction.Complete -> completed += action.request

            is RoutingAction.DropAnswer -> dropped += action.attempt

            is RoutingAction.CancelAttempt -> boxes.getValue(action.endpoint.value).running
                .removeIf { it.router == router && it.attempt == action.attempt }

            is RoutingAction.SendToPeer -> send(router, action.to, action.message)

            is RoutingAction.SendToPeers ->
                (domains.keys - router).forEach { send(router, it, action.message) }
        }
    }

    private fun send(from: RouterId, to: RouterId, message: RoutingMessage) {
        if (random.nextDouble() < loss) return
        messages += Message(now + 2.milliseconds, from, to, message)
        if (random.nextDouble() < loss) {
            messages += Message(now + (random.nextInt(500)).milliseconds, from, to, message)
        }
    }

    private fun dispatch(router: RouterId, action: RoutingAction.Dispatch) {
        val box = boxes.getValue(action.endpoint.value)
        val request = requests.getValue(action.request)
        box.started += now to request.id
        waits.putIfAbsent(request.id, now - submitted.getValue(request.id))
        val life = when {
            box.mode == Mode.DOWN || box.mode == Mode.FAILS -> Duration.ZERO
            box.mode == Mode.STALLS -> Duration.INFINITE
            request.contentDigest in poison -> 100.milliseconds
            else -> serviceTime(request)
        }
        box.running += Running(router, action.attempt, request, now, now + life)
        box.highest = maxOf(box.highest, box.held)
    }

    fun advance(time: Duration) {
        val end = now + time
        while (now < end) {
            now += STEP
            deliver()
            boxes.values.forEach { step(it) }
            if (now.inWholeMilliseconds % 50 == 0L) {
                dispatchers.keys.forEach { handle(it, RoutingEvent.Tick) }
            }
        }
    }

    private fun deliver() {
        val due = messages.filter { it.at <= now }
        messages.removeAll(due)
        due.filter { connected(it.from, it.to) }
            .forEach { handle(it.to, RoutingEvent.PeerReceived(it.from, it.message)) }
    }

    private fun step(box: Box) {
        if (box.restart?.let { it <= now } == true) {
            box.restart = null
            box.mode = Mode.ANSWERS
        }
        val killer = box.running.any { it.end <= now && it.request.contentDigest in poison }
        if (box.mode == Mode.ANSWERS && (killer || box.held > box.config.memoryTokens)) {
            crash(box)
            return
        }
        if (box.mode == Mode.ANSWERS) firstTokens(box)
        for (done in box.running.filter { it.end <= now }) {
            if (!box.running.remove(done)) continue
            val outcome = when (box.mode) {
                Mode.DOWN -> AttemptOutcome.NotSent
                Mode.FAILS -> AttemptOutcome.Failed
                else -> AttemptOutcome.Answered(10)
            }
            end(done, outcome)
        }
    }

    private fun firstTokens(box: Box) {
        val due = box.running.filter { !it.firstToken && it.start + FIRST_TOKEN <= now }
        for (running in due) {
            running.firstToken = true
            val event = RoutingEvent.FirstToken(running.attempt, running.request.id)
            handle(running.router, event)
        }
    }

    fun crash(box: Box, restart: Duration = 2.seconds) {
        box.crashes++
        box.mode = Mode.DOWN
        box.restart = now + restart
        val lost = box.running
        box.running = ArrayList()
        lost.forEach { end(it, AttemptOutcome.Crashed) }
    }

    private fun end(running: Running, outcome: AttemptOutcome) {
        val event = RoutingEvent.Completed(running.attempt, running.request.id, outcome)
        handle(running.router, event)
    }

    private companion object {
        val STEP = 10.milliseconds
        val FIRST_TOKEN = 100.milliseconds
    }
}
