/*
 * Tracks which routers are reachable and which are proven dead. Missing heartbeats only make a
 * router unreachable: it may be paused or partitioned and still spend the tokens of its slices. The
 * proofs of death are listed in DeathProof.
 */
package org.hemlockpond.core.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.Now
import org.hemlockpond.core.RouterId

/** An input of [Membership.handle]. */
sealed interface MembershipEvent {
    /**
     * An authenticated heartbeat of [member].
     *
     * @property known the members that the sender knows; their addresses are connected to
     */
    data class Heartbeat(val member: Member, val known: List<Member>, val configRevision: Long) :
        MembershipEvent

    /**
     * The process at [address] proved in the handshake that it is [router]. The address that a
     * router reports for itself proves nothing: two hosts may be configured with the same address.
     */
    data class AddressAuthenticated(val address: String, val router: RouterId) : MembershipEvent

    /** A connection to [address] was refused by its host. */
    data class ConnectionRefused(val address: String) : MembershipEvent

    /** A proof of death from the store's lease, an operator or the router itself. */
    data class ProvenDead(val router: RouterId, val proof: DeathProof) : MembershipEvent

    /** Time has passed; expected about twice per heartbeat interval. */
    data object Tick : MembershipEvent
}

/** An output of [Membership.handle]. */
sealed interface MembershipAction {
    /** Open a connection to [address] and keep it open. */
    data class Connect(val address: String) : MembershipAction

    /** Send heartbeats to all peers. */
    data object SendHeartbeats : MembershipAction

    /** The members or their reachability changed. */
    data class MembersChanged(val members: List<MemberView>) : MembershipAction

    /** [router] never spends or dispatches again. */
    data class RouterDied(val router: RouterId, val proof: DeathProof) : MembershipAction

    /** [from] has a newer configuration. */
    data class PullConfig(val from: RouterId) : MembershipAction

    /** Start or stop watching the store on behalf of this router's failure domain. */
    data class WatchStore(val watch: Boolean) : MembershipAction
}

/** A peer that isn't proven dead. */
data class MemberView(val member: Member, val reachable: Boolean)

/**
 * Timing of [Membership].
 *
 * @property heartbeatInterval time between two heartbeats
 * @property unreachableAfter time without heartbeats after which a router counts as unreachable
 * @property pullTimeout how long to wait for the answer to a configuration pull
 */
data class MembershipSettings(
    val heartbeatInterval: Duration = 500.milliseconds,
    val unreachableAfter: Duration = 2.seconds,
    val pullTimeout: Duration = 1.seconds
)

