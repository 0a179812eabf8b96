/*
 * Differences between declared entries and the entries in the store.
 */
package org.hemlockpond.cli

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.StoredValue

internal enum class EntryChange(val sign: Char) { ADDED('+'), CHANGED('~'), REMOVED('-') }

/**
 * The difference in one entry.
 *
 * @property revision the revision of the stored entry, or 0 if there is none
 * @property value the declared value, or null if the entry is to be removed
 * @property details the changed paths with old and new values
 */
internal data class EntryDiff(
    val key: String,
    val change: EntryChange,
    val revision: Long,
    val value: JsonElement?,
    val details: List<String> = emptyList()
) {
    fun toWrite() = ConditionalWrite(key, revision, value?.toString())

    fun lines(): List<String> = listOf("${change.sign} $key") + details.map { "    $it" }
}

/** The differences between [stored] and [declared], by key. */
internal fun diff(
    stored: Map<String, StoredValue>,
    declared: Map<String, JsonElement>
): List<EntryDiff> = (stored.keys + declared.keys).sorted().mapNotNull { key ->
    val before = stored[key]
    val after = declared[key]
    when {
        before == null -> EntryDiff(key, EntryChange.ADDED, 0, after)
        after == null -> EntryDiff(key, EntryChange.REMOVED, before.revision, null)
        else -> changed(key, before, after)
    }
}

private fun changed(key: String, before: StoredValue, after: JsonElement): EntryDiff? {
    val old = try {
        Json.parseToJsonElement(before.value)
    } catch (_: SerializationException) {
        val details = listOf("the stored value isn't JSON")
        return EntryDiff(key, EntryChange.CHANGED, before.revision, after, details)
    }
    val details = buildList { compare("", old, after) }
    if (details.isEmpty()) return null
    return EntryDiff(key, EntryChange.CHANGED, before.revision, after, details)
}

private fun MutableList<String>.compare(path: String, old: JsonElement?, new: JsonElement?) {
    if (old == new) return
    val before = members(old)
    val after = members(new)
    if (before == null || after == null) {
        add("${path.ifEmpty { "value" }}: ${shown(old)} -> ${shown(new)}")
        return
    }
    val keys = before.keys + after.keys
    for (key in keys) compare(join(path, key), before[key], after[key])
    // Order decides which request class applies, so a change of order alone counts.
    val order = before.keys.filter { it in after }
    if (order != after.keys.filter { it in before } && old is JsonArray) {
        add("${path.ifEmpty { "value" }}: changed order")
    }
}

private fun join(path: String, key: String) = when {
    key.startsWith("[") -> path + key
    path.isEmpty() -> key
    else -> "$path.$key"
}

/** The members of an object, or the items of an array by their name or position. */
private fun members(element: JsonElement?): Map<String, JsonElement>? = when (element) {
    is JsonObject -> element

    is JsonArray -> {
        val names = element.map(::itemName)
        if (names.all { it != null } && names.toSet().size == names.size) {
            names.zip(element).associate { (name, item) -> "[$name]" to item }
        } else {
            element.withIndex().associate { (index, item) -> "[$index]" to item }
        }
    }

    else -> null
}

private fun itemName(item: JsonElement): String? = when (item) {
    is JsonPrimitive -> item.contentOrNull

    is JsonObject -> listOf("id", "name", "path").firstNotNullOfOrNull { key ->
        (item[key] as? JsonPrimitive)?.contentOrNull
    }

    else -> null
}

private fun shown(element: JsonElement?): String {
    val text = element?.toString() ?: return "none"
    return if (text.length > MAX_SHOWN) text.take(MAX_SHOWN) + "..." else text
}

private const val MAX_SHOWN = 100
