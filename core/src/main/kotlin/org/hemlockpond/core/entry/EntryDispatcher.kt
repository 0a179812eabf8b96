/*
 * The decisions about requests on one entry host: where each is sent, how long it waits, whether it
 * is tried again and when it is refused. All functions are called on the control thread.
 */
package org.hemlockpond.core.entry

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.routing.RetryBudget

class EntryDispatcher(
    domain: FailureDomain,
    private val settings: EntrySettings = EntrySettings(),
    private val random: Random = Random.Default
) {
    private class Open(val request: EntryRequest) {
        val tried = HashSet<EndpointId>(2)
        var at: EndpointLoad? = null
        var attempts = 0

        /** Attempts that may have run. */
        var runs = 0

        /** An answer is held that is delivered if there is no further attempt. */
        var answerHeld = false
        var failure: ErrorKind? = null
    }

    private class Service(settings: EntrySettings) {
        val loads = LinkedHashMap<EndpointId, EndpointLoad>()
        val waiting = WaitingRequests()
        val retries = RetryBudget(settings.retryRatio, settings.retryBurst)
    }

    private val choice = EndpointChoice(domain, settings)
    private val shedding = LoadShedding(settings, random)
    private val suspects = CrashSuspects(settings.crashLimit)
    private val services = HashMap<ServiceId, Service>()
    private val open = HashMap<RequestId, Open>()
    private var profiles: Map<ServiceId, EntryService> = emptyMap()
    private var listedOnce = false

    /** Requests that aren't ended. */
    val openRequests: Int get() = open.size

    /** Requests that wait for room. */
    val waitingRequests: Int get() = services.values.sumOf { it.waiting.size }

    fun configChanged(config: EntryConfig) {
        profiles = config.services
        shedding.configChanged(config)
    }

    /** Takes over changes of the endpoint list. */
    fun endpointsChanged(changes: List<DirectoryChange>, now: Duration): List<EntryAction> {
        for (change in changes) {
            when (change) {
                is DirectoryChange.Added -> add(change.endpoint)

                is DirectoryChange.Updated ->
                    service(change.endpoint.service).loads[change.endpoint.id]
                        ?.let { it.listed = change.endpoint } ?: add(change.endpoint)

                is DirectoryChange.Removed -> services.values.forEach { it.loads -= change.id }
            }
        }
        if (changes.isNotEmpty()) listedOnce = true
        return buildList { services.values.forEach { sendWaiting(it, now) } }
    }

    private fun add(endpoint: ListedEndpoint) {
        val profile = profiles[endpoint.service]?.engine
        service(endpoint.service).loads[endpoint.id] =
            EndpointLoad(endpoint, profile, settings, onProbation = false)
    }

    private fun service(id: ServiceId): Service = services.getOrPut(id) { Service(settings) }

    /** A request that is authorised and paid for. */
    fun submit(request: EntryRequest, now: Duration): List<EntryAction> = buildList {
        val service = service(request.service)
        service.retries.deposit()
        if (suspects.isRefused(request.contentDigest)) {
            add(refusal(request, ErrorKind.SUSPECT_NOT_RUN))
            return@buildList
        }
        val pause = shortestPause(service, now)
        if (shedding.refuses(request, pause)) {
            add(refusal(request, ErrorKind.OVERLOADED).copy(pause = pause))
            return@buildList
        }
        val entry = Open(request)
        open[request.id] = entry
        if (!send(service, entry, now)) wait(service, entry, now)
    }

    private fun shortestPause(service: Service, now: Duration): Duration =
        service.loads.values.filter { it.hasRoom(now) }.minOfOrNull { it.pause(now) }
            ?: Duration.ZERO

    private fun MutableList<EntryAction>.send(
        service: Service,
        entry: Open,
        now: Duration
    ): Boolean {
        val request = entry.request
        val loads = service.loads.values
        val chosen = choice.choose(request, loads, entry.tried, now)
            ?: (if (entry.tried.isEmpty()) null else choice.choose(request, loads, emptySet(), now))
            ?: return false
        chosen.load.start(request, chosen.predicted, chosen.likely, now)
        entry.at = chosen.load
        entry.attempts++
        entry.answerHeld = false
        add(
            EntryAction.Send(request, chosen.load.listed, entry.attempts, chosen.predicted)
        )
        return true
    }

    private fun MutableList<EntryAction>.wait(service: Service, entry: Open, now: Duration) {
        val request = entry.request
        val empty = service.loads.isEmpty()
        val limit = if (empty) settings.emptyWait else request.route.goal * settings.waitShare
        if (service.waiting.size >= settings.queueLimit) {
            giveUp(entry, ErrorKind.OVERLOADED)
            return
        }
        val until = minOf(now + limit, request.deadline - LAST_SEND)
        if (until <= now) {
            giveUp(entry, if (empty) ErrorKind.NO_ENDPOINT else ErrorKind.OVERLOADED)
            return
        }
        service.waiting.add(WaitingRequests.Waiting(request, until))
    }

    private fun MutableList<EntryAction>.sendWaiting(service: Service, now: Duration) {
        if (service.waiting.size == 0) return
        for (request in service.waiting.ordered(now)) {
            val entry = open[request.id]
            if (entry != null && !send(service, entry, now)) continue
            service.waiting.remove(request)
        }
    }

    /** Bytes came from the endpoint that has the request. */
    fun heard(request: RequestId, now: Duration) {
        open[request]?.at?.heard(request, now)
    }

    /** The first event, or the answer of a plain service, came. */
    fun answered(request: RequestId, now: Duration) {
        open[request]?.at?.answered(request, now)
    }

    /**
     * The attempt under way has ended.
     *
     * @param repeatable whether another attempt could still answer the caller, as far as what was
     *   passed on is concerned
     */
    fun ended(
        id: RequestId,
        end: AttemptEnd,
        now: Duration,
        repeatable: Boolean = true
    ): List<EntryAction> = buildList {
        val entry = open[id] ?: return@buildList
        val load = entry.at ?: return@buildList
        entry.at = null
        load.end(id)
        entry.tried += load.listed.id
        val service = service(entry.request.service)
        judge(service, load, entry, end, now)
        when (end) {
            is AttemptEnd.Answered -> answeredWith(service, entry, end.status, now)

            AttemptEnd.NotSent -> {
                entry.failure = ErrorKind.NO_ENDPOINT
                again(service, entry, counts = false, now)
            }

            is AttemptEnd.NotRun -> {
                entry.failure = ErrorKind.OVERLOADED
                again(service, entry, counts = true, now)
            }

            is AttemptEnd.Broken -> {
                entry.runs++
                entry.failure = ErrorKind.ENDPOINT_FAILED
                broken(service, entry, end, repeatable, now)
            }
        }
        sendWaiting(service, now)
    }

    private fun MutableList<EntryAction>.answeredWith(
        service: Service,
        entry: Open,
        status: Int,
        now: Duration
    ) {
        entry.runs++
        val failed = status >= FIRST_FAILURE
        entry.answerHeld = true
        if (failed && entry.request.route.repetition == Repetition.SAFE) {
            again(service, entry, counts = true, now)
        } else {
            close(entry)
            add(EntryAction.Deliver(entry.request))
        }
    }

    private fun MutableList<EntryAction>.broken(
        service: Service,
        entry: Open,
        end: AttemptEnd.Broken,
        repeatable: Boolean,
        now: Duration
    ) {
        val request = entry.request
        if (end.crash) {
            val crashes = suspects.crashed(request.contentDigest)
            add(EntryAction.RecordCrash(request, crashes))
        }
        val allowed = repeatable && request.route.repetition != Repetition.UNSAFE
        if (!allowed || suspects.isRefused(request.contentDigest)) {
            giveUp(entry, ErrorKind.ENDPOINT_FAILED)
        } else {
            again(service, entry, counts = true, now)
        }
    }

    /** Tries once more, if time, attempts and the retry budget allow; otherwise ends the request. */
    private fun MutableList<EntryAction>.again(
        service: Service,
        entry: Open,
        counts: Boolean,
        now: Duration
    ) {
        val request = entry.request
        val exhausted = entry.runs >= request.route.maxAttempts || entry.attempts >= MAX_SENDS
        val late = request.deadline - now < LAST_SEND
        val over = exhausted || late
        val kind = entry.failure ?: ErrorKind.ENDPOINT_FAILED
        if (over || (counts && !service.retries.tryWithdraw())) {
            giveUp(entry, kind)
        } else if (!send(service, entry, now)) {
            if (entry.answerHeld) giveUp(entry, kind) else wait(service, entry, now)
        }
    }

    private fun MutableList<EntryAction>.giveUp(entry: Open, kind: ErrorKind) {
        close(entry)
        add(
            when {
                entry.answerHeld -> EntryAction.Deliver(entry.request)
                entry.runs > 0 -> EntryAction.Fail(entry.request, ErrorKind.ENDPOINT_FAILED)
                else -> refusal(entry.request, kind)
            }
        )
    }

    private fun refusal(request: EntryRequest, kind: ErrorKind): EntryAction.Refuse {
        val after = settings.retryAfterLow + settings.retryAfterSpread * random.nextDouble()
        return EntryAction.Refuse(request, kind, after)
    }

    /** What the end of an attempt says about the endpoint. */
    private fun judge(
        service: Service,
        load: EndpointLoad,
        entry: Open,
        end: AttemptEnd,
        now: Duration
    ) {
        val content = entry.request.contentDigest.toString()
        when (end) {
            is AttemptEnd.Answered -> if (end.status < FIRST_FAILURE) {
                load.health.recordSuccess(now)
            } else if (load.health.recordFailure(content)) {
                exclude(service, load, now)
            }

            // A refused connection is a certain sign, an interrupted answer isn't.
            AttemptEnd.NotSent -> load.health.exclude(now)

            is AttemptEnd.NotRun -> if (end.misdirected) {
                load.health.exclude(now)
            } else {
                load.full(now)
            }

            is AttemptEnd.Broken ->
                if (load.health.recordFailure(content)) exclude(service, load, now)
        }
    }

    /** At most a part of the endpoints is excluded: beyond it the requests are more likely at fault. */
    private fun exclude(service: Service, load: EndpointLoad, now: Duration) {
        val excluded = service.loads.values.count { it.health.isExcluded(now) }
        if (excluded + 1 <= service.loads.size * settings.health.exclusionShare) {
            load.health.exclude(now)
        }
    }

    /** The caller is gone, or the router ended the request. */
    fun cancelled(id: RequestId, now: Duration): List<EntryAction> = buildList {
        val entry = open[id] ?: return@buildList
        // Its last request is what shows that the endpoint is silent, and is about to be forgotten.
        entry.at?.let { if (it.owes(id) && it.isSilent(now)) it.health.exclude(now) }
        close(entry)
        sendWaiting(service(entry.request.service), now)
    }

    private fun close(entry: Open) {
        val id = entry.request.id
        open -= id
        entry.at?.end(id)
        entry.at = null
        service(entry.request.service).waiting.remove(entry.request)
    }

    /** Crashes under [content] that other hosts have recorded. */
    fun crashesRecorded(content: Long, crashes: Int) = suspects.recorded(content, crashes)

    /** Time has passed; expected every few tens of milliseconds. */
    fun tick(now: Duration): List<EntryAction> = buildList {
        for (service in services.values) {
            sendWaiting(service, now)
            for (request in service.waiting.expired(now)) {
                val entry = open[request.id] ?: continue
                val empty = service.loads.isEmpty()
                giveUp(entry, if (empty) ErrorKind.NO_ENDPOINT else ErrorKind.OVERLOADED)
            }
            if (service.loads.values.any { it.isSilent(now) }) abandonSilent(service, now)
        }
    }

    /** Requests that may be repeated don't wait for an endpoint that has gone silent. */
    private fun MutableList<EntryAction>.abandonSilent(service: Service, now: Duration) {
        for (entry in open.values) {
            val load = entry.at ?: continue
            val request = entry.request
            if (service.loads[load.listed.id] !== load || !load.isSilent(now)) continue
            if (!load.owes(request.id) || request.route.repetition == Repetition.UNSAFE) continue
            if (entry.runs + 1 < request.route.maxAttempts) add(EntryAction.Abandon(request))
        }
    }

    private companion object {
        /** Statuses from here on are failures of the endpoint. */
        const val FIRST_FAILURE = 500

        /** Bounds the endpoints that one request is offered to. */
        const val MAX_SENDS = 5

        /** With less time left no answer can come back in time. */
        val LAST_SEND = 40.milliseconds
    }
}
