package org.hemlockpond.core.membership

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RouterId

class MembershipTest {
    private val self = member("b", "10.0.0.2:1")
    private val membership = Membership(self)

    private fun member(id: String, address: String) =
        Member(RouterId(id), FailureDomain("d1"), address)

    private fun at(elapsed: Duration) = Now(elapsed, Instant.fromEpochSeconds(0) + elapsed)

    private fun heartbeat(member: Member, elapsed: Duration, revision: Long = 0) =
        membership.handle(
            MembershipEvent.Heartbeat(member, emptyList(), revision),
            at(elapsed)
        )

    /** Guards against closing the slices of a router that is only paused or partitioned. */
    @Test
    fun silenceMakesRouterUnreachableButNotDead() {
        heartbeat(member("a", "10.0.0.1:1"), 0.seconds)
        val actions = membership.handle(MembershipEvent.Tick, at(3600.seconds))
        assertTrue(actions.none { it is MembershipAction.RouterDied })
        assertFalse(membership.members.single().reachable)
    }

    /** Guards against tokens that stay granted to a killed process whose port is closed. */
    @Test
    fun refusedConnectionProvesDeathOnce() {
        val peer = member("a", "10.0.0.1:1")
        heartbeat(peer, 0.seconds)
        val refused = MembershipEvent.ConnectionRefused(peer.address)
        val actions = membership.handle(refused, at(1.seconds))
        val died = MembershipAction.RouterDied(peer.router, DeathProof.CONNECTION_REFUSED)
        assertEquals(listOf(died), actions.filterIsInstance<MembershipAction.RouterDied>())
        assertTrue(membership.handle(refused, at(1.seconds)).none { it == died })
        heartbeat(peer, 2.seconds)
        assertEquals(emptyList(), membership.members)
    }

    /** Guards against declaring a router dead that has never sent a heartbeat. */
    @Test
    fun refusedConnectionOfUnknownRouterProvesNothing() {
        val actions =
            membership.handle(MembershipEvent.ConnectionRefused("10.0.0.9:1"), at(0.seconds))
        assertTrue(actions.none { it is MembershipAction.RouterDied })
    }

    /** Guards against tokens that stay granted to the old incarnation of a restarted router. */
    @Test
    fun newIncarnationThatAnswersAtAddressProvesOldOneDead() {
        heartbeat(member("a/1", "10.0.0.1:1"), 0.seconds)
        val answered = MembershipEvent.AddressAuthenticated("10.0.0.1:1", RouterId("a/2"))
        val actions = membership.handle(answered, at(1.seconds))
        val died =
            MembershipAction.RouterDied(RouterId("a/1"), DeathProof.NEW_INCARNATION)
        assertTrue(died in actions)
    }

    /** Guards against two hosts with the same configured address that declare each other dead. */
    @Test
    fun claimOfAnotherRoutersAddressProvesNothing() {
        heartbeat(member("a/1", "10.0.0.1:1"), 0.seconds)
        val actions = heartbeat(member("c/1", "10.0.0.1:1"), 1.seconds)
        assertTrue(actions.none { it is MembershipAction.RouterDied })
    }

    /** Guards against two routers of one failure domain that both watch the store. */
    @Test
    fun lowestReachableRouterOfTheDomainWatchesTheStore() {
        heartbeat(member("a", "10.0.0.1:1"), 3.seconds)
        val alone = membership.handle(MembershipEvent.Tick, at(6.seconds))
        assertTrue(MembershipAction.WatchStore(true) in alone)
        val joined = heartbeat(member("a", "10.0.0.1:1"), 7.seconds)
        assertTrue(MembershipAction.WatchStore(false) in joined)
    }

    /** Guards against a router that starts during a store outage and stays unconfigured. */
    @Test
    fun newerConfigurationOfPeerIsPulled() {
        membership.configRevision = 4
        val peer = member("a", "10.0.0.1:1")
        assertTrue(
            heartbeat(peer, 0.seconds, revision = 4).none {
                it is MembershipAction.PullConfig
            }
        )
        assertTrue(
            MembershipAction.PullConfig(peer.router) in heartbeat(peer, 1.seconds, revision = 9)
        )
    }
}