/** The peers of the router [self]. */
class Membership(
    private val self: Member,
    private val settings: MembershipSettings = MembershipSettings()
) {
    private class Peer(val member: Member, var lastHeartbeatAt: Duration?) {
        var reachable = false
    }

    private val peers = LinkedHashMap<RouterId, Peer>()
    private val dead = LinkedHashMap<RouterId, DeathProof>()
    private val connectedAddresses = LinkedHashSet<String>()
    private var lastHeartbeatSentAt: Duration? = null
    private var lastPullSentAt: Duration? = null
    private var isWatching: Boolean? = null

    /** Revision of the configuration in force; the router updates it after each change. */
    var configRevision: Long = 0

    /** The peers that aren't proven dead. */
    val members: List<MemberView> get() = peers.values.map { MemberView(it.member, it.reachable) }

    fun handle(event: MembershipEvent, now: Now): List<MembershipAction> = buildList {
        when (event) {
            is MembershipEvent.Heartbeat -> onHeartbeat(event, now)
            is MembershipEvent.AddressAuthenticated -> onAddressAuthenticated(event)
            is MembershipEvent.ConnectionRefused -> onRefused(event.address)
            is MembershipEvent.ProvenDead -> markDead(event.router, event.proof)
            MembershipEvent.Tick -> onTick(now)
        }
        updateReachability(now)
    }

    /** Whether [router] is proven dead; late messages from it are ignored. */
    fun isDead(router: RouterId): Boolean = router in dead

    private fun MutableList<MembershipAction>.onHeartbeat(
        event: MembershipEvent.Heartbeat,
        now: Now
    ) {
        val member = event.member
        if (member.router == self.router || member.router in dead) return
        val peer = peers[member.router] ?: addPeer(member)
        peer.lastHeartbeatAt = now.elapsed
        event.known.forEach { connectTo(it) }
        val pulled = lastPullSentAt
        val due = pulled == null || now.elapsed - pulled >= settings.pullTimeout
        if (event.configRevision > configRevision && due) {
            lastPullSentAt = now.elapsed
            add(MembershipAction.PullConfig(member.router))
        }
    }

    private fun MutableList<MembershipAction>.onAddressAuthenticated(
        event: MembershipEvent.AddressAuthenticated
    ) {
        peers.values.filter { it.member.address == event.address }
            .filter { it.member.router != event.router }
            .forEach { markDead(it.member.router, DeathProof.NEW_INCARNATION) }
    }

    /** Adds the sender of an authenticated heartbeat, the only way to become a member. */
    private fun MutableList<MembershipAction>.addPeer(member: Member): Peer {
        connect(member.address)
        return Peer(member, lastHeartbeatAt = null).also { peers[member.router] = it }
    }

    /** Connects to a router that a peer reported; adds no member, as the report may be stale. */
    private fun MutableList<MembershipAction>.connectTo(member: Member) {
        if (member.router != self.router && member.router !in dead) connect(member.address)
    }

    private fun MutableList<MembershipAction>.connect(address: String) {
        if (address != self.address && connectedAddresses.add(address)) {
            add(MembershipAction.Connect(address))
        }
    }

    private fun MutableList<MembershipAction>.onRefused(address: String) {
        peers.values.filter { it.member.address == address }
            .forEach { markDead(it.member.router, DeathProof.CONNECTION_REFUSED) }
    }

    private fun MutableList<MembershipAction>.markDead(router: RouterId, proof: DeathProof) {
        if (router == self.router || router in dead) return
        dead[router] = proof
        if (dead.size > MAX_DEAD) dead.remove(dead.keys.first())
        val known = peers.remove(router) != null
        add(MembershipAction.RouterDied(router, proof))
        if (known) add(MembershipAction.MembersChanged(members))
    }

    private fun MutableList<MembershipAction>.onTick(now: Now) {
        val last = lastHeartbeatSentAt
        if (last == null || now.elapsed - last >= settings.heartbeatInterval) {
            lastHeartbeatSentAt = now.elapsed
            add(MembershipAction.SendHeartbeats)
        }
    }

    private fun MutableList<MembershipAction>.updateReachability(now: Now) {
        var changed = false
        for (peer in peers.values) {
            val lastHeartbeatAt = peer.lastHeartbeatAt
            val reachable =
                lastHeartbeatAt != null &&
                    now.elapsed - lastHeartbeatAt <= settings.unreachableAfter
            if (reachable != peer.reachable) {
                peer.reachable = reachable
                changed = true
            }
        }
        if (changed) add(MembershipAction.MembersChanged(members))
        val isLowest = peers.values.filter { it.reachable && it.member.domain == self.domain }
            .none { it.member.router.value < self.router.value }
        // A newly started router waits for heartbeats to avoid a second watch in its domain; a
        // router without peers watches at once.
        val settled = now.elapsed >= settings.unreachableAfter
        val watch = isLowest && (settled || peers.isEmpty())
        if (watch != isWatching) {
            isWatching = watch
            add(MembershipAction.WatchStore(watch))
        }
    }

    private companion object {
        /** Limit on remembered dead routers. Ids are never reused, so dropping one is harmless. */
        const val MAX_DEAD = 10_000
    }
}
