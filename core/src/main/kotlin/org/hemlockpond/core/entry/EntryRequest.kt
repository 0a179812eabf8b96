/*
 * A caller's request as the decisions see it: no headers, no bytes.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RequestId

/** A part of a prompt that requests share; engines cache parts in order. */
data class PromptPart(val id: String, val tokens: Int)

/**
 * The prompt of a model request.
 *
 * @property tokens tokens of the whole prompt
 * @property maxAnswerTokens the most tokens of the answer
 * @property parts the parts in order; the last one belongs to the request or its session
 */
data class Prompt(val tokens: Long, val maxAnswerTokens: Long, val parts: List<PromptPart>)

/**
 * One caller attempt.
 *
 * @property rank 0 goes first
 * @property arrival when its head was read, on the monotonic clock
 * @property deadline when the caller or the route gives it up
 * @property contentDigest equal for requests with the same caller, path and body
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
    /** When an answer stops being on time. */
    val goalDeadline: Duration get() = arrival + route.goal

    /** The most tokens that the request may cost its customer. */
    val maxTokens: Long get() = prompt?.let { it.tokens + it.maxAnswerTokens } ?: 0
}
