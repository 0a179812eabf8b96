/*
 * A caller's request without headers and body, as the dispatcher uses it.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RequestId

/** A part of a prompt that requests can share; engines cache parts as prefixes, in order. */
data class PromptPart(val id: String, val tokens: Int)

/**
 * The prompt of a model request.
 *
 * @property tokens the number of tokens of the whole prompt
 * @property maxAnswerTokens the maximum number of tokens of the answer
 * @property parts the parts in order; the last one is specific to the request or its session
 */
data class Prompt(val tokens: Long, val maxAnswerTokens: Long, val parts: List<PromptPart>)

/**
 * One attempt of a caller.
 *
 * @property rank the priority; 0 is the highest
 * @property arrival when the request head was read, on the monotonic clock
 * @property deadline when the caller or the route stops waiting for the answer
 * @property contentDigest a digest of the caller, path and body
 */
class EntryRequest(
    val id: RequestId,
    val route: EntryRoute,
    val service: ServiceId,
    val customer: CustomerId?,
    val rank: Int,
    val prompt: Prompt?,
    val arrival: Duration,
    val deadline: Duration,
    val contentDigest: Long
) {
    /** The time until which an answer is on time. */
    val goalDeadline: Duration get() = arrival + route.goal

    /** What may crash an endpoint that runs the request. */
    val suspects: List<Suspect> by lazy(LazyThreadSafetyMode.NONE) {
        prompt?.parts.orEmpty().dropLast(1).map { Suspect.Part(it.id) } +
            Suspect.Content(contentDigest)
    }

    /** The maximum number of tokens that the request may cost its customer. */
    val maxTokens: Long get() = prompt?.let { it.tokens + it.maxAnswerTokens } ?: 0
}
