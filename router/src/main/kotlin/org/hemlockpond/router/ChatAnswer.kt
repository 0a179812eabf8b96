/*
 * The JSON of chat-completion answers, whole and as server-sent events.
 */
package org.hemlockpond.router

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

internal fun chatAnswer(request: CallerRequest, text: String, usage: Usage): String =
    buildJsonObject {
        put("id", request.request.value)
        put("object", "chat.completion")
        put("model", request.route.value)
        putJsonArray("choices") {
            add(
                buildJsonObject {
                    put("index", 0)
                    putJsonObject("message") {
                        put("role", "assistant")
                        put("content", text)
                    }
                    put("finish_reason", "stop")
                }
            )
        }
        putUsage(usage)
    }.toString()

internal fun chatChunk(request: CallerRequest, text: String): JsonObject = buildJsonObject {
    put("id", request.request.value)
    put("object", "chat.completion.chunk")
    put("model", request.route.value)
    putJsonArray("choices") {
        add(
            buildJsonObject {
                put("index", 0)
                putJsonObject("delta") { put("content", text) }
            }
        )
    }
}

internal fun chatLastChunk(request: CallerRequest, usage: Usage): JsonObject = buildJsonObject {
    put("id", request.request.value)
    put("object", "chat.completion.chunk")
    put("model", request.route.value)
    putJsonArray("choices") {
        add(
            buildJsonObject {
                put("index", 0)
                putJsonObject("delta") {}
                put("finish_reason", "stop")
            }
        )
    }
    putUsage(usage)
}

private fun JsonObjectBuilder.putUsage(usage: Usage) {
    putJsonObject("usage") {
        put("prompt_tokens", usage.promptTokens)
        put("completion_tokens", usage.answerTokens)
        put("total_tokens", usage.total)
    }
}
