/*
 * A JSON tree whose nodes know their position. It is built from jackson-core tokens because data
 * binding reports only the first error of a document and loses the positions of valid values.
 */
package org.hemlockpond.settings

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonLocation
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import java.nio.ByteBuffer
import java.nio.charset.CodingErrorAction
import java.nio.file.Files
import java.nio.file.Path

/** The largest settings file in bytes. A store value holds at most 1 MB, so no valid file is near. */
internal const val MAX_FILE_BYTES = 4L * 1024 * 1024

private const val MAX_NESTING = 32
private const val MAX_SHOWN_CHARACTERS = 60

/** The position of a token: line and column from 1, and the JSON path. */
internal data class Position(val line: Int, val column: Int, val path: String)

internal sealed interface Node {
    val position: Position

    /** The value as an error message shows it. */
    val shown: String
}

internal data class Member(val keyPosition: Position, val value: Node)

internal data class ObjectNode(override val position: Position, val members: Map<String, Member>) :
    Node {
    override val shown get() = "an object"
}

internal data class ArrayNode(override val position: Position, val items: List<Node>) : Node {
    override val shown get() = "an array"
}

internal data class StringNode(override val position: Position, val value: String) : Node {
    override val shown get() = quoted(value)
}

internal data class NumberNode(override val position: Position, val text: String) : Node {
    override val shown get() = text.take(MAX_SHOWN_CHARACTERS)
}

internal data class BooleanNode(override val position: Position, val value: Boolean) : Node {
    override val shown get() = value.toString()
}

internal data class NullNode(override val position: Position) : Node {
    override val shown get() = "null"
}

/** The text in quotes, shortened, with control characters escaped. */
internal fun quoted(text: String): String {
    val short = if (text.length > MAX_SHOWN_CHARACTERS) {
        text.take(MAX_SHOWN_CHARACTERS) + "..."
    } else {
        text
    }
    return buildString {
        append('"')
        for (c in short) {
            when {
                c == '"' || c == '\\' -> append('\\').append(c)
                c.isISOControl() || c.isSurrogate() -> append("\\u%04x".format(c.code))
                else -> append(c)
            }
        }
        append('"')
    }
}

private val factory = JsonFactory.builder()
    .streamReadConstraints(
        StreamReadConstraints.builder()
            .maxNestingDepth(MAX_NESTING)
            .maxDocumentLength(MAX_FILE_BYTES)
            .build()
    )
    .build()

/** Reads the bytes of one file; adds an error and returns null if that fails. */
internal fun readBytes(path: Path, name: String, errors: MutableList<SettingsError>): ByteArray? {
    fun fail(found: String, expected: String): ByteArray? {
        errors += SettingsError(name, 1, 1, "$", found, expected)
        return null
    }
    return try {
        when {
            !Files.exists(path) -> fail("no file", "a file")

            !Files.isRegularFile(path) -> fail("no regular file", "a file")

            Files.size(path) > MAX_FILE_BYTES ->
                fail("${Files.size(path)} bytes", "at most ${formatSize(MAX_FILE_BYTES)}")

            else -> Files.readAllBytes(path)
        }
    } catch (e: java.io.IOException) {
        fail("an unreadable file (${e.javaClass.simpleName}: ${e.message})", "a readable file")
    }
}

/** Parses [bytes] as one JSON document; adds errors and returns null if it is malformed. */
internal fun parseTree(file: String, bytes: ByteArray, errors: MutableList<SettingsError>): Node? {
    val text = decodeUtf8(file, bytes, errors) ?: return null
    return TreeBuilder(file, errors).build(text)
}

