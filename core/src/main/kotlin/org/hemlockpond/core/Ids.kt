/*
 * Identifiers that cross module boundaries. Each is a value class, so the compiler rejects a
 * customer where an endpoint is expected.
 */
package org.hemlockpond.core

import kotlinx.serialization.Serializable

/** A prepaying customer, as named by its contract. */
@Serializable
@JvmInline
value class CustomerId(val value: String) {
    override fun toString(): String = value
}

/** A failure domain: hosts and endpoints that reach each other even when the domain is cut off. */
@Serializable
@JvmInline
value class FailureDomain(val value: String) {
    override fun toString(): String = value
}

/** An endpoint: a model runner or a plain service. */
@Serializable
@JvmInline
value class EndpointId(val value: String) {
    override fun toString(): String = value
}

/** One run of one router process. A restarted router has a new incarnation. */
@Serializable
@JvmInline
value class RouterId(val value: String) {
    override fun toString(): String = value
}

/** A route: one model or one plain service as callers name it. */
@Serializable
@JvmInline
value class RouteId(val value: String) {
    override fun toString(): String = value
}

/** A back-end version that endpoints of a route run. */
@Serializable
@JvmInline
value class VersionId(val value: String) {
    override fun toString(): String = value
}

/** A request. A caller's retry with the same idempotency key has the same request id. */
@Serializable
@JvmInline
value class RequestId(val value: String) {
    override fun toString(): String = value
}
