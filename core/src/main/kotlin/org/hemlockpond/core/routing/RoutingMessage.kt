/*
 * The messages between the dispatchers of different routers. Counts are cumulative for a pair of
 * router incarnations, because messages may be lost, repeated or reordered.
 */
package org.hemlockpond.core.routing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.EndpointId

/** The verdict about content that was running when an endpoint crashed. */
@Serializable
enum class Verdict {
    /** One endpoint crashed while it ran the content. */
    SUSPECT,

    /** The content completed on an isolated endpoint. */
    CLEARED,

    /** Two endpoints crashed, so the content isn't run again. */
    REFUSED
}

/** The state of a router's claim to the single isolated retry of suspect content. */
@Serializable
enum class Claim { WANTED, RUNNING, ENDED }

/** A message between the dispatchers of two routers. */
@Serializable
sealed interface RoutingMessage {
    /** Asks to borrow up to [tokens] of an endpoint's memory that the receiver doesn't use. */
    @Serializable
    @SerialName("borrow")
    data class BorrowRequest(val endpoint: EndpointId, val tokens: Long) : RoutingMessage

    /** The sender has lent the receiver [total] tokens of an endpoint's memory so far. */
    @Serializable
    @SerialName("loan")
    data class Loan(val endpoint: EndpointId, val total: Long) : RoutingMessage

    /** The sender has returned [total] borrowed tokens to the receiver so far. */
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

    /** The sender claims the single isolated retry of suspect content, or ends its claim. */
    @Serializable
    @SerialName("claim")
    data class ClaimAttempt(val contentDigest: String, val claim: Claim) : RoutingMessage

    /** The sender isolates an endpoint for suspect content, or ends the isolation. */
    @Serializable
    @SerialName("isolate")
    data class Isolate(val endpoint: EndpointId, val active: Boolean) : RoutingMessage

    /** A source reported to the sender that an endpoint is leaving, or withdrew its report. */
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
