package org.hemlockpond.core.membership

import kotlinx.serialization.Serializable
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouterId

/**
 * One incarnation of a router.
 *
 * @property address the peer address, as `host:port`; the process holds the port until it exits
 */
@Serializable
data class Member(val router: RouterId, val domain: FailureDomain, val address: String)

/** Why a router is known to have ended. */
enum class DeathProof {
    /** A connection was refused at the address where the router had been authenticated. */
    CONNECTION_REFUSED,

    /** Another incarnation was authenticated at the same address. */
    NEW_INCARNATION,

    /** Its lease in the store expired. */
    LEASE_EXPIRED,

    /** An operator declared the host gone. */
    DECLARED_GONE,

    /** The router itself announced its exit after it returned its slices. */
    LEFT
}
