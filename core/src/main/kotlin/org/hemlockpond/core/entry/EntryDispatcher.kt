/*
 * Decides about the requests on one entry host: which endpoint gets each request, how long it waits
 * for capacity, whether it is retried and when it is refused. Not thread-safe: all functions are
 * called on the control thread.
 */
package org.hemlockpond.core.entry

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.VersionId
import org.hemlockpond.core.routing.RetryBudget

class EntryDispatcher(
    domain: FailureDomain,
    private val settings: EntrySettings = EntrySettings(),
    random: Random = Random.Default,
    private val limits: EndpointLimits = EndpointLimits(),
    knownHosts: KnownHosts = NoKnownHosts,
    private val views: EngineViews = EngineViews(settings.view, random)
) {
    private class OpenRequest(val request: EntryRequest) {
        val triedEndpoints = HashSet<EndpointId>(2)
        var currentLoad: EndpointLoad? = null

        /** Whether the current attempt uses this host's share of a cold endpoint. */
        var hasColdShare = false

        /** The number of times that the request was sent. */
        var attempts = 0

        /** The number of attempts that an endpoint may have run; limited by `maxAttempts`. */
        var possibleRuns = 0

        /** Whether an answer is held that is delivered if there is no further attempt. */
        var isAnswerHeld = false
        var lastFailure: ErrorKind? = null
    }

    private class ServiceState(settings: EntrySettings) {
        val loads = LinkedHashMap<EndpointId, EndpointLoad>()

        /** The version that an operator has ordered and that gets no requests. */
        var heldVersion: VersionId? = null

        /**
         * The endpoints that may get requests: those of the held version only if there are no
         * others.
         */
        val candidates: Collection<EndpointLoad>
            get() {
                val held = heldVersion ?: return loads.values
                return loads.values.filter { it.endpoint.version != held }.ifEmpty { loads.values }
            }

        val waiting = WaitingRequests()
        val suspects = CrashSuspects(settings.crashes)
        val retries = RetryBudget(settings.retryRatio, settings.retryBurst)
    }

    private val choice = EndpointChoice(domain, settings, views, random)
    private val placement = PlacementConstraints(domain, settings.placement, knownHosts)
    private val shedding = LoadShedding(settings, random)
    private val retrySpread = RetrySpread(random)
    private val services = HashMap<ServiceId, ServiceState>()
    private val open = HashMap<RequestId, OpenRequest>()
    private var serviceConfigs: Map<ServiceId, EntryService> = emptyMap()

    /** The number of requests that haven't ended. */
    val openRequests: Int get() = open.size

    /** The number of requests that wait for an endpoint with capacity. */
    val waitingRequests: Int get() = services.values.sumOf { it.waiting.size }

    /** The failure domains whose endpoints get no requests. */
    val evacuatedDomains: Set<FailureDomain> get() = placement.evacuated

    /** The number of listed endpoints that are cold and have a bound. */
    fun coldEndpoints(now: Duration): Int = services.values.sumOf { service ->
        service.loads.values.count { placement.isCold(it.endpoint, now) }
    }

    /** The number of requests that were sent to cold endpoints. */
    val coldSends: Long get() = placement.coldSends

    /** The number of requests that were kept back right before they would have been written. */
    val withdrawnSends: Long get() = placement.withdrawnCount

    fun configChanged(config: EntryConfig) {
        serviceConfigs = config.services
        shedding.configChanged(config)
        placement.configChanged(config)
    }

    /** The endpoints of exactly these [domains] get no requests from now on. */
    fun evacuationsChanged(domains: Set<FailureDomain>, now: Duration): List<EntryAction> =
        buildList {
            placement.evacuationsChanged(domains, now)
            refuseUnplaceable()
            services.values.forEach { sendWaiting(it, now) }
        }

    /** Ends the waiting requests that no listed endpoint may get any more. */
    private fun MutableList<EntryAction>.refuseUnplaceable() {
        if (!placement.takeChange()) return
        for (service in services.values) {
            for (request in service.waiting.requests) {
                val entry = open[request.id] ?: continue
                if (placement.isUnplaceable(request, service.candidates)) {
                    giveUp(entry, ErrorKind.NO_ENDPOINT)
                }
            }
        }
    }

    /** The refusal of [request] if no listed endpoint may get it; null otherwise. */
    fun placementRefusal(request: EntryRequest): EntryAction.Refuse? =
        if (placement.isUnplaceable(request, service(request.service).candidates)) {
            refusal(request, ErrorKind.NO_ENDPOINT)
        } else {
            null
        }

    /**
     * Whether a request may still be written to the endpoint that was chosen for it. To be called right
     * before; if not, the attempt has to be ended as [AttemptEnd.Withdrawn].
     */
    fun beginWrite(id: RequestId, now: Duration): Boolean {
        val entry = open[id] ?: return true
        val endpoint = entry.currentLoad?.endpoint ?: return true
        return placement.beginWrite(entry.request, endpoint, entry.hasColdShare, now)
    }

    /** Keeps requests from the endpoints of the version that [order] names. */
    fun rolloutOrdered(order: RolloutOrder) {
        service(order.service).heldVersion = order.target
    }

    /** The operator withdrew the roll-out of [id]; all endpoints may get requests again. */
    fun rolloutWithdrawn(id: ServiceId) {
        service(id).heldVersion = null
    }

    /** Applies changes of the endpoint list. */
    fun endpointsChanged(changes: List<DirectoryChange>, now: Duration): List<EntryAction> {
        for (change in changes) {
            when (change) {
                is DirectoryChange.Added -> {
                    add(change.endpoint)
                    placement.endpointRead(change.endpoint, now)
                }

                is DirectoryChange.Updated -> {
                    service(change.endpoint.service).loads[change.endpoint.id]
                        ?.let { it.endpoint = change.endpoint } ?: add(change.endpoint)
                    placement.endpointRead(change.endpoint, now)
                }

                is DirectoryChange.Removed -> remove(change.id)
            }
        }
        return buildList { services.values.forEach { sendWaiting(it, now) } }
    }

    private fun add(endpoint: ListedEndpoint) {
        val profile = serviceConfigs[endpoint.service]?.engine
        service(endpoint.service).loads[endpoint.id] =
            EndpointLoad(
                endpoint,
                profile,
                settings,
                limits.of(endpoint.process),
                onProbation = false,
                views.of(endpoint.process)
            )
    }

    private fun remove(id: EndpointId) {
        for (service in services.values) {
            val load = service.loads.remove(id) ?: continue
            limits.remove(load.endpoint.process)
            placement.endpointRemoved(load.endpoint.process)
            views.remove(load.endpoint.process)
        }
    }

    /** Sends nothing to [process] for [pause]: it has refused a request and named this time. */
    fun endpointPaused(process: EndpointProcess, pause: Duration, now: Duration) =
        limits.of(process).pause(now + pause)

    private fun service(id: ServiceId): ServiceState = services.getOrPut(id) {
        ServiceState(settings)
    }

    /** Accepts a request that is authorised and whose tokens are reserved. */
    fun submit(request: EntryRequest, now: Duration): List<EntryAction> = buildList {
        val service = service(request.service)
        service.retries.deposit()
        if (service.suspects.refused(request.suspects, now) != null) {
            add(refusal(request, ErrorKind.SUSPECT_NOT_RUN))
            return@buildList
        }
        placementRefusal(request)?.let {
            add(it)
            return@buildList
        }
        val eventGap = shortestEventGap(service, now)
        if (shedding.shouldShed(request, eventGap)) {
            add(refusal(request, ErrorKind.OVERLOADED).copy(eventGap = eventGap))
            return@buildList
        }
        val entry = OpenRequest(request)
        open[request.id] = entry
        if (!send(service, entry, now)) enqueue(service, entry, now)
    }

    private fun shortestEventGap(service: ServiceState, now: Duration): Duration =
        placement.usable(service.candidates, now).filter {
            it.hasCapacity(now)
        }.minOfOrNull { it.meanEventGap(now) }
            ?: Duration.ZERO

    private fun MutableList<EntryAction>.send(
        service: ServiceState,
        entry: OpenRequest,
        now: Duration
    ): Boolean {
        val request = entry.request
        val chosen = placement.choices(request, service.candidates, now)
            .firstNotNullOfOrNull { choose(entry, it, now) } ?: return false
        chosen.load.requestSent(request, chosen.predictedLatency, chosen.cacheProbability, now)
        entry.currentLoad = chosen.load
        entry.hasColdShare = placement.requestSent(chosen.load.endpoint, now)
        entry.attempts++
        entry.isAnswerHeld = false
        add(
            EntryAction.Send(request, chosen.load.endpoint, entry.attempts, chosen.predictedLatency)
        )
        return true
    }

    private fun choose(entry: OpenRequest, loads: Collection<EndpointLoad>, now: Duration) =
        choice.choose(entry.request, loads, entry.triedEndpoints, now)
            ?: if (entry.triedEndpoints.isEmpty()) {
                null
            } else {
                choice.choose(entry.request, loads, emptySet(), now)
            }

    private fun MutableList<EntryAction>.enqueue(
        service: ServiceState,
        entry: OpenRequest,
        now: Duration
    ) {
        val request = entry.request
        if (placement.isUnplaceable(request, service.candidates)) {
            giveUp(entry, ErrorKind.NO_ENDPOINT)
            return
        }
        val hasNoEndpoint = service.loads.isEmpty()
        val limit = if (hasNoEndpoint) {
            settings.noEndpointWait
        } else {
            request.route.goal *
                settings.waitFraction
        }
        if (service.waiting.size >= settings.queueLimit) {
            giveUp(entry, ErrorKind.OVERLOADED)
            return
        }
        val expiresAt = minOf(now + limit, request.deadline - MIN_SEND_TIME)
        if (expiresAt <= now) {
            giveUp(entry, if (hasNoEndpoint) ErrorKind.NO_ENDPOINT else ErrorKind.OVERLOADED)
            return
        }
        val pausedUntil = maxOf(
            pausedUntil(service, now) ?: now,
            placement.readyAt(request, service.candidates, service.waiting.size, now)
        )
        if (pausedUntil >= expiresAt) {
            giveUp(entry, ErrorKind.OVERLOADED, minWait = pausedUntil - now)
            return
        }
        service.waiting.add(WaitingRequests.Waiting(request, expiresAt))
    }

    /** When the first usable endpoint wants requests again; null if one wants them at [now]. */
    private fun pausedUntil(service: ServiceState, now: Duration): Duration? =
        placement.usable(service.candidates, now).minOfOrNull { it.pausedUntil }
            ?.takeIf { it > now }

    private fun MutableList<EntryAction>.sendWaiting(service: ServiceState, now: Duration) {
        if (service.waiting.size == 0) return
        for (request in service.waiting.inSendOrder(now)) {
            val entry = open[request.id]
            if (entry != null && !send(service, entry, now)) continue
            service.waiting.remove(request)
        }
    }

    /** Notes that bytes of the answer arrived from the endpoint. */
    fun bytesReceived(request: RequestId, now: Duration) {
        open[request]?.currentLoad?.bytesReceived(request, now)
    }

    /** Notes that the first event, or the answer of a plain service, arrived. */
    fun answerStarted(id: RequestId, now: Duration): List<EntryAction> {
        val entry = open[id] ?: return emptyList()
        entry.currentLoad?.answerStarted(id, now)
        val request = entry.request
        val cleared = service(request.service).suspects.answerBegan(request.suspects)
        return if (cleared.isEmpty()) {
            emptyList()
        } else {
            listOf(EntryAction.ReportCleared(request, cleared))
        }
    }

    /**
     * Handles the end of the request's current attempt.
     *
     * @param isRetryable whether the part of the answer that was already forwarded to the caller
     *   allows another attempt
     */
    fun attemptEnded(
        id: RequestId,
        end: AttemptEnd,
        now: Duration,
        isRetryable: Boolean = true
    ): List<EntryAction> = buildList {
        val entry = open[id] ?: return@buildList
        val load = entry.currentLoad ?: return@buildList
        entry.currentLoad = null
        load.requestEnded(id)
        entry.triedEndpoints += load.endpoint.id
        val service = service(entry.request.service)
        updateHealth(service, load, entry, end, now)
        when (end) {
            is AttemptEnd.Answered ->
                attemptAnswered(service, entry, end.status, isRetryable, now)

            AttemptEnd.NotSent -> {
                entry.lastFailure = ErrorKind.NO_ENDPOINT
                retry(service, entry, usesRetryBudget = false, now)
            }

            AttemptEnd.Withdrawn -> {
                entry.lastFailure = ErrorKind.OVERLOADED
                retry(service, entry, usesRetryBudget = false, now)
            }

            is AttemptEnd.NotRun -> {
                entry.lastFailure = ErrorKind.OVERLOADED
                retry(service, entry, usesRetryBudget = true, now)
            }

            is AttemptEnd.Broken -> {
                entry.possibleRuns++
                entry.lastFailure = ErrorKind.ENDPOINT_FAILED
                attemptBroken(service, entry, load.endpoint, end, isRetryable, now)
            }
        }
        sendWaiting(service, now)
    }

    private fun MutableList<EntryAction>.attemptAnswered(
        service: ServiceState,
        entry: OpenRequest,
        status: Int,
        isRetryable: Boolean,
        now: Duration
    ) {
        entry.possibleRuns++
        val failed = status >= MIN_FAILURE_STATUS
        entry.isAnswerHeld = true
        if (failed && isRetryable && entry.request.route.retrySafety == RetrySafety.SAFE) {
            retry(service, entry, usesRetryBudget = true, now)
        } else {
            close(entry)
            add(EntryAction.Deliver(entry.request))
        }
    }

    private fun MutableList<EntryAction>.attemptBroken(
        service: ServiceState,
        entry: OpenRequest,
        endpoint: ListedEndpoint,
        end: AttemptEnd.Broken,
        isRetryable: Boolean,
        now: Duration
    ) {
        val request = entry.request
        if (end.crash) {
            val evidence =
                if (end.answering) CrashEvidence.ANSWERING else CrashEvidence.UNANSWERED
            val report = CrashReport(
                request.service,
                endpoint.process,
                request.suspects.associateWith { evidence },
                service.suspects.earlierCrashes(endpoint.process)
            )
            service.suspects.addCrash(report, now)
            add(EntryAction.ReportCrash(request, report))
            withdrawRefused(service, now)
        }
        val allowed = isRetryable && request.route.retrySafety != RetrySafety.UNSAFE
        if (!allowed || service.suspects.refused(request.suspects, now) != null) {
            giveUp(entry, ErrorKind.ENDPOINT_FAILED)
        } else {
            retry(service, entry, usesRetryBudget = true, now)
        }
    }

    /**
     * Retries if the deadline, the attempts and the retry budget allow; otherwise ends the request.
     * `maxAttempts` limits the attempts that may have run, and [MAX_SENDS] limits all sends.
     */
    private fun MutableList<EntryAction>.retry(
        service: ServiceState,
        entry: OpenRequest,
        usesRetryBudget: Boolean,
        now: Duration
    ) {
        val request = entry.request
        val exhausted =
            entry.possibleRuns >= request.route.maxAttempts || entry.attempts >= MAX_SENDS
        val late = request.deadline - now < MIN_SEND_TIME
        val over = exhausted || late
        val kind = entry.lastFailure ?: ErrorKind.ENDPOINT_FAILED
        if (over || (usesRetryBudget && !service.retries.tryWithdraw())) {
            giveUp(entry, kind)
        } else if (!send(service, entry, now)) {
            if (entry.isAnswerHeld) giveUp(entry, kind) else enqueue(service, entry, now)
        }
    }

    /** @param minWait how long no endpoint will take a request, as far as that is known */
    private fun MutableList<EntryAction>.giveUp(
        entry: OpenRequest,
        kind: ErrorKind,
        minWait: Duration = Duration.ZERO
    ) {
        close(entry)
        add(
            when {
                entry.isAnswerHeld -> EntryAction.Deliver(entry.request)
                entry.possibleRuns > 0 -> EntryAction.Fail(entry.request, ErrorKind.ENDPOINT_FAILED)
                else -> refusal(entry.request, kind, minWait)
            }
        )
    }

    private fun refusal(
        request: EntryRequest,
        kind: ErrorKind,
        minWait: Duration = Duration.ZERO
    ): EntryAction.Refuse {
        val wait = maxOf(minWait, settings.retryAfterMin)
        val retryAfter = wait + settings.retryAfterJitter * retrySpread.next()
        return EntryAction.Refuse(request, kind, retryAfter)
    }

    /** Updates the health of the endpoint from the end of an attempt. */
    private fun updateHealth(
        service: ServiceState,
        load: EndpointLoad,
        entry: OpenRequest,
        end: AttemptEnd,
        now: Duration
    ) {
        val content = entry.request.contentDigest.toString()
        when (end) {
            is AttemptEnd.Answered -> if (end.status < MIN_FAILURE_STATUS) {
                load.health.recordSuccess(now)
            } else if (load.health.recordFailure(content)) {
                excludeUnlessTooMany(service, load, now)
            }

            // A refused connection is proof that the endpoint is down, unlike a broken answer.
            AttemptEnd.NotSent -> load.health.exclude(now)

            AttemptEnd.Withdrawn -> Unit

            is AttemptEnd.NotRun -> if (end.misdirected) {
                load.health.exclude(now)
            } else {
                load.markFull(now)
            }

            is AttemptEnd.Broken ->
                if (load.health.recordFailure(
                        content
                    )
                ) {
                    excludeUnlessTooMany(service, load, now)
                }
        }
    }

    /** Excludes the endpoint unless too many are: then the requests are more likely at fault. */
    private fun excludeUnlessTooMany(service: ServiceState, load: EndpointLoad, now: Duration) {
        val excluded = service.loads.values.count { it.health.isExcluded(now) }
        if (excluded + 1 <= service.loads.size * settings.health.exclusionShare) {
            load.health.exclude(now)
        }
    }

    /** Removes a request whose caller has disconnected or that the router has ended. */
    fun requestCancelled(id: RequestId, now: Duration): List<EntryAction> = buildList {
        val entry = open[id] ?: return@buildList
        // Silence is detected from outstanding requests, so check before this one is removed.
        entry.currentLoad?.let {
            if (it.awaitsAnswer(id) &&
                it.isSilent(now)
            ) {
                it.health.exclude(now)
            }
        }
        close(entry)
        sendWaiting(service(entry.request.service), now)
    }

    private fun close(entry: OpenRequest) {
        val id = entry.request.id
        open -= id
        entry.currentLoad?.requestEnded(id)
        entry.currentLoad = null
        service(entry.request.service).waiting.remove(entry.request)
    }

    /** Adds what another host knows about a crash. */
    fun crashReported(report: CrashReport, now: Duration): List<EntryAction> = buildList {
        val service = service(report.service)
        service.suspects.addCrash(report, now)
        withdrawRefused(service, now)
        sendWaiting(service, now)
    }

    /** Clears suspects of requests to [id] for which an answer has begun at another host. */
    fun suspectsCleared(id: ServiceId, suspects: Collection<Suspect>) =
        service(id).suspects.clear(suspects)

    /** Ends the requests that are refused by now and wait, or whose answer hasn't begun. */
    private fun MutableList<EntryAction>.withdrawRefused(service: ServiceState, now: Duration) {
        for (entry in open.values.toList()) {
            val request = entry.request
            if (service(request.service) !== service) continue
            if (service.suspects.refused(request.suspects, now) == null) continue
            val load = entry.currentLoad
            if (load == null) {
                if (service.waiting.remove(request)) giveUp(entry, ErrorKind.SUSPECT_NOT_RUN)
            } else if (load.awaitsAnswer(request.id)) {
                entry.possibleRuns++
                giveUp(entry, ErrorKind.ENDPOINT_FAILED)
            }
        }
    }

    /** Handles timeouts and silent endpoints; to be called every few tens of milliseconds. */
    fun tick(now: Duration): List<EntryAction> = buildList {
        refuseUnplaceable()
        for (service in services.values) {
            sendWaiting(service, now)
            // A request that can't be sent before the end of its wait is refused at once.
            val pausedUntil = pausedUntil(service, now) ?: now
            for (request in service.waiting.removeExpired(pausedUntil)) {
                val entry = open[request.id] ?: continue
                val hasNoEndpoint = service.loads.isEmpty()
                val kind = if (hasNoEndpoint) ErrorKind.NO_ENDPOINT else ErrorKind.OVERLOADED
                giveUp(entry, kind, minWait = pausedUntil - now)
            }
            if (service.loads.values.any { it.isSilent(now) }) cancelSilentAttempts(service, now)
        }
    }

    /** Cancels attempts at silent endpoints if the requests may be sent again. */
    private fun MutableList<EntryAction>.cancelSilentAttempts(
        service: ServiceState,
        now: Duration
    ) {
        for (entry in open.values) {
            val load = entry.currentLoad ?: continue
            val request = entry.request
            if (service.loads[load.endpoint.id] !== load || !load.isSilent(now)) continue
            if (!load.awaitsAnswer(request.id) ||
                request.route.retrySafety == RetrySafety.UNSAFE
            ) {
                continue
            }
            if (entry.possibleRuns + 1 <
                request.route.maxAttempts
            ) {
                add(EntryAction.CancelAttempt(request))
            }
        }
    }

    private companion object {
        /** Statuses from this one on are failures of the endpoint. */
        const val MIN_FAILURE_STATUS = 500

        /**
         * The maximum number of times that one request is sent, including attempts that never ran.
         */
        const val MAX_SENDS = 5

        /** With less time to the deadline, no answer can arrive in time. */
        val MIN_SEND_TIME = 40.milliseconds
    }
}
