/*
 * Parses chat-completion requests and estimates their tokens.
 */
package org.hemlockpond.router.caller

import java.security.MessageDigest
import java.util.HexFormat
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.longOrNull
import org.hemlockpond.router.JsonInput
import org.hemlockpond.router.parseJson

/** A parsed chat-completion request, or why it isn't one. */
internal sealed interface ChatParse {
    /**
     * @property maxAnswerTokens the caller's limit, or null if it set none
     * @property contentDigest equal for the same model and messages under any idempotency key
     */
    data class Valid(
        val model: String,
        val body: JsonObject,
        val stream: Boolean,
        val promptTokens: Long,
        val maxAnswerTokens: Long?,
        val prefixDigest: String,
        val contentDigest: String
    ) : ChatParse

    data class Malformed(val reason: String) : ChatParse
}

internal fun parseChat(text: String): ChatParse {
    val json = when (val input = parseJson(text)) {
        is JsonInput.Malformed -> return ChatParse.Malformed("invalid JSON: ${input.reason}")
        is JsonInput.Valid -> input.element
    }
    val body = json as? JsonObject
        ?: return ChatParse.Malformed("the body must be a JSON object")
    val model = body.text("model")
        ?: return ChatParse.Malformed("\"model\" must be a string")
    val contents = contentsOf(body["messages"])
        ?: return ChatParse.Malformed("\"messages\" must be a non-empty list of text messages")
    val limit = limitOf(body)
        ?: return ChatParse.Malformed("\"max_tokens\" must be a whole number from 1 up")
    val stream = body["stream"]
    if (stream != null && (stream as? JsonPrimitive)?.booleanOrNull == null) {
        return ChatParse.Malformed("\"stream\" must be true or false")
    }
    val content = body.filterKeys { it != "stream" && it != "user" }
    return ChatParse.Valid(
        model = model,
        body = body,
        stream = (stream as? JsonPrimitive)?.booleanOrNull ?: false,
        promptTokens = estimateTokens(contents),
        maxAnswerTokens = limit.takeIf { it > 0 },
        prefixDigest = sha256(contents.first().take(PREFIX_CHARS)),
        contentDigest = sha256(JsonObject(content).toString())
    )
}

/** The SHA-256 digest of a text in lower-case hex. */
internal fun sha256(text: String): String = HexFormat.of()
    .formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))

/**
 * An upper estimate for usual text: tokenizers make at least two bytes into a token on average in
 * the languages served, Kinyarwanda included. Use beyond the estimate isn't billed.
 */
internal fun estimateTokens(contents: List<String>): Long =
    contents.sumOf { (it.toByteArray().size + 1L) / BYTES_PER_TOKEN + TOKENS_PER_MESSAGE }

private fun JsonObject.text(name: String): String? =
    (this[name] as? JsonPrimitive)?.takeIf { it.isString }?.content

private fun contentsOf(messages: JsonElement?): List<String>? {
    val list = (messages as? JsonArray)?.takeIf { it.isNotEmpty() } ?: return null
    return list.map { message ->
        val fields = message as? JsonObject ?: return null
        fields.text("role") ?: return null
        fields.text("content") ?: return null
    }
}

/** The answer limit, 0 if there is none, or null if it is invalid. */
private fun limitOf(body: JsonObject): Long? {
    val given = body["max_completion_tokens"] ?: body["max_tokens"] ?: return 0
    val primitive = (given as? JsonPrimitive)?.takeUnless { it.isString }
    return primitive?.longOrNull?.takeIf { it in 1..MAX_ANSWER_TOKENS }
}

private const val BYTES_PER_TOKEN = 2
private const val TOKENS_PER_MESSAGE = 8
private const val PREFIX_CHARS = 1_024
private const val MAX_ANSWER_TOKENS = 1_000_000L
