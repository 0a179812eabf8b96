/*
 * The configuration that operators declare: failure domains, routes, endpoints, request classes and
 * one contract for each customer. The settings module parses and validates it; this file holds the
 * validated, immutable form. All limits of a customer are set in its contract.
 */
package org.hemlockpond.core

import kotlinx.serialization.Serializable

/** Everything that operators declare, at one revision. */
@Serializable
data class FleetConfig(
    val domains: List<FailureDomain> = emptyList(),
    val classes: List<RequestClass> = emptyList(),
    val routes: List<RouteConfig> = emptyList(),
    val endpoints: List<EndpointConfig> = emptyList(),
    val contracts: List<Contract> = emptyList()
)

/**
 * A class of model requests with its own queue.
 *
 * @property maxPromptTokens the largest prompt, in tokens, of a request without an explicit class
 *   that falls into this class; classes are tried in declared order
 * @property queueMillis how long a request of this class may wait for an endpoint, in milliseconds
 * @property weight this class's share of dispatches when several classes wait
 */
@Serializable
data class RequestClass(
    val name: String,
    val maxPromptTokens: Long,
    val queueMillis: Long,
    val weight: Int = 1
)

/** The kind of endpoints that serve a route: model runners or plain services. */
@Serializable
enum class RouteKind { MODEL, SERVICE }

/**
 * A model or a plain service, as callers name it.
 *
 * @property version the version that serves while no move is under way
 * @property calls the calls of a plain service; empty for a model
 */
@Serializable
data class RouteConfig(
    val id: RouteId,
    val kind: RouteKind,
    val version: VersionId,
    val calls: List<CallConfig> = emptyList()
)

/**
 * One call of a plain service.
 *
 * @property path the path below `/services/{route}`, such as `/certificates`
 * @property idempotent whether the call may be sent to an endpoint more than once
 * @property tokens the tokens billed for the call
 */
@Serializable
data class CallConfig(
    val method: String,
    val path: String,
    val idempotent: Boolean,
    val tokens: Long = 0
)

/**
 * An endpoint.
 *
 * @property memoryTokens the tokens that fit into the endpoint's memory; it crashes beyond them. 0
 *   for a service
 * @property maxRequests the largest number of concurrent requests
 * @property checksFencing whether it refuses orders with an old fencing number
 * @property leaving whether the operator is removing the endpoint; it gets no new work
 */
@Serializable
data class EndpointConfig(
    val id: EndpointId,
    val route: RouteId,
    val version: VersionId,
    val domain: FailureDomain,
    val host: String,
    val port: Int,
    val memoryTokens: Long = 0,
    val maxRequests: Int = 64,
    val checksFencing: Boolean = false,
    val leaving: Boolean = false
)

/**
 * A customer's contract.
 *
 * @property keyDigests SHA-256 digests, in lower-case hex, of the customer's bearer keys
 * @property routes the routes that the customer may call
 * @property payments the prepaid tokens by payment id; a payment counts once
 * @property requestsPerSecond the sustained request rate over the whole fleet
 * @property burst the requests that may arrive at once
 * @property concurrentRequests the requests that may run at once over the whole fleet
 * @property maxTokensPerRequest prompt plus answer tokens of one request
 */
@Serializable
data class Contract(
    val customer: CustomerId,
    val keyDigests: List<String>,
    val routes: List<RouteId>,
    val payments: Map<String, Long> = emptyMap(),
    val requestsPerSecond: Double = 10.0,
    val burst: Int = 20,
    val concurrentRequests: Int = 32,
    val maxTokensPerRequest: Long = 32_768
)
