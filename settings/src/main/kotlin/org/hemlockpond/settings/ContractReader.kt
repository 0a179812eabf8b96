/*
 * Reads one contract. The file is named after the customer, so two files can't declare the same one.
 */
package org.hemlockpond.settings

import org.hemlockpond.core.Contract
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RouteId

private val paymentId = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

/** Whether [text] may be the id of a payment. */
fun isPaymentId(text: String): Boolean = paymentId.matches(text)

/**
 * @param fileName the file's name without `.json`
 * @param routes the declared routes; null if they are in error and can't be referred to
 * @param digests the place of each key digest that was read from any contract so far
 */
internal class ContractReader(
    private val decoder: Decoder,
    private val fileName: String,
    private val routes: Set<String>?,
    private val digests: MutableMap<String, String>
) {
    private val defaults = Contract(CustomerId(""), emptyList(), emptyList())

    fun read(node: Node): Contract? = decoder.fields(node) { fields ->
        val customer = fields.required("customer", ::customer)
        val keyDigests = fields.required("keyDigests") { list -> nonEmpty(list, ::digest) }
        val callable = fields.required("routes") { list -> nonEmpty(list, ::route) }
        decoder.unique(callable.orEmpty(), "a route")
        val payments = fields.optional("payments", emptyMap(), ::payments)
        val rate = fields.optional("requestsPerSecond", defaults.requestsPerSecond) {
            decoder.double(it, 0.001..1_000_000.0)
        }
        val burst = fields.optional("burst", defaults.burst) { decoder.int(it, 1..1_000_000) }
        val concurrent = fields.optional("concurrentRequests", defaults.concurrentRequests) {
            decoder.int(it, 1..1_000_000)
        }
        val tokens = fields.optional("maxTokensPerRequest", defaults.maxTokensPerRequest) {
            decoder.long(it, 1..MAX_TOKENS)
        }
        if (customer == null || keyDigests == null || callable == null) return@fields null
        Contract(
            customer = CustomerId(customer),
            keyDigests = keyDigests,
            routes = callable.map { RouteId(it.second) },
            payments = payments,
            requestsPerSecond = rate,
            burst = burst,
            concurrentRequests = concurrent,
            maxTokensPerRequest = tokens
        )
    }

    private fun <T : Any> nonEmpty(list: Node, item: (Node) -> T?): List<T>? {
        if ((list as? ArrayNode)?.items?.isEmpty() == true) {
            return decoder.fail(list, "at least one entry", "an empty array")
        }
        return decoder.list(list, item)
    }

    private fun customer(node: Node): String? {
        val name = decoder.name(node) ?: return null
        if (name == fileName) return name
        return decoder.fail(node, "the name of the file, ${quoted(fileName)}")
    }

    private fun digest(node: Node): String? {
        val digest = (node as? StringNode)?.value?.takeIf { digestPattern.matches(it) }
        if (digest == null) {
            // The text may be a bearer key that was pasted by mistake, so it isn't shown.
            val found = if (node is StringNode) "other text (not shown)" else node.shown
            return decoder.fail(node, DIGEST_EXPECTED, found)
        }
        val place = "${decoder.file}:${node.position.line}"
        val earlier = digests.putIfAbsent(digest, place) ?: return digest
        return decoder.fail(node, "a key digest that no other entry has", "the digest of $earlier")
    }

    private fun route(node: Node): Pair<Node, String>? =
        decoder.reference(node, routes, "a declared route")?.let { node to it }

    private fun payments(node: Node): Map<String, Long>? {
        if (node !is ObjectNode) return decoder.fail(node, "an object of payment ids and tokens")
        val payments = sortedMapOf<String, Long>()
        var total = 0L
        for ((id, member) in node.members) {
            if (!isPaymentId(id)) {
                decoder.fail(member.keyPosition, "the payment id ${quoted(id)}", PAYMENT_EXPECTED)
            }
            val tokens = decoder.long(member.value, 1..MAX_TOKENS) ?: continue
            // Both terms are below 2^53, so the sum can't overflow.
            total += tokens
            if (total > MAX_TOKENS) {
                decoder.fail(member.value, "payments of at most $MAX_TOKENS tokens together")
                return null
            }
            payments[id] = tokens
        }
        return payments
    }

    private companion object {
        private val digestPattern = Regex("[0-9a-f]{64}")
        private const val DIGEST_EXPECTED =
            "a SHA-256 digest of 64 lower-case hex digits, as \"hemlockpond key new\" prints it"
        private const val PAYMENT_EXPECTED =
            "1 to 63 characters A-Z, a-z, 0-9, '.', '_' or '-' after a letter or digit"
    }
}
