/*
 * Reads fleet.json: failure domains, request classes, routes and endpoints, with the checks that
 * need more than one of them.
 */
package org.hemlockpond.settings

import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import org.hemlockpond.core.CallConfig
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.RequestClass
import org.hemlockpond.core.RouteConfig
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.RouteKind
import org.hemlockpond.core.VersionId

/** Token counts stay below 2^53, which every JSON reader keeps exactly. */
internal const val MAX_TOKENS = (1L shl 53) - 1

/** @property complete whether every route was read, so that references to routes can be checked */
internal data class Fleet(val config: FleetConfig, val complete: Boolean)

internal class FleetReader(private val decoder: Decoder) {

    fun read(node: Node): Fleet? = decoder.fields(node) { fields ->
        val domains = fields.required("domains", ::domains)
        val classes = fields.optional("classes", emptyList(), ::classes)
        val routes = fields.required("routes") { items(it, ::route) }
        val routeNodes = (fields.find("routes") as? ArrayNode)?.items.orEmpty()
        val complete = routes != null && routes.size == routeNodes.size
        decoder.uniqueStrings(fields.find("routes"), "id", "a route id")
        val known = routes.takeIf { complete }?.associateBy { it.id.value }
        val endpoints = fields.optional("endpoints", emptyList()) { list ->
            items(list) { endpoint(it, domains, known) }
        }
        checkEndpoints(fields.find("endpoints"), routeNodes)
        val config = FleetConfig(
            domains = domains.orEmpty().map(::FailureDomain),
            classes = classes,
            routes = routes.orEmpty(),
            endpoints = endpoints
        )
        Fleet(config, complete)
    }

    private fun <T : Any> items(node: Node, decode: (Fields) -> T?): List<T>? =
        decoder.list(node) { item -> decoder.fields(item, decode) }

    private fun domains(node: Node): Set<String>? {
        val names = decoder.list(node, decoder::name) ?: return null
        decoder.uniqueStrings(node, null, "a failure domain")
        val items = (node as ArrayNode).items
        if (items.isEmpty()) return decoder.fail(node, "at least one domain", "an empty array")
        return names.toSet().takeIf { names.size == items.size }
    }

    private fun classes(node: Node): List<RequestClass>? {
        val classes = items(node) { fields ->
            val name = fields.required("name", decoder::name)
            val prompt = fields.required("maxPromptTokens") { decoder.long(it, 1..MAX_TOKENS) }
            val queue = fields.required("queue") { decoder.span(it, 0.milliseconds..1.hours) }
            val weight = fields.optional("weight", 1) { decoder.int(it, 1..1_000) }
            if (name == null || prompt == null || queue == null) {
                null
            } else {
                RequestClass(name, prompt, queue.inWholeMilliseconds, weight)
            }
        } ?: return null
        decoder.uniqueStrings(node, "name", "a class name")
        val bounds = (node as ArrayNode).items.mapNotNull { it.member("maxPromptTokens") }
            .mapNotNull { n -> (n as? NumberNode)?.text?.toLongOrNull()?.let { n to it } }
        for ((smaller, larger) in bounds.zipWithNext()) {
            // Classes are tried in declared order, so such a class would get no request.
            if (larger.second > smaller.second) continue
            decoder.fail(larger.first, "more than ${smaller.second}, the bound of the class before")
        }
        return classes
    }

    private fun route(fields: Fields): RouteConfig? {
        val id = fields.required("id", decoder::name)
        val kind = fields.required("kind") { decoder.word(it, RouteKind.entries) }
        val version = fields.required("version", decoder::name)
        val calls = fields.optional("calls", emptyList(), ::calls)
        val at = fields.find("calls") ?: fields.node
        if (kind == RouteKind.MODEL && fields.find("calls") != null) {
            decoder.fail(at, "no key \"calls\" for a model", "the key \"calls\"")
        }
        if (kind == RouteKind.SERVICE && (at as? ArrayNode)?.items.isNullOrEmpty()) {
            decoder.fail(at, "the key \"calls\" with at least one call", "a service without calls")
        }
        if (id == null || kind == null || version == null) return null
        return RouteConfig(RouteId(id), kind, VersionId(version), calls)
    }

