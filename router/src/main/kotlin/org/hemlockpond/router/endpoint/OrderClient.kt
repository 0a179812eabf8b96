/*
 * Orders to model engines, and their load reports. Both are rare. An answer doesn't name its order, so
 * each call has a connection of its own, on which no answer to another one can arrive.
 */
package org.hemlockpond.router.endpoint

import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
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
import org.hemlockpond.store.HttpResult
import org.hemlockpond.store.JsonHttpClient

/** What an engine says about itself; it lags. */
internal data class LoadAnswer(val heldTokens: Long, val leaving: Boolean)

/** @param group the event loops for the connections */
internal class OrderClient(group: EventLoopGroup) {
    private val http = JsonHttpClient(TIMEOUT, group)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

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
        call(endpoint, HttpMethod.POST, "/v1/orders", body.toString()) { answer ->
            done(if (answer == null) OrderAnswer.Failed else orderAnswer(answer))
        }
    }

    /** Asks an engine for its load; [done] gets null if it doesn't answer. */
    fun load(endpoint: EndpointConfig, done: (LoadAnswer?) -> Unit) =
        call(endpoint, HttpMethod.GET, "/load") { answer ->
            done(answer?.takeIf { it.status == HTTP_OK }?.let { loadAnswer(it.body) })
        }

    private fun call(
        endpoint: EndpointConfig,
        method: HttpMethod,
        path: String,
        body: String = "",
        done: (HttpResult.Answer?) -> Unit
    ) {
        scope.launch {
            val address = InetSocketAddress(endpoint.host, endpoint.port)
            done(http.call(address, method, path, body) as? HttpResult.Answer)
        }
    }

    private fun orderAnswer(answer: HttpResult.Answer): OrderAnswer = when {
        answer.status == HTTP_CONFLICT -> OrderAnswer.Fenced

        answer.status == HTTP_OK -> {
            val version = (parse(answer.body)?.get("version") as? JsonPrimitive)?.content
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
        val TIMEOUT = 2.seconds
        const val HTTP_OK = 200
        const val HTTP_CONFLICT = 409
    }
}
