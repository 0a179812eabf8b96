/*
 * Decoding of located JSON trees. A decoding function returns null after it has reported an error,
 * and decoding goes on with the next value, so that one run reports every error of a file.
 */
package org.hemlockpond.settings

import kotlin.time.Duration

private val namePattern = Regex("[a-z0-9][a-z0-9._-]{0,62}")

/** Whether [text] may name a customer, a route, a version or any other declared thing. */
fun isName(text: String): Boolean = namePattern.matches(text)

internal const val NAME_EXPECTED =
    "a name of 1 to 63 characters a-z, 0-9, '.', '_' or '-' that starts with a letter or digit"

internal class Decoder(val file: String, val errors: MutableList<SettingsError>) {
    /** Reports an error at [node] and returns null. */
    fun fail(node: Node, expected: String, found: String = node.shown): Nothing? =
        fail(node.position, found, expected)

    fun fail(at: Position, found: String, expected: String): Nothing? {
        errors += SettingsError(file, at.line, at.column, at.path, found, expected)
        return null
    }

    /** Decodes an object with [build]; keys that [build] didn't ask for are refused. */
    fun <T> fields(node: Node, build: (Fields) -> T?): T? {
        if (node !is ObjectNode) return fail(node, "an object")
        val fields = Fields(this, node)
        val value = build(fields)
        fields.refuseUnknownKeys()
        return value
    }

    /** Decodes each item; the items that are in error are left out. */
    fun <T : Any> list(node: Node, item: (Node) -> T?): List<T>? {
        if (node !is ArrayNode) return fail(node, "an array")
        return node.items.mapNotNull(item)
    }

    fun string(node: Node): String? = if (node is StringNode) node.value else fail(node, "a string")

    fun text(node: Node, expected: String, accept: (String) -> Boolean): String? {
        val value = (node as? StringNode)?.value
        return if (value != null && accept(value)) value else fail(node, expected)
    }

    fun name(node: Node): String? = text(node, NAME_EXPECTED, ::isName)

    fun boolean(node: Node): Boolean? =
        if (node is BooleanNode) node.value else fail(node, "true or false")

    fun long(node: Node, range: LongRange): Long? {
        val value = (node as? NumberNode)?.text?.toLongOrNull()
        return value?.takeIf { it in range }
            ?: fail(node, "a whole number from ${range.first} to ${range.last}")
    }

    fun int(node: Node, range: IntRange): Int? =
        long(node, range.first.toLong()..range.last.toLong())?.toInt()

    fun double(node: Node, range: ClosedFloatingPointRange<Double>): Double? {
        val value = (node as? NumberNode)?.text?.toDoubleOrNull()
        return value?.takeIf { it in range }
            ?: fail(node, "a number from ${range.start} to ${range.endInclusive}")
    }

    fun span(node: Node, range: ClosedRange<Duration>): Duration? {
        val value = (node as? StringNode)?.let { parseSpan(it.value) }
            ?: return fail(node, SPAN_EXPECTED)
        if (value in range) return value
        val bounds = "${formatSpan(range.start)} to ${formatSpan(range.endInclusive)}"
        return fail(node, "a time span from $bounds")
    }

    fun size(node: Node, range: LongRange): Long? {
        val value = (node as? StringNode)?.let { parseSize(it.value) }
            ?: return fail(node, SIZE_EXPECTED)
        if (value in range) return value
        return fail(node, "a size from ${formatSize(range.first)} to ${formatSize(range.last)}")
    }

    fun address(node: Node): SocketAddress? =
        (node as? StringNode)?.let { SocketAddress.parse(it.value) }
            ?: fail(node, "an address host:port with a port from 1 to 65535")

    /** A word of a closed list, compared without regard to case. */
    fun <E : Enum<E>> word(node: Node, values: List<E>): E? {
        val text = (node as? StringNode)?.value
        return values.firstOrNull { it.name.equals(text, ignoreCase = true) }
            ?: fail(node, "one of " + values.joinToString { "\"${it.name.lowercase()}\"" })
    }

    /**
     * A reference to one of [known], which is null if the list referred to has errors of its own
     * and the reference can't be checked.
     */
    fun reference(node: Node, known: Set<String>?, what: String): String? {
        val value = name(node) ?: return null
        if (known == null || value in known) return value
        return fail(node, what + nearestHint(value, known))
    }

    /**
     * Reports each string of [list], or each string under [key] of its objects, that an earlier
     * item has too. Items with other errors are compared as well.
     */
    fun uniqueStrings(list: Node?, key: String?, what: String) {
        val items = (list as? ArrayNode)?.items.orEmpty()
        val nodes = if (key == null) items else items.mapNotNull { it.member(key) }
        unique(nodes.filterIsInstance<StringNode>().map { it to it.value }, what)
    }

    /** Reports each node after the first with the same key. */
    fun <K> unique(items: List<Pair<Node, K>>, what: String) {
        val first = HashMap<K, Node>()
        for ((node, key) in items) {
            val earlier = first.putIfAbsent(key, node) ?: continue
            val place = "line ${earlier.position.line}"
            fail(node, "$what that no other entry has", "${node.shown}, as in $place")
        }
    }
}

internal fun Node.member(key: String): Node? = (this as? ObjectNode)?.members?.get(key)?.value

internal fun Node.string(key: String): String? = (member(key) as? StringNode)?.value

/** The members of one object. */
internal class Fields(private val decoder: Decoder, val node: ObjectNode) {
    private val known = LinkedHashSet<String>()

    fun find(key: String): Node? {
        known += key
        return node.members[key]?.value
    }

    fun <T : Any> required(key: String, decode: (Node) -> T?): T? {
        val value = find(key)
        if (value != null) return decode(value)
        val at = node.position
        return decoder.fail(at, "no key \"$key\"", "the key \"$key\", which has no default")
    }

    /** The decoded value, or [default] if the key is absent or its value is in error. */
    fun <T : Any> optional(key: String, default: T, decode: (Node) -> T?): T =
        find(key)?.let(decode) ?: default

    fun <T : Any> nullable(key: String, decode: (Node) -> T?): T? = find(key)?.let(decode)

    fun refuseUnknownKeys() {
        for ((key, member) in node.members) {
            if (key in known) continue
            val expected = "one of the keys " + known.joinToString() + nearestHint(key, known)
            decoder.fail(member.keyPosition, "the unknown key ${quoted(key)}", expected)
        }
    }
}

internal fun nearestHint(word: String, known: Collection<String>): String {
    val nearest = nearest(word, known) ?: return ""
    return " (did you mean \"$nearest\"?)"
}

/** The known word with the smallest edit distance, ignoring case; null if there are no words. */
internal fun nearest(word: String, known: Collection<String>): String? {
    val short = word.take(MAX_COMPARED_CHARACTERS).lowercase()
    return known.minByOrNull { editDistance(short, it.lowercase()) }
}

/** Bounds the time that a very long unknown key can take. */
private const val MAX_COMPARED_CHARACTERS = 64

/** Levenshtein distance with two rows. */
private fun editDistance(a: String, b: String): Int {
    var previous = IntArray(b.length + 1) { it }
    for (i in a.indices) {
        val row = IntArray(b.length + 1)
        row[0] = i + 1
        for (j in b.indices) {
            val substituted = previous[j] + if (a[i] == b[j]) 0 else 1
            row[j + 1] = minOf(previous[j + 1] + 1, row[j] + 1, substituted)
        }
        previous = row
    }
    return previous[b.length]
}