    private fun calls(node: Node): List<CallConfig>? {
        val calls = items(node) { fields ->
            val method = fields.required("method") { n ->
                decoder.text(n, "one of " + METHODS.joinToString()) { it in METHODS }
            }
            val path = fields.required("path") { n ->
                decoder.text(n, PATH_EXPECTED) { callPath.matches(it) && "/../" !in "$it/" }
            }
            // No default: a call that is idempotent by oversight could run twice.
            val idempotent = fields.required("idempotent", decoder::boolean)
            val tokens = fields.optional("tokens", 0L) { decoder.long(it, 0..MAX_TOKENS) }
            if (method == null || path == null || idempotent == null) {
                null
            } else {
                CallConfig(method, path, idempotent, tokens)
            }
        } ?: return null
        val named = (node as ArrayNode).items.mapNotNull { n ->
            n.member("path")?.let { it to (n.string("method") to n.string("path")) }
        }
        decoder.unique(named, "a method and path")
        return calls
    }

    private fun endpoint(
        fields: Fields,
        domains: Set<String>?,
        routes: Map<String, RouteConfig>?
    ): EndpointConfig? {
        val id = fields.required("id", decoder::name)
        val route = fields.required("route") {
            decoder.reference(it, routes?.keys, "a declared route")
        }
        val version = fields.required("version", decoder::name)
        val domain = fields.required("domain") {
            decoder.reference(it, domains, "a declared failure domain")
        }
        val address = fields.required("address", decoder::address)
        val memory = fields.optional("memoryTokens", 0L) { decoder.long(it, 0..MAX_TOKENS) }
        val requests = fields.optional("maxRequests", 64) { decoder.int(it, 1..100_000) }
        val fencing = fields.optional("checksFencing", false, decoder::boolean)
        val leaving = fields.optional("leaving", false, decoder::boolean)
        val at = fields.find("memoryTokens") ?: fields.node
        when (routes?.get(route)?.kind) {
            RouteKind.MODEL -> if (memory == 0L) {
                decoder.fail(at, "\"memoryTokens\" above 0 for a model runner", "no memory")
            }

            RouteKind.SERVICE -> if (memory != 0L) {
                decoder.fail(at, "no \"memoryTokens\" for a plain service")
            }

            null -> Unit
        }
        if (id == null || route == null || version == null) return null
        if (domain == null || address == null) return null
        return EndpointConfig(
            id = EndpointId(id),
            route = RouteId(route),
            version = VersionId(version),
            domain = FailureDomain(domain),
            host = address.host,
            port = address.port,
            memoryTokens = memory,
            maxRequests = requests,
            checksFencing = fencing,
            leaving = leaving
        )
    }

    /** Compares nodes, so that an endpoint with another error doesn't cause errors elsewhere. */
    private fun checkEndpoints(list: Node?, routes: List<Node>) {
        decoder.uniqueStrings(list, "id", "an endpoint id")
        decoder.uniqueStrings(list, "address", "an address")
        val endpoints = (list as? ArrayNode)?.items.orEmpty()
        for (route in routes) {
            val version = route.string("version") ?: continue
            val versions = endpoints.filter { it.string("route") == route.string("id") }
                .mapNotNull { it.string("version") }
            if (versions.isEmpty() || version in versions) continue
            decoder.fail(
                route.member("version") ?: route,
                "a version that an endpoint of the route runs" + nearestHint(version, versions)
            )
        }
    }

    private companion object {
        val METHODS = listOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
        val callPath = Regex("(/[A-Za-z0-9._~-]+)+")
        const val PATH_EXPECTED = "a path such as \"/certificates\""
    }
}
