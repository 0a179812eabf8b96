/*
 * What the dispatcher is asked to run, and how one attempt to run it ended.
 */
package org.hemlockpond.core.routing

import kotlinx.serialization.Serializable
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.VersionId

/**
 * One request, ready to be sent to an endpoint.
 *
 * @property version the version that must serve the request; null if any version may
 * @property requestClass the name of a declared class; an unknown name is classed by prompt size
 * @property promptTokens estimated tokens of the prompt
 * @property maxAnswerTokens the most tokens that the answer may have
 * @property prefixDigest digest of the part of the prompt that other requests share; null if none
 * @property contentDigest digest of the whole content, equal for the same content under any key
 * @property idempotent whether the request may reach an endpoint more than once
 * @property priority a higher value is served earlier within its class
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

/** One attempt to run a request at one endpoint. Unique within one router incarnation. */
@Serializable
@JvmInline
value class AttemptId(val value: Long) {
    override fun toString(): String = value.toString()
}

/** How one attempt ended, as the router observed it on the connection to the endpoint. */
sealed interface AttemptOutcome {
    /** The complete answer arrived. */
    data class Answered(val answerTokens: Long = 0) : AttemptOutcome

    /** The endpoint rejected the request as the caller's fault (4xx); it is passed on. */
    data object CallerFault : AttemptOutcome

    /** No byte of the request was sent, for example because the connection was refused. */
    data object NotSent : AttemptOutcome

    /** The endpoint declined to run the request. [leaving] if it said that it is stopping. */
    data class Declined(val leaving: Boolean = false) : AttemptOutcome

    /** The endpoint answered with an error (5xx) and continues to run. */
    data object Failed : AttemptOutcome

    /** The endpoint closed or reset the connection before the end of the answer. */
    data object Crashed : AttemptOutcome

    /** The connection timed out after the request was sent; the endpoint may still run it. */
    data object Unreachable : AttemptOutcome
}
