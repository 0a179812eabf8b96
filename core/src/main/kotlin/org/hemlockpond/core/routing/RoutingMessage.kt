/*
 * What the dispatchers of different routers tell each other. All counts are cumulative for the pair
 * of incarnations and each message may be lost, repeated or reordered.
 */
package org.hemlockpond.core.routing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.EndpointId

/** What is known about content that was in flight when an endpoint crashed. */
@Serializable
enum class Verdict {
    /** One endpoint crashed while it ran the content. */
    SUSPECT,

    /** The content ran alone to its end. */
    CLEARED,

    /** Two endpoints crashed, so the content isn't run again. */
    REFUSED
}

/** How far a router is with the one further attempt that suspect content gets. */
@Serializable
enum class Claim { WANTED, RUNNING, ENDED }

/** A message between the dispatchers of two routers. */
@Serializable
sealed interface RoutingMessage {
    /** Asks for [tokens] of an endpoint's memory that the receiver doesn't use. */
    @Serializable
    @SerialName("borrow")
    data class BorrowRequest(val endpoint: EndpointId, val tokens: Long) : RoutingMessage

    /** The sender has lent the receiver [total] tokens of an endpoint's memory so far. */
    @Serializable
    @SerialName("loan")
    data class Loan(val endpoint: EndpointId, val total: Long) : RoutingMessage

    /** The sender has given [total] borrowed tokens back to the receiver so far. */
    @Serializable
    @SerialName("return")
    data class LoanReturn(val endpoint: EndpointId, val total: Long) : RoutingMessage

    /**
     * A verdict about content.
     *
     * @property crashes the crashes that the sender itself observed while it ran the content
     */
    @Serializable
    @SerialName("suspect")
    data class Suspect(val contentDigest: String, val verdict: Verdict, val crashes: Int) :
        RoutingMessage

    /** The sender claims the one further attempt for suspect content. */
    @Serializable
    @SerialName("claim")
    data class ClaimAttempt(val contentDigest: String, val claim: Claim) : RoutingMessage

    /** The sender runs suspect content at this endpoint, or has ended that. */
    @Serializable
    @SerialName("isolate")
    data class Isolate(val endpoint: EndpointId, val active: Boolean) : RoutingMessage

    /** A source told the sender that an endpoint is leaving, or withdrew that. */
    @Serializable
    @SerialName("leaving")
    data class Leaving(val endpoint: EndpointId, val source: LeavingSource, val leaving: Boolean) :
        RoutingMessage

    /** The sender's use of contract limits; handled by [ContractLimits]. */
    @Serializable
    @SerialName("usage")
    data class LimitUsage(val customers: Map<CustomerId, CustomerUsage>) : RoutingMessage
}

/** Requests of one customer that a router has admitted so far, and those that run now. */
@Serializable
data class CustomerUsage(val admitted: Long, val running: Int)
