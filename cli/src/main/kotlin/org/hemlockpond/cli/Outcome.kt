/*
 * What a command reports: an exit code, lines for people and one JSON object for scripts.
 */
package org.hemlockpond.cli

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject

/** The exit codes, which docs/cli.md lists. */
internal enum class ExitCode(val code: Int) {
    SUCCESS(0),

    /** The operation was refused or failed. */
    FAILED(1),

    /** Wrong usage, or settings or declarations with errors. */
    REFUSED(2),

    /** Another writer was first, or the store holds something that contradicts the input. */
    CONFLICT(3),

    /** The store or the router can't be reached, or a write's outcome can't be determined. */
    UNREACHABLE(4)
}

/**
 * @property lines the report for people, without line breaks
 * @property json the fields of the report for scripts; the exit code is added when it is printed
 */
internal data class Outcome(
    val exit: ExitCode,
    val lines: List<String>,
    val json: JsonObject = JsonObject(emptyMap())
) {
    fun toJson(): JsonObject = buildJsonObject {
        put("exit", JsonPrimitive(exit.code))
        put("ok", JsonPrimitive(exit == ExitCode.SUCCESS))
        if (exit != ExitCode.SUCCESS) put("error", JsonPrimitive(lines.joinToString("\n")))
        json.forEach { (key, value) -> put(key, value) }
    }
}

/** Ends a command early with [outcome]. */
internal class CommandFailure(val outcome: Outcome) : Exception(outcome.lines.joinToString("\n"))

internal fun fail(exit: ExitCode, line: String, vararg json: Pair<String, JsonElement>): Nothing =
    throw CommandFailure(Outcome(exit, listOf(line), JsonObject(mapOf(*json))))
