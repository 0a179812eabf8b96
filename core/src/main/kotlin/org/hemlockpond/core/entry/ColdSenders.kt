/*
 * Chooses which hosts may send to a cold endpoint: in each sending failure domain one host, by rendezvous
 * hashing. Hosts that know the same hosts choose the same one without messages. Silent hosts aren't
 * passed over: two sides of a partition would each choose a host of their own.
 */
package org.hemlockpond.core.entry

import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.routing.mix

/** How far a host has found the other hosts of its failure domain. */
enum class HostDiscovery {
    /** The host hasn't read their entries, or can't find them in this deployment. */
    UNKNOWN,

    /** The host has read the entries; hosts that started at the same time may be missing. */
    FOUND,

    /** Hosts that started at the same time have announced themselves as well. */
    SETTLED
}

/** What a host knows of the hosts of its failure domain. */
interface KnownHosts {
    val self: HostName

    /** The other hosts of the failure domain; hosts are added and never removed. */
    val others: Set<HostName>

    /** How far the hosts are known at present. */
    val discovery: HostDiscovery
}

/** The hosts of a deployment without messages between hosts. */
internal object NoKnownHosts : KnownHosts {
    override val self = HostName("")
    override val others: Set<HostName> = emptySet()
    override val discovery = HostDiscovery.UNKNOWN
}

/** @param domains the failure domains of the fleet; without any, [domain] is the only one */
internal class ColdSenders(
    private val domain: FailureDomain,
    domains: Set<FailureDomain>,
    private val hosts: KnownHosts
) {
    private val domains = domains.ifEmpty { setOf(domain) }

    val domainCount: Int = this.domains.size

    /** Whether this host is the sender of its failure domain, of which [sendingDomains] send. */
    fun isSender(endpoint: EndpointId, sendingDomains: Int): Boolean {
        val key = mix(SENDER_KEY xor mix(endpoint.value.hashCode().toLong()))
        if (domain !in domains) return false
        val own = weight(key, domain.value)
        if (domains.count { weight(key, it.value) > own } >= sendingDomains) return false
        val self = weight(key, hosts.self.value)
        return hosts.others.none { weight(key, it.value) > self }
    }

    private fun weight(key: Long, name: String) = mix(key xor mix(name.hashCode().toLong()))

    private companion object {
        /** Separates this order from those of token homes and store readers. */
        const val SENDER_KEY = 0x636f6c64L
    }
}
