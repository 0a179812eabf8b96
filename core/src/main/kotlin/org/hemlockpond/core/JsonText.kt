/*
 * Decodes JSON that others have written.
 */
package org.hemlockpond.core

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Decodes [text] like `decodeFromString`, which throws an IndexOutOfBoundsException for a text that
 * ends within a number in quotes.
 *
 * @throws SerializationException if [text] isn't valid JSON for [type]
 * @throws IllegalArgumentException if the decoded value isn't a valid one
 */
fun <T> Json.decodeText(type: DeserializationStrategy<T>, text: String): T = try {
    decodeFromString(type, text)
} catch (e: IndexOutOfBoundsException) {
    throw SerializationException("the text ends within a number", e)
}
