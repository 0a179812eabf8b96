/*
 * The interfaces between an entry router and its platform: the formats of requests, answers,
 * configuration and endpoint lists. A platform adapter implements them and only converts formats;
 * it makes no decisions.
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
import org.hemlockpond.core.entry.RolloutOrder
import org.hemlockpond.core.entry.ServiceId

/**
 * The values parsed from a caller's request headers.
 *
 * @property requestId the request's id; null if the caller sent none
 * @property timeout how long the caller waits for the answer
 * @property resumeAfter the id of the last event that the caller received, if it resumes a stream
 */
data class CallerHead(
    val requestId: RequestId?,
    val apiKey: String?,
    val timeout: Duration?,
    val prompt: Prompt?,
    val resumeAfter: String?
)

/**
 * The values to send to an endpoint in a request's headers.
 *
 * @property endpoint the intended endpoint; another one at the same address must not run the
 *   request
 * @property timeLeft the time after which the endpoint may stop working on the request
 * @property rank the request's priority rank; 0 is the highest
 * @property resumeAfter the id of the last event that the caller received, if it resumes a stream
 */
data class EndpointRequestHead(
    val endpoint: EndpointId,
    val customer: CustomerId?,
    val timeLeft: Duration,
    val rank: Int,
    val resumeAfter: String?
)

/**
 * The values parsed from an endpoint's answer headers.
 *
 * @property requestId the request that the answer belongs to
 * @property genuine whether the endpoint marks the answer as its own result
 * @property notRun whether the endpoint states that it didn't run the request
 * @property misdirected whether another endpoint has taken over the address
 * @property idleTimeout how long the endpoint keeps the connection open without a request
 * @property requestLimit the requests a second that the endpoint takes from all hosts together; null
 *   if it names no limit
 * @property isLeaving whether the endpoint states that it leaves and takes no new requests
 * @property pause the time for which the endpoint wants no requests from this host; null if it names
 *   none
 */
data class AnswerHead(
    val requestId: RequestId?,
    val genuine: Boolean,
    val notRun: Boolean,
    val misdirected: Boolean,
    val idleTimeout: Duration?,
    val requestLimit: Double? = null,
    val isLeaving: Boolean = false,
    val pause: Duration? = null
)

/** Reads and writes the headers of callers and endpoints. */
interface EntryDialect {
    /** The path of the platform's readiness probe. */
    val readinessPath: String

    /** The format of the reports of engines; null if engines give none. */
    val engineReports: EngineReportFormat? get() = null

    fun parseCallerHead(request: HttpRequest): CallerHead

    /** Builds the headers for an endpoint from those of the caller's [request] and [head]. */
    fun endpointHeaders(request: HttpRequest, head: EndpointRequestHead): HttpHeaders

    fun parseAnswerHead(response: HttpResponse): AnswerHead

    /** Builds the headers for the caller from those of the endpoint, without hop-by-hop headers. */
    fun callerHeaders(response: HttpResponse): HttpHeaders
}

/** The result of decoding a stored value: the value, or the reason why it is invalid. */
sealed interface Decoded<out T> {
    data class Value<T>(val value: T) : Decoded<T>

    data class Invalid(val reason: String) : Decoded<Nothing>
}

/** The keys and formats of the configuration and the endpoint list in the platform's store. */
interface FleetFormat {
    val configKey: String

    /**
     * The prefix of the operator's keys: [configKey] and those under [rolloutPrefix] and
     * [evacuationPrefix].
     */
    val operatorPrefix: String

    /** The prefix of roll-out orders; the rest of a key is the service. */
    val rolloutPrefix: String

    /** The prefix of evacuations; the rest of a key is the failure domain. */
    val evacuationPrefix: String
    val endpointPrefix: String

    fun parseConfig(text: String): Decoded<EntryConfig>

    fun parseEndpoint(id: EndpointId, text: String): Decoded<ListedEndpoint>

    fun parseRollout(text: String): Decoded<RolloutOrder>

    /** The key of the state of the roll-out of [service]. */
    fun rolloutStatusKey(service: ServiceId): String

    /** Whether the stored [status] is the final state of [order]. */
    fun endsRollout(order: RolloutOrder, status: String): Boolean

    /** The state that tells the operator that [order] was rolled back. */
    fun encodeRollback(order: RolloutOrder): String
}
