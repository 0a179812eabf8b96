/*
 * Short forms for the JSON that commands print.
 */
package org.hemlockpond.cli

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.hemlockpond.settings.SettingsError

internal fun jsonOf(vararg fields: Pair<String, Any?>): JsonObject =
    JsonObject(fields.associate { (key, value) -> key to element(value) })

internal fun jsonOf(fields: Map<String, Any?>): JsonObject =
    JsonObject(fields.mapValues { (_, value) -> element(value) })

private fun element(value: Any?): JsonElement = when (value) {
    null -> JsonNull
    is JsonElement -> value
    is Boolean -> JsonPrimitive(value)
    is Number -> JsonPrimitive(value)
    is List<*> -> JsonArray(value.map(::element))
    is Map<*, *> -> JsonObject(value.entries.associate { (k, v) -> k.toString() to element(v) })
    else -> JsonPrimitive(value.toString())
}

internal fun errorsJson(errors: List<SettingsError>): JsonArray = JsonArray(
    errors.map {
        jsonOf(
            "file" to it.file,
            "line" to it.line,
            "column" to it.column,
            "path" to it.path,
            "found" to it.found,
            "expected" to it.expected
        )
    }
)
