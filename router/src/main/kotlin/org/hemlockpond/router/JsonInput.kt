/*
 * JSON from outside the fleet.
 */
package org.hemlockpond.router

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** A parsed JSON text, or why it can't be parsed. */
internal sealed interface JsonInput {
    data class Valid(val element: JsonElement) : JsonInput

    data class Malformed(val reason: String) : JsonInput
}

/** Parses JSON whose nesting is bounded, because the parser recurses once for each level. */
internal fun parseJson(text: String): JsonInput {
    if (nesting(text) > MAX_NESTING) {
        return JsonInput.Malformed("nested deeper than $MAX_NESTING levels")
    }
    return try {
        JsonInput.Valid(Json.parseToJsonElement(text))
    } catch (e: SerializationException) {
        JsonInput.Malformed(e.message?.lineSequence()?.first() ?: "invalid JSON")
    }
}

private fun nesting(text: String): Int {
    var depth = 0
    var deepest = 0
    var quoted = false
    var escaped = false
    for (char in text) {
        when {
            escaped -> escaped = false
            quoted && char == '\\' -> escaped = true
            char == '"' -> quoted = !quoted
            quoted -> Unit
            char == '[' || char == '{' -> deepest = maxOf(deepest, ++depth)
            char == ']' || char == '}' -> depth--
        }
    }
    return deepest
}

private const val MAX_NESTING = 128
