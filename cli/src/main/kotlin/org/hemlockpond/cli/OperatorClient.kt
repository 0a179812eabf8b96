/*
 * The operator port of a live router: JSON over HTTP with a bearer token.
 */
package org.hemlockpond.cli

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject

private val connectTimeout = Duration.ofSeconds(5)
private val requestTimeout = Duration.ofSeconds(10)
private const val MAX_ANSWER_CHARACTERS = 200

internal class OperatorClient(private val base: URI, private val token: String) {
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(connectTimeout)
        .build()

    /** The answer to `GET` [path]; ends the command if there is none. */
    fun get(path: String): JsonObject {
        val request = HttpRequest.newBuilder(base.resolve(path))
            .timeout(requestTimeout)
            .header("Authorization", "Bearer $token")
            .header("Accept", "application/json")
            .build()
        val answer = try {
            client.send(request, HttpResponse.BodyHandlers.ofString())
        } catch (e: IOException) {
            val cause = e.message ?: e.javaClass.simpleName
            fail(ExitCode.UNREACHABLE, "the router at $base can't be reached: $cause")
        }
        return when (answer.statusCode()) {
            HTTP_OK -> parse(answer.body())

            HTTP_UNAUTHORIZED, HTTP_FORBIDDEN ->
                fail(ExitCode.FAILED, "the router at $base refused the operator token")

            else -> fail(
                ExitCode.FAILED,
                "the router at $base answered ${answer.statusCode()}: " +
                    answer.body().take(MAX_ANSWER_CHARACTERS)
            )
        }
    }

    private fun parse(body: String): JsonObject = try {
        Json.parseToJsonElement(body) as? JsonObject
    } catch (_: SerializationException) {
        null
    } ?: fail(ExitCode.FAILED, "the router at $base answered with something other than an object")

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_UNAUTHORIZED = 401
        const val HTTP_FORBIDDEN = 403
    }
}
