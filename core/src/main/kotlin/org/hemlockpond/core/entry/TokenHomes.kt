/*
 * Chooses the home of each customer's tokens among the hosts of one failure domain. All hosts choose
 * the same one by rendezvous hashing, as long as they know the same hosts. A host that doesn't answer
 * is passed over for a time that doubles with each further silence: it may be stopped for good.
 *
 * The customers are divided into a few groups, and each group has one home. One transaction of a home
 * then carries the slices of many customers, and only the homes write spend marks, so the store's
 * calls don't grow with the number of hosts.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.routing.mix

internal class TokenHomes(private val self: HostName, private val settings: TokenBrokerSettings) {
    private class Peer(val name: HostName) {
        val hash = mix(name.value.hashCode().toLong())
        var silences = 0
        var passedOverUntil = -Duration.INFINITE
    }

    private val own = Peer(self)
    private val peers = LinkedHashMap<HostName, Peer>()

    val hosts: Set<HostName> get() = peers.keys

    /** Adds [host] if it is new; returns whether it is. */
    fun add(host: HostName): Boolean {
        if (host == self || host in peers) return false
        peers[host] = Peer(host)
        return true
    }

    /** [host] has answered or sent something. */
    fun heard(host: HostName) {
        val peer = peers[host] ?: return
        peer.silences = 0
        peer.passedOverUntil = -Duration.INFINITE
    }

    /** [host] hasn't answered; it is passed over for a while. */
    fun silent(host: HostName, now: Duration) {
        val peer = peers[host] ?: return
        val factor = 1 shl peer.silences.coerceAtMost(MAX_DOUBLINGS)
        peer.silences++
        peer.passedOverUntil =
            now + minOf(settings.silencePause * factor, settings.maxSilencePause)
    }

    /** The hosts to ask for tokens of [customer], the home first; this host is among them. */
    fun order(customer: CustomerId, now: Duration): List<HostName> {
        val key = homeKey(customer, settings.homeGroups)
        return (peers.values.filter { now >= it.passedOverUntil } + own)
            .sortedByDescending { mix(key xor it.hash) }
            .map { it.name }
    }

    /** Whether this host is the home of [customer]'s tokens, as far as it knows. */
    fun isHome(customer: CustomerId, now: Duration): Boolean = order(customer, now).first() == self

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}

/** The key by which the hosts of a domain are ranked as homes of [customer]. */
internal fun homeKey(customer: CustomerId, homeGroups: Int): Long {
    val group = Math.floorMod(mix(customer.value.hashCode().toLong()), homeGroups)
    return mix(group.toLong())
}
