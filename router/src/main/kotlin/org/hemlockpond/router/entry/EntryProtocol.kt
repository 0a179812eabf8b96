/*
 * What an entry router needs from the platform that it runs on: the form of requests, answers,
 * configuration and endpoint lists. A platform adapter implements these interfaces and decides
 * nothing.
 */
package org.hemlockpond.router.entry

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.entry.EntryConfig
import org.hemlockpond.core.entry.ListedEndpoint
import org.hemlockpond.core.entry.Prompt

/**
 * What a caller's headers say.
 *
 * @property requestId null if the caller names none
 * @property timeout how long the caller waits for the answer
 * @property resumeAfter the last event that the caller has, if it resumes a stream
 */
data class CallerHead(
    val requestId: RequestId?,
    val apiKey: String?,
    val timeout: Duration?,
    val prompt: Prompt?,
    val resumeAfter: String?
)

/**
 * How a request is sent to an endpoint.
 *
 * @property endpoint the endpoint that is meant; another one at its address must not run it
 * @property timeLeft when the endpoint may stop working on it
 * @property rank the request's rank; 0 goes first
 * @property resumeAfter the last event that the caller has
 */
data class EndpointRequestHead(
    val endpoint: EndpointId,
    val customer: CustomerId?,
    val timeLeft: Duration,
    val rank: Int,
    val resumeAfter: String?
)

/**
 * What an endpoint's headers say.
 *
 * @property requestId the request that the answer belongs to
 * @property genuine whether the endpoint marks the answer as its own result
 * @property notRun whether the endpoint states that it didn't run the request
 * @property misdirected whether another endpoint has taken over the address
 * @property idleTimeout how long the endpoint keeps the connection open without a request
 */
data class AnswerHead(
    val requestId: RequestId?,
    val genuine: Boolean,
    val notRun: Boolean,
    val misdirected: Boolean,
    val idleTimeout: Duration?
)

/** Reads and writes the headers of callers and endpoints. */
interface EntryDialect {
    /** The path at which the platform asks whether this host takes callers. */
    val readinessPath: String

    fun parseCallerHead(request: HttpRequest): CallerHead

    /** The headers for an endpoint, from those of the caller. */
    fun endpointHeaders(request: HttpRequest, head: EndpointRequestHead): HttpHeaders

    fun parseAnswerHead(response: HttpResponse): AnswerHead

    /** The headers for the caller, from those of the endpoint, without those of the connection. */
    fun callerHeaders(response: HttpResponse): HttpHeaders
}

/** A stored value in the product's types, or why it can't be decoded. */
sealed interface Decoded<out T> {
    data class Value<T>(val value: T) : Decoded<T>

    data class Invalid(val reason: String) : Decoded<Nothing>
}

/** Where the platform's store keeps the configuration and the endpoint list, and in what form. */
interface FleetFormat {
    val configKey: String
    val endpointPrefix: String

    fun parseConfig(text: String): Decoded<EntryConfig>

    fun parseEndpoint(id: EndpointId, text: String): Decoded<ListedEndpoint>
}
