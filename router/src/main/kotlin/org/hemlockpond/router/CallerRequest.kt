/*
 * A request after it was parsed and its caller authenticated, as it passes from the traffic thread
 * to the control thread.
 */
package org.hemlockpond.router

import kotlinx.serialization.json.JsonObject
import org.hemlockpond.core.CallConfig
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteId

/** What is sent to an endpoint. */
internal sealed interface UpstreamCall {
    /** A chat completion; [body] is the caller's JSON, [maxAnswerTokens] the limit to set. */
    data class Chat(val body: JsonObject, val maxAnswerTokens: Long) : UpstreamCall

    /** A call of a plain service; [path] is below the service's root. */
    data class Service(
        val call: CallConfig,
        val path: String,
        val contentType: String?,
        val body: ByteArray
    ) : UpstreamCall
}

/**
 * One request of a caller.
 *
 * @property promptTokens an upper estimate of the prompt's tokens
 * @property resumeFrom answer tokens that the caller already has
 * @property stream whether the caller reads server-sent events
 */
internal class CallerRequest(
    val request: RequestId,
    val customer: CustomerId,
    val route: RouteId,
    val requestClass: String,
    val promptTokens: Long,
    val maxAnswerTokens: Long,
    val prefixDigest: String?,
    val contentDigest: String,
    val idempotent: Boolean,
    val resumeFrom: Long,
    val stream: Boolean,
    val upstream: UpstreamCall
) {
    /** The most tokens that the request can be billed. */
    val reserved: Long get() = promptTokens + maxAnswerTokens
}
