/*
 * Turns an HTTP request into a CallerRequest: authentication, route, class and token estimate.
 */
package org.hemlockpond.router.caller

import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import java.util.UUID
import org.hemlockpond.core.Contract
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteConfig
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.RouteKind
import org.hemlockpond.router.CallerRequest
import org.hemlockpond.router.Directory
import org.hemlockpond.router.UpstreamCall

/** A request that can be served, or the error that answers it. */
internal sealed interface ReadRequest {
    data class Valid(val request: CallerRequest) : ReadRequest

    data class Refused(val kind: ErrorKind, val detail: String? = null) : ReadRequest
}

/** Reads requests against one configuration. */
internal class RequestReader(private val directory: Directory) {
    fun read(http: FullHttpRequest): ReadRequest {
        val contract = authenticate(http) ?: return ReadRequest.Refused(ErrorKind.UNAUTHENTICATED)
        val path = http.uri().substringBefore('?')
        val key = http.headers()["Idempotency-Key"]
        if (key != null && (key.isBlank() || key.length > MAX_KEY_LENGTH)) {
            return ReadRequest.Refused(
                ErrorKind.MALFORMED_REQUEST,
                "Idempotency-Key must have 1 to $MAX_KEY_LENGTH characters"
            )
        }
        return when {
            path == CHAT_PATH -> readChat(http, contract, key)
            path.startsWith(SERVICES_PATH) -> readService(http, path, contract, key)
            else -> ReadRequest.Refused(ErrorKind.UNKNOWN_ROUTE, "no such path")
        }
    }

    private fun authenticate(http: FullHttpRequest): Contract? {
        val header = http.headers()[HttpHeaderNames.AUTHORIZATION] ?: return null
        if (!header.startsWith(BEARER, ignoreCase = true)) return null
        return directory.contract(sha256(header.substring(BEARER.length).trim()))
    }

    private fun readChat(http: FullHttpRequest, contract: Contract, key: String?): ReadRequest {
        if (http.method() != HttpMethod.POST) {
            return ReadRequest.Refused(ErrorKind.METHOD_NOT_ALLOWED, "use POST")
        }
        val chat = when (val parsed = parseChat(http.content().toString(Charsets.UTF_8))) {
            is ChatParse.Malformed ->
                return ReadRequest.Refused(ErrorKind.MALFORMED_REQUEST, parsed.reason)

            is ChatParse.Valid -> parsed
        }
        val resume = http.headers()["Last-Event-ID"]
        val resumeFrom = if (resume == null) 0 else resume.toLongOrNull()?.takeIf { it >= 0 }
        val route = route(chat.model, RouteKind.MODEL)
        val room = contract.maxTokensPerRequest - chat.promptTokens
        val maxAnswer = chat.maxAnswerTokens ?: minOf(DEFAULT_ANSWER_TOKENS, room)
        val error = when {
            resumeFrom == null -> ReadRequest.Refused(
                ErrorKind.MALFORMED_REQUEST,
                "Last-Event-ID must be the id of an event of this answer"
            )

            route == null -> ReadRequest.Refused(ErrorKind.UNKNOWN_ROUTE, "model ${chat.model}")

            route.id !in contract.routes -> ReadRequest.Refused(ErrorKind.ROUTE_FORBIDDEN)

            room <= 0 || maxAnswer > room -> ReadRequest.Refused(
                ErrorKind.REQUEST_TOO_LARGE,
                "the contract allows ${contract.maxTokensPerRequest} tokens in one request"
            )

            else -> null
        }
        if (error != null) return error
        return ReadRequest.Valid(
            CallerRequest(
                request = requestId(contract, key),
                customer = contract.customer,
                route = RouteId(chat.model),
                requestClass = directory.classOf(
                    http.headers()["X-Request-Class"],
                    chat.promptTokens
                ),
                promptTokens = chat.promptTokens,
                maxAnswerTokens = maxAnswer,
                prefixDigest = chat.prefixDigest,
                contentDigest = chat.contentDigest,
                idempotent = true,
                resumeFrom = resumeFrom ?: 0,
                stream = chat.stream,
                upstream = UpstreamCall.Chat(chat.body, maxAnswer)
            )
        )
    }

    private fun readService(
        http: FullHttpRequest,
        path: String,
        contract: Contract,
        key: String?
    ): ReadRequest {
        val name = path.removePrefix(SERVICES_PATH).substringBefore('/')
        val route = route(name, RouteKind.SERVICE)
            ?: return ReadRequest.Refused(ErrorKind.UNKNOWN_ROUTE, "service $name")
        if (route.id !in contract.routes) return ReadRequest.Refused(ErrorKind.ROUTE_FORBIDDEN)
        val below = path.removePrefix(SERVICES_PATH + name).ifEmpty { "/" }
        val calls = directory.calls(route, below)
        val call = calls.filter { it.method == http.method().name() }.maxByOrNull { it.path.length }
        if (call == null) {
            val kind =
                if (calls.isEmpty()) ErrorKind.UNKNOWN_ROUTE else ErrorKind.METHOD_NOT_ALLOWED
            return ReadRequest.Refused(kind, "${http.method()} $below")
        }
        if (!call.idempotent && key == null) {
            return ReadRequest.Refused(
                ErrorKind.MALFORMED_REQUEST,
                "this call runs at most once and needs an Idempotency-Key"
            )
        }
        val body = ByteArray(http.content().readableBytes())
        http.content().getBytes(http.content().readerIndex(), body)
        val target = below + http.uri().substringAfter('?', "").let { if (it == "") "" else "?$it" }
        val content = "${call.method} $target\n" + String(body, Charsets.ISO_8859_1)
        return ReadRequest.Valid(
            CallerRequest(
                request = requestId(contract, key),
                customer = contract.customer,
                route = route.id,
                requestClass = SERVICE_CLASS,
                promptTokens = call.tokens,
                maxAnswerTokens = 0,
                prefixDigest = null,
                contentDigest = sha256(content),
                idempotent = call.idempotent,
                resumeFrom = 0,
                stream = false,
                upstream = UpstreamCall.Service(
                    call,
                    target,
                    http.headers()[HttpHeaderNames.CONTENT_TYPE],
                    body
                )
            )
        )
    }

    private fun route(name: String, kind: RouteKind): RouteConfig? =
        directory.route(RouteId(name))?.takeIf { it.kind == kind }

    private fun requestId(contract: Contract, key: String?): RequestId {
        val name = if (key == null) UUID.randomUUID().toString() else "${contract.customer}\n$key"
        return RequestId(sha256(name).take(ID_LENGTH))
    }

    private companion object {
        const val CHAT_PATH = "/v1/chat/completions"
        const val SERVICES_PATH = "/services/"
        const val SERVICE_CLASS = "service"
        const val BEARER = "Bearer "
        const val MAX_KEY_LENGTH = 256
        const val DEFAULT_ANSWER_TOKENS = 1_024L

        /** Hex digits of a request id: 128 bits. */
        const val ID_LENGTH = 32
    }
}
