/*
 * Finds hosts of other failure domains that may reserve tokens for a request which the own domain refused.
 * It serves budgets that are nearly used up, or whose homes have lost the store: the tokens that are left lie
 * in a few slices, of which those of the own domain cover few requests.
 *
 * Hosts that are known to hold a slice come first, then the home in each domain, by the same rendezvous
 * hashing that the domain uses itself. A domain whose host doesn't answer is passed over as a whole, for a
 * time that doubles with each further silence: in a partition none of its hosts answers.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.DurationUnit
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.routing.mix

/** The number of reservations that were asked of other domains since the start, and their answers. */
class RemoteCounts {
    var asked = 0L
        internal set
    var reserved = 0L
        internal set
    var refused = 0L
        internal set
    var silent = 0L
        internal set
}

/**
 * The search for the tokens of one request.
 *
 * @property refusal the answer of the own domain, which holds if no other host reserves the tokens
 * @property until when the search ends
 */
internal class RemoteSearch(
    val refusal: TokenAction.Refused,
    candidates: List<HostName>,
    val until: Duration
) {
    private val remaining = ArrayDeque(candidates)

    /** The next host to ask; null if there is none or the time is over. */
    fun next(now: Duration): HostName? = if (now < until) remaining.removeFirstOrNull() else null
}

internal class RemoteHomes(private val settings: TokenBrokerSettings) {
    private class Host(val name: HostName, val domain: Domain) {
        val hash = mix(name.value.hashCode().toLong())
        var silences = 0
        var passedOverUntil = -Duration.INFINITE
    }

    private class Domain(val name: FailureDomain) {
        val hosts = LinkedHashMap<HostName, Host>()
        var silences = 0
        var passedOverUntil = -Duration.INFINITE
    }

    private data class RefusalKey(val host: HostName, val customer: CustomerId)

    private class Refusal(val tokens: Long, val until: Duration)

    private val domains = LinkedHashMap<FailureDomain, Domain>()
    private val hosts = HashMap<HostName, Host>()
    private val refusals = HashMap<RefusalKey, Refusal>()

    /** The reservations that may be asked for now; refilled with time. */
    private var allowance = settings.remoteAsksPerSecond.toDouble()
    private var refilledAt = -Duration.INFINITE

    operator fun contains(host: HostName): Boolean = host in hosts

    /** Adds [host] of [domain] if it is new; returns whether it is. */
    fun add(host: HostName, domain: FailureDomain): Boolean {
        val known = hosts[host]
        if (known?.domain?.name == domain) return false
        known?.domain?.hosts?.remove(host)
        val of = domains.getOrPut(domain) { Domain(domain) }
        val added = Host(host, of)
        of.hosts[host] = added
        hosts[host] = added
        return true
    }

    /** [host] has answered or sent something, so its domain can be reached. */
    fun heard(host: HostName) {
        val known = hosts[host] ?: return
        known.silences = 0
        known.passedOverUntil = -Duration.INFINITE
        known.domain.silences = 0
        known.domain.passedOverUntil = -Duration.INFINITE
    }

    /** [host] stops; it is passed over for a while, its domain isn't. */
    fun stopping(host: HostName, now: Duration) {
        hosts[host]?.passedOverUntil = now + settings.maxSilencePause
    }

    /**
     * [host] hasn't answered. Its domain is passed over for a while, and the host itself for twice as long,
     * so that another host of the domain is asked first.
     */
    fun silent(host: HostName, now: Duration): TokenAction.DomainPassedOver? {
        val known = hosts[host] ?: return null
        val domain = known.domain
        // Requests that were sent together count as one silence.
        if (now < known.passedOverUntil) return null
        known.passedOverUntil = now + pause(known.silences++) * 2
        if (now < domain.passedOverUntil) return null
        val pause = pause(domain.silences++)
        domain.passedOverUntil = now + pause
        return TokenAction.DomainPassedOver(domain.name, host, pause)
    }

    private fun pause(silences: Int): Duration {
        val factor = 1 shl silences.coerceAtMost(MAX_DOUBLINGS)
        return minOf(settings.silencePause * factor, settings.maxSilencePause)
    }

    /** [host] lacks [tokens] of [customer]. */
    fun refused(host: HostName, customer: CustomerId, tokens: Long, now: Duration) {
        val until = now + settings.remoteRefusalTtl
        refusals[RefusalKey(host, customer)] = Refusal(tokens, until)
    }

    /**
     * The hosts to ask for [tokens] of [customer]: those of [holders] first, then the home in each other
     * domain.
     */
    fun order(
        customer: CustomerId,
        tokens: Long,
        holders: List<HostName>,
        now: Duration
    ): List<HostName> {
        val usableHolders = holders.filter { name ->
            hosts[name]?.let { isUsable(it, now) } ?: true
        }
        val homeKey = homeKey(customer, settings.homeGroups)
        val homes = domains.values.mapNotNull { domain ->
            domain.hosts.values.filter {
                isUsable(it, now)
            }.maxByOrNull { mix(homeKey xor it.hash) }
        }
        // Customers begin at different domains, so that one domain isn't asked first by all.
        val spread = homes.sortedByDescending {
            mix(homeKey xor it.domain.name.value.hashCode().toLong())
        }
        return (usableHolders + spread.map { it.name }).distinct()
            .filterNot { hasRefused(it, customer, tokens, now) }
            .take(settings.remoteHomesAsked)
    }

    private fun isUsable(host: Host, now: Duration) =
        now >= host.passedOverUntil && now >= host.domain.passedOverUntil

    private fun hasRefused(host: HostName, customer: CustomerId, tokens: Long, now: Duration) =
        refusals[RefusalKey(host, customer)]?.let { now < it.until && tokens >= it.tokens } ?: false

    /** Whether one more reservation may be asked for; counts it. */
    fun mayAsk(now: Duration): Boolean {
        val limit = settings.remoteAsksPerSecond.toDouble()
        if (!refilledAt.isInfinite()) {
            val elapsed = (now - refilledAt).toDouble(DurationUnit.SECONDS)
            allowance = minOf(limit, allowance + limit * elapsed)
        }
        refilledAt = now
        if (allowance < 1) return false
        allowance--
        return true
    }

    /** Removes refusals that no longer hold. */
    fun tick(now: Duration) {
        if (refusals.isNotEmpty()) refusals.values.removeIf { it.until <= now }
    }

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
