/*
 * A request as submitted to the dispatcher, and the outcome of an attempt to run it.
 */
package org.hemlockpond.core.routing

import kotlinx.serialization.Serializable
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.VersionId

/**
 * A request to be routed to an endpoint.
 *
 * @property version the version that must serve the request; null if any version may
 * @property requestClass the name of a declared class; for an unknown name the class follows from
 *   the prompt size
 * @property promptTokens estimated tokens of the prompt
 * @property maxAnswerTokens maximum number of answer tokens
 * @property prefixDigest digest of the prompt prefix shared with other requests; null if none
 * @property contentDigest digest of the whole content; equal content has equal digests, whatever
 *   its key
 * @property idempotent whether the request may reach an endpoint more than once
 * @property priority requests with a higher value are served earlier within their class
 */
data class RoutingRequest(
    val id: RequestId,
    val customer: CustomerId,
    val route: RouteId,
    val version: VersionId? = null,
    val requestClass: String = "",
    val promptTokens: Long = 0,
    val maxAnswerTokens: Long = 0,
    val prefixDigest: String? = null,
    val contentDigest: String,
    val idempotent: Boolean = true,
    val priority: Int = 0
)

/** Identifies an attempt to run a request. Unique within one router incarnation. */
@Serializable
@JvmInline
value class AttemptId(val value: Long) {
    override fun toString(): String = value.toString()
}

/** The outcome of an attempt, as observed on the connection to the endpoint. */
sealed interface AttemptOutcome {
    /** The complete answer arrived. */
    data class Answered(val answerTokens: Long = 0) : AttemptOutcome

    /** The endpoint rejected the request with a client error (4xx), which is passed on. */
    data object CallerFault : AttemptOutcome

    /** No byte of the request was sent, for example because the connection was refused. */
    data object NotSent : AttemptOutcome

    /** The endpoint declined to run the request; [leaving] is true if it is stopping. */
    data class Declined(val leaving: Boolean = false) : AttemptOutcome

    /** The endpoint answered with a server error (5xx) and continues to run. */
    data object Failed : AttemptOutcome

    /** The endpoint closed or reset the connection before the answer was complete. */
    data object Crashed : AttemptOutcome

    /** The connection timed out after the request was sent; the endpoint may still run it. */
    data object Unreachable : AttemptOutcome
}
