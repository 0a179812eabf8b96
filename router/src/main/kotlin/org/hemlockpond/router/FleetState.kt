/*
 * What the control thread knows about the fleet: the configuration in force with the versions that
 * moves have placed, and the contract limits.
 */
package org.hemlockpond.router

import org.hemlockpond.core.CallConfig
import org.hemlockpond.core.Contract
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestClass
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteConfig
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.VersionId
import org.hemlockpond.core.moves.MoveFollower
import org.hemlockpond.core.routing.ContractLimits

/** The fleet as the control thread sees it. */
internal class FleetState(
    private val moves: MoveFollower,
    val limits: ContractLimits,
    private val postToControl: (() -> Unit) -> Unit
) {
    private var declared = FleetConfig()
    private var endpoints: Map<EndpointId, EndpointConfig> = emptyMap()

    /** The live routers of this failure domain, this one included. */
    var routersInDomain = 1

    /** The configuration with the versions that moves have placed on endpoints. */
    var config = FleetConfig()
        private set

    fun post(block: () -> Unit) = postToControl(block)

    /** Takes a new declaration, or the same one after moves changed. */
    fun update(config: FleetConfig = declared) {
        declared = config
        val placed = config.routes.mapNotNull { moves.record(it.id)?.first?.reportedVersions }
            .fold(emptyMap<EndpointId, VersionId>()) { all, each -> all + each }
        val current = config.endpoints.map { endpoint ->
            placed[endpoint.id]?.let { endpoint.copy(version = it) } ?: endpoint
        }
        this.config = config.copy(endpoints = current)
        endpoints = current.associateBy { it.id }
    }

    fun endpoint(id: EndpointId): EndpointConfig? = endpoints[id]

    /** The version that serves a request; null if the route has no version. */
    fun versionFor(route: RouteId, request: RequestId, now: Now): VersionId? =
        moves.versionFor(route, request, now)
            ?: declared.routes.find { it.id == route }?.version

    /** The part of the capacity of the route's endpoints in [domain] that is in use, 0 to 1. */
    fun load(route: RouteId, domain: FailureDomain, running: Collection<RequestFlow>): Double {
        val capacity = config.endpoints.filter { it.route == route && it.domain == domain }
            .sumOf { it.memoryTokens }
        if (capacity == 0L) return 0.0
        val own = running.filter {
            it.request.route == route && it.attempt?.endpoint?.domain == domain
        }.sumOf { it.request.reserved }
        return (own.toDouble() * routersInDomain / capacity).coerceIn(0.0, 1.0)
    }
}

/**
 * An immutable view of the configuration for the traffic thread, which authenticates callers and
 * finds routes without asking the control thread.
 */
internal class Directory(config: FleetConfig) {
    private val contracts: Map<String, Contract> =
        config.contracts.flatMap { contract -> contract.keyDigests.map { it to contract } }.toMap()
    private val routes: Map<RouteId, RouteConfig> = config.routes.associateBy { it.id }
    private val classes: List<RequestClass> = config.classes

    /** The contract whose bearer key has this SHA-256 digest. */
    fun contract(keyDigest: String): Contract? = contracts[keyDigest]

    fun route(id: RouteId): RouteConfig? = routes[id]

    /** The calls of a service with this path, of any method. */
    fun calls(route: RouteConfig, path: String): List<CallConfig> =
        route.calls.filter { path == it.path || path.startsWith(it.path + "/") }

    /** The named class, or the first class whose prompts may be this long, or the last class. */
    fun classOf(name: String?, promptTokens: Long): String = classes.find { it.name == name }?.name
        ?: classes.find { promptTokens <= it.maxPromptTokens }?.name
        ?: classes.lastOrNull()?.name
        ?: "default"
}
