/*
 * The actions that the reservations of tokens at homes request.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RequestId

/** An action that [TokenBroker] requests. */
sealed interface TokenAction {
    /**
     * The tokens of [request] are reserved until it is settled.
     *
     * @property remoteHome the host that reserved them after the request's own domain had refused it; null
     *   if the own domain reserved them
     */
    data class Reserved(val request: RequestId, val remoteHome: HostName? = null) : TokenAction

    /**
     * [request] gets no tokens and must not run.
     *
     * @property home the host that refused them; null if this one did
     * @property ask the number under which [home] was asked
     */
    data class Refused(
        val request: RequestId,
        val kind: ErrorKind,
        val home: HostName? = null,
        val ask: Long? = null
    ) : TokenAction

    /** Send [message] to [to]; it may get lost. */
    data class Send(val to: HostName, val message: TokenMessage) : TokenAction

    /**
     * Reserve tokens in this host's slice; [key] names the reservation there.
     *
     * @property sliceOnly whether only the present slice is used, without a call to the store for more
     */
    data class ReserveLocally(
        val key: RequestId,
        val customer: CustomerId,
        val tokens: Long,
        val sliceOnly: Boolean = false
    ) : TokenAction

    /** Settle the reservation [key] in this host's slice. */
    data class SettleLocally(val key: RequestId, val used: Long) : TokenAction

    /** [host] of another failure domain didn't answer; its [domain] isn't asked for [pause]. */
    data class DomainPassedOver(
        val domain: FailureDomain,
        val host: HostName,
        val pause: Duration
    ) : TokenAction
}
