/*
 * Keeps the limits that endpoints in need name: the requests a second that an endpoint takes from all
 * hosts together. A host doesn't know what the others send, so each host that an endpoint has told its
 * limit claims a share in the store. The earliest claims share the limit; there are at most as many
 * shares as requests a second, since each host may be one request ahead. Hosts without a share send
 * nothing. A claim holds for a limited time, after which the other hosts divide its share.
 *
 * An endpoint that refuses a request may also name a time for which it wants none from this host.
 */
package org.hemlockpond.core.entry

import kotlin.math.ceil
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The claims of shares in the limit of one endpoint.
 *
 * @property count the number of hosts with a claim
 * @property position the number of hosts that claimed before this one; null without a claim
 */
data class LimitClaims(val count: Int, val position: Int?)

/**
 * Settings of [EndpointLimits].
 *
 * @property memory how long a limit counts after the endpoint last named it to this host
 * @property returnSpread the longest random wait of a host without a claim, from the end of the last
 *   claim until it sends a request to find out whether the limit still holds
 * @property minPerSecond the least limit that is kept, so that its end is noticed
 */
data class LimitSettings(
    val memory: Duration = 10.seconds,
    val returnSpread: Duration = 4.seconds,
    val minPerSecond: Double = 0.1
)

/** The limits of all endpoints, as far as this host knows them. */
class EndpointLimits(
    private val settings: LimitSettings = LimitSettings(),
    private val random: Random = Random.Default
) {
    private val limits = HashMap<EndpointProcess, EndpointLimit>()

    /** When this host's claims end unless they are renewed. */
    var claimsEndAt = -Duration.INFINITE

    internal fun of(process: EndpointProcess): EndpointLimit =
        limits.getOrPut(process) { EndpointLimit(settings, random) { claimsEndAt } }

    /**
     * Forgets an endpoint that is no longer listed, unless hosts claim shares in its limit or it has
     * named a time for which it wants no requests: it may be listed again.
     */
    internal fun remove(process: EndpointProcess) {
        val limit = limits[process] ?: return
        if (limit.isFree && limit.pausedUntil.isInfinite()) limits -= process
    }

    /**
     * Notes that the endpoint named a limit of [perSecond] in an answer, or none if null. A limit that
     * isn't positive counts as the least limit.
     */
    fun limitNamed(process: EndpointProcess, perSecond: Double?, now: Duration) =
        of(process).named(perSecond, now)

    fun claimsChanged(process: EndpointProcess, claims: LimitClaims, now: Duration) =
        of(process).claimsChanged(claims, now)
}

internal class EndpointLimit(
    private val settings: LimitSettings,
    private val random: Random,
    private val claimsEndAt: () -> Duration
) {
    private var perSecond: Double? = null
    private var namedAt = Duration.ZERO
    private var claims = LimitClaims(0, null)

    /** Whether it is unknown if the limit still holds; requests are then sent one at a time. */
    private var isUncertain = false
    private var returnAt = -Duration.INFINITE
    private var tokens = 0.0
    private var filledAt = Duration.ZERO

    /** The end of the time for which the endpoint wants no requests from this host. */
    var pausedUntil = -Duration.INFINITE
        private set

    /** Whether no limit is known. */
    val isFree: Boolean get() = perSecond == null && claims.count == 0 && !isUncertain

    fun named(limit: Double?, now: Duration) {
        fill(now)
        perSecond = limit?.coerceAtLeast(settings.minPerSecond)
        namedAt = now
        isUncertain = false
    }

    /** The endpoint wants no requests until [until]; an earlier end named before or later is void. */
    fun pause(until: Duration) {
        pausedUntil = maxOf(pausedUntil, until)
    }

    fun claimsChanged(next: LimitClaims, now: Duration) {
        fill(now)
        val hasEnded = claims.count > 0 && next.count == 0
        // A host that others claim a limit before must hear for itself that there is none any more.
        if (claims.count == 0 && next.count > 0) isUncertain = perSecond == null
        if (hasEnded && isUncertain) returnAt = now + settings.returnSpread * random.nextDouble()
        claims = next
    }

    /** Whether the endpoint may get a request in addition to this host's [running] ones. */
    fun mayReceive(running: Int, now: Duration): Boolean {
        forgetOldLimit(now)
        if (now < pausedUntil) return false
        if (isFree) return true
        if (perSecond == null && claims.count == 0) return running == 0 && now >= returnAt
        fill(now)
        return tokens >= 1
    }

    private fun forgetOldLimit(now: Duration) {
        if (perSecond == null || now - namedAt <= settings.memory) return
        perSecond = null
        isUncertain = true
        returnAt = now + settings.returnSpread * random.nextDouble()
    }

    fun requestSent(now: Duration) {
        if (isFree) return
        fill(now)
        tokens = (tokens - 1).coerceAtLeast(0.0)
    }

    private fun fill(now: Duration) {
        val share = share(now)
        val elapsed = (now - filledAt).toDouble(DurationUnit.SECONDS)
        tokens = (tokens + share * elapsed).coerceAtMost(maxOf(1.0, share * MAX_AHEAD_SECONDS))
        if (share == 0.0) tokens = 0.0
        filledAt = now
    }

    /** The requests a second that this host may send. */
    private fun share(now: Duration): Double {
        val limit = perSecond ?: return 0.0
        val position = claims.position ?: return 0.0
        val shares = minOf(claims.count, ceil(limit).toInt())
        if (position >= shares || now >= claimsEndAt()) return 0.0
        return limit / shares
    }

    private companion object {
        /** How much of its share a host may save up. */
        const val MAX_AHEAD_SECONDS = 0.5
    }
}