private fun decodeUtf8(
    file: String,
    bytes: ByteArray,
    errors: MutableList<SettingsError>
): String? {
    val decoder = Charsets.UTF_8.newDecoder()
        .onMalformedInput(CodingErrorAction.REPORT)
        .onUnmappableCharacter(CodingErrorAction.REPORT)
    val input = ByteBuffer.wrap(bytes)
    return try {
        decoder.decode(input).toString()
    } catch (_: java.nio.charset.CharacterCodingException) {
        val before = String(bytes, 0, input.position(), Charsets.UTF_8)
        val line = before.count { it == '\n' } + 1
        val column = before.length - before.lastIndexOf('\n')
        errors += SettingsError(file, line, column, "$", "bytes that aren't UTF-8", "UTF-8 text")
        null
    }
}

private class TreeBuilder(
    private val file: String,
    private val errors: MutableList<SettingsError>
) {
    fun build(text: String): Node? = factory.createParser(text).use { parser ->
        var path = "$"
        try {
            if (parser.nextToken() == null) {
                errors += SettingsError(file, 1, 1, path, "an empty file", "a JSON value")
                return null
            }
            val root = value(parser, path) { path = it }
            path = "$"
            if (parser.nextToken() != null) {
                val at = parser.currentTokenLocation()
                errors += error(at, path, "text after the end of the value", "the end of the file")
                return null
            }
            root
        } catch (e: JsonProcessingException) {
            val at = e.location ?: parser.currentLocation()
            errors += error(at, path, syntaxMessage(e), "valid JSON")
            null
        }
    }

    private fun value(parser: JsonParser, path: String, enter: (String) -> Unit): Node {
        enter(path)
        val position = position(parser, path)
        return when (parser.currentToken()) {
            JsonToken.START_OBJECT -> objectNode(parser, position, enter)

            JsonToken.START_ARRAY -> arrayNode(parser, position, enter)

            JsonToken.VALUE_STRING -> StringNode(position, parser.text)

            JsonToken.VALUE_TRUE -> BooleanNode(position, true)

            JsonToken.VALUE_FALSE -> BooleanNode(position, false)

            JsonToken.VALUE_NUMBER_INT, JsonToken.VALUE_NUMBER_FLOAT ->
                NumberNode(position, parser.text)

            else -> NullNode(position)
        }
    }

    private fun objectNode(
        parser: JsonParser,
        position: Position,
        enter: (String) -> Unit
    ): ObjectNode {
        val members = LinkedHashMap<String, Member>()
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            val key = parser.currentName()
            val keyPosition = position(parser, memberPath(position.path, key))
            parser.nextToken()
            val member = Member(keyPosition, value(parser, keyPosition.path, enter))
            val first = members.putIfAbsent(key, member)
            if (first != null) {
                errors += SettingsError(
                    file,
                    keyPosition.line,
                    keyPosition.column,
                    keyPosition.path,
                    "the key ${quoted(key)} again (first in line ${first.keyPosition.line})",
                    "each key once"
                )
            }
            enter(position.path)
        }
        return ObjectNode(position, members)
    }

    private fun arrayNode(
        parser: JsonParser,
        position: Position,
        enter: (String) -> Unit
    ): ArrayNode {
        val items = mutableListOf<Node>()
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items += value(parser, "${position.path}[${items.size}]", enter)
            enter(position.path)
        }
        return ArrayNode(position, items)
    }

    private fun position(parser: JsonParser, path: String): Position {
        val location = parser.currentTokenLocation()
        return Position(location.lineNr, location.columnNr, path)
    }

    private fun error(at: JsonLocation?, path: String, found: String, expected: String) =
        SettingsError(file, at?.lineNr ?: 1, at?.columnNr ?: 1, path, found, expected)

    /** The parser's own message without positions and names of its classes. */
    private fun syntaxMessage(e: JsonProcessingException): String {
        val message = e.originalMessage.lineSequence().first().replace(internals, "")
        return "malformed JSON (${message.take(MAX_MESSAGE)})"
    }

    private companion object {
        const val MAX_MESSAGE = 160
        val internals = Regex(" \\(start marker at.*|, from `[^`]*`")
    }
}

private val plainKey = Regex("[A-Za-z0-9_-]+")

private fun memberPath(path: String, key: String): String =
    if (plainKey.matches(key)) "$path.$key" else "$path[${quoted(key)}]"
