/*
 * The one further attempt of suspect content, alone at an endpoint. Routers claim the attempt
 * before they make it: a claim is announced and runs only after a wait in which the claims and
 * verdicts of the others arrive. Of several claims the one that runs, or else the one of the lowest
 * router id, goes first.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import org.hemlockpond.core.ErrorKind

internal class Trials(
    private val endpoints: Endpoints,
    private val suspects: Suspects,
    private val loans: Loans,
    private val settings: RoutingSettings
) {
    class Trial(val content: String, var claimed: Duration) {
        val items = ArrayDeque<Item>()
        var running: Item? = null
        var endpoint: EndpointState? = null
        var isolatedSince = Duration.ZERO
        var renewed = claimed
    }

    private val byContent = LinkedHashMap<String, Trial>()

    /** Endpoints that are free of other work after a trial, and since when they are isolated. */
    private val idle = LinkedHashMap<EndpointState, Duration>()

    val waiting: Int get() = byContent.values.sumOf { it.items.size }

    fun add(item: Item, now: Duration, out: MutableList<RoutingAction>) {
        val content = item.work.contentDigest
        val trial = byContent.getOrPut(content) {
            out += claim(content, Claim.WANTED)
            Trial(content, now)
        }
        trial.items += item
    }

    /** Takes an item out, because it was cancelled or its deadline has passed. */
    fun remove(item: Item, out: MutableList<RoutingAction>) {
        val trial = byContent[item.work.contentDigest] ?: return
        trial.items -= item
        if (trial.running === item) trial.running = null
        if (trial.items.isEmpty() && trial.running == null) end(trial, out)
    }

    /** Ends the trial of [content] and returns the items that waited for its outcome. */
    fun decided(content: String, out: MutableList<RoutingAction>): List<Item> {
        val trial = byContent[content] ?: return emptyList()
        end(trial, out)
        return trial.items.toList()
    }

    /** The attempt of [item] ended without a verdict; the trial goes on at another endpoint. */
    fun again(item: Item, now: Duration, out: MutableList<RoutingAction>) {
        val trial = byContent[item.work.contentDigest]
        if (trial == null) {
            add(item, now, out)
            return
        }
        trial.running = null
        trial.items.addFirst(item)
        release(trial, out)
    }

    /** Another router claims the attempt that this one makes; it may have missed the claim. */
    fun answerClaim(content: String): RoutingAction? =
        byContent[content]?.running?.let { claim(content, Claim.RUNNING) }

    fun expired(now: Duration): List<Item> =
        byContent.values.flatMap { trial -> trial.items.filter { it.deadline <= now } }

    /** Returns the trials that start now; each has its endpoint to itself. */
    fun tick(now: Duration, out: MutableList<RoutingAction>): List<Trial> {
        val starting = ArrayList<Trial>()
        for (trial in byContent.values) {
            renew(trial, now, out)
            if (trial.running != null || trial.items.isEmpty()) continue
            if (suspects.yields(trial.content, running = false, now)) {
                release(trial, out)
                trial.claimed = now
                continue
            }
            if (now - trial.claimed < settings.suspectDelay) continue
            val endpoint = endpointFor(trial, now, out) ?: continue
            if (!isFree(trial, endpoint, now)) continue
            val item = trial.items.first()
            if (!endpoint.hasRoom(item, now)) {
                loans.borrow(endpoint, item, now, out)
                continue
            }
            trial.items.removeFirst()
            trial.running = item
            out += claim(trial.content, Claim.RUNNING)
            starting += trial
        }
        idle.keys.toList().forEach { release(it, out) }
        return starting
    }

    private fun endpointFor(
        trial: Trial,
        now: Duration,
        out: MutableList<RoutingAction>
    ): EndpointState? {
        val current = trial.endpoint
        if (current != null) {
            if (current.acceptsSuspect(now)) return current
            release(trial, out)
        }
        val item = trial.items.first()
        val spare = idle.keys.find {
            it.config.route == item.work.route && it.serves(item.work.version) &&
                it.acceptsSuspect(now)
        }
        if (spare != null) {
            trial.endpoint = spare
            trial.isolatedSince = idle.remove(spare)!!
            return spare
        }
        val all = endpoints.ofRoute(item.work.route).filter { it.serves(item.work.version) }
        val busy = all.count { state ->
            state.isolated || state.isolatedBy.values.any { it > now }
        }
        if (busy >= maxOf(1, (all.size * settings.isolationShare).toInt())) return null
        val choice = all
            .filter { it.acceptsSuspect(now) && it.accepts(now) && it.reservedFor == null }
            .minWithOrNull(compareBy({ it.config.id in item.tried }, { it.load(now) }))
        choice?.let {
            trial.endpoint = it
            trial.isolatedSince = now
            it.isolated = true
            out += RoutingAction.SendToPeers(RoutingMessage.Isolate(it.config.id, active = true))
        }
        return choice
    }

    /** Whether nothing else runs there, as far as own counts and load reports can tell. */
    private fun isFree(trial: Trial, endpoint: EndpointState, now: Duration): Boolean {
        if (endpoint.running > 0) return false
        val waited = now - trial.isolatedSince
        val seen = endpoint.reportAt > trial.isolatedSince && endpoint.others(now) == 0L
        return seen || waited >= settings.isolationWait
    }

    private fun renew(trial: Trial, now: Duration, out: MutableList<RoutingAction>) {
        if (now - trial.renewed < settings.repeatInterval) return
        trial.renewed = now
        val claim = if (trial.running != null) Claim.RUNNING else Claim.WANTED
        out += claim(trial.content, claim)
        trial.endpoint?.let {
            out += RoutingAction.SendToPeers(RoutingMessage.Isolate(it.config.id, active = true))
        }
    }

    private fun release(trial: Trial, out: MutableList<RoutingAction>) {
        trial.endpoint?.let { release(it, out) }
        trial.endpoint = null
    }

    private fun release(endpoint: EndpointState, out: MutableList<RoutingAction>) {
        idle -= endpoint
        endpoint.isolated = false
        val message = RoutingMessage.Isolate(endpoint.config.id, active = false)
        out += RoutingAction.SendToPeers(message)
    }

    /** The endpoint stays isolated until the next tick, so that the next trial needn't wait. */
    private fun end(trial: Trial, out: MutableList<RoutingAction>) {
        trial.endpoint?.let { idle[it] = trial.isolatedSince }
        trial.endpoint = null
        byContent -= trial.content
        out += claim(trial.content, Claim.ENDED)
    }

    private fun claim(content: String, claim: Claim): RoutingAction =
        RoutingAction.SendToPeers(RoutingMessage.ClaimAttempt(content, claim))
}

/** The error for a request whose attempts are used up, by what is known about its execution. */
internal fun failureOf(item: Item, outcome: AttemptOutcome): ErrorKind = when {
    !item.sent -> ErrorKind.NO_ENDPOINT
    !item.work.idempotent -> ErrorKind.OUTCOME_UNKNOWN
    item.answerTokens > 0 -> ErrorKind.ANSWER_INTERRUPTED
    outcome == AttemptOutcome.Unreachable -> ErrorKind.ENDPOINT_TIMEOUT
    else -> ErrorKind.ENDPOINT_FAILED
}
