/*
 * The form of the router's records in the store. Fields that a newer version has added are ignored.
 */
package org.hemlockpond.router

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.hemlockpond.core.decodeText

private val recordJson = Json { ignoreUnknownKeys = true }

/** The record as text, without the fields that have their defaults. */
internal fun <T> encodeRecord(type: KSerializer<T>, record: T): String =
    recordJson.encodeToString(type, record)

/** The record stored under [key]; null, and a log line, if it can't be read. */
internal fun <T> decodeRecord(type: KSerializer<T>, key: String, value: String): T? =
    decodeRecord(type, value) { log(LogEvent.RECORD_INVALID, "key" to key, "reason" to it) }

/** The record in [value]; null, after a call of [invalid] with the reason, if it can't be read. */
internal fun <T> decodeRecord(
    type: KSerializer<T>,
    value: String,
    invalid: (reason: String?) -> Unit
): T? = try {
    recordJson.decodeText(type, value)
} catch (e: IllegalArgumentException) {
    // Syntax errors are of this type, too.
    invalid(e.message?.lineSequence()?.first())
    null
}
