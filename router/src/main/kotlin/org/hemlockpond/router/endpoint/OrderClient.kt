/*
 * Orders to model engines, and their load reports. Both are rare, so the JDK's HTTP client serves.
 */
package org.hemlockpond.router.endpoint

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.VersionId
import org.hemlockpond.core.moves.EndpointOrder
import org.hemlockpond.core.moves.OrderAnswer
import org.hemlockpond.router.JsonInput
import org.hemlockpond.router.parseJson
import org.hemlockpond.router.protocolName

/** What an engine says about itself; it lags. */
internal data class LoadAnswer(val heldTokens: Long, val leaving: Boolean)

internal class OrderClient {
    private val http = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(TIMEOUT)
        .build()

    /** Sends an order; [done] is called on a thread of the client. */
    fun order(
        endpoint: EndpointConfig,
        order: EndpointOrder,
        fencing: Long,
        done: (OrderAnswer) -> Unit
    ) {
        val body = buildJsonObject {
            put("order", order.protocolName)
            put("fencing", fencing)
            if (order is EndpointOrder.Load) put("version", order.version.value)
        }
        val request = request(endpoint, "/v1/orders")
            .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
            .build()
        http.sendAsync(request, HttpResponse.BodyHandlers.ofString()).whenComplete { answer, _ ->
            done(if (answer == null) OrderAnswer.Failed else orderAnswer(answer))
        }
    }

    /** Asks an engine for its load; [done] gets null if it doesn't answer. */
    fun load(endpoint: EndpointConfig, done: (LoadAnswer?) -> Unit) {
        val request = request(endpoint, "/load").GET().build()
        http.sendAsync(request, HttpResponse.BodyHandlers.ofString()).whenComplete { answer, _ ->
            done(answer?.takeIf { it.statusCode() == HTTP_OK }?.let { loadAnswer(it.body()) })
        }
    }

    private fun request(endpoint: EndpointConfig, path: String): HttpRequest.Builder =
        HttpRequest.newBuilder(URI("http://${endpoint.host}:${endpoint.port}$path"))
            .timeout(TIMEOUT)

    private fun orderAnswer(answer: HttpResponse<String>): OrderAnswer = when {
        answer.statusCode() == HTTP_CONFLICT -> OrderAnswer.Fenced

        answer.statusCode() == HTTP_OK -> {
            val version = (parse(answer.body())?.get("version") as? JsonPrimitive)?.content
            if (version == null) OrderAnswer.Failed else OrderAnswer.Runs(VersionId(version))
        }

        else -> OrderAnswer.Failed
    }

    private fun loadAnswer(body: String): LoadAnswer? {
        val json = parse(body) ?: return null
        val held = (json["held_tokens"] as? JsonPrimitive)?.longOrNull ?: return null
        val leaving = (json["leaving"] as? JsonPrimitive)?.booleanOrNull ?: false
        return LoadAnswer(held, leaving)
    }

    private fun parse(body: String): JsonObject? =
        (parseJson(body) as? JsonInput.Valid)?.element as? JsonObject

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(2)
        const val HTTP_OK = 200
        const val HTTP_CONFLICT = 409
    }
}
