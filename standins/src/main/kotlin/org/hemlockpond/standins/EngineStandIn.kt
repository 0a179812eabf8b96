/*
 * Stand-in for a model engine: streamed chat completions with deterministic tokens, resume from an
 * offset, cancellation by closing the connection, and limited memory. Options bring about the
 * faults of real engines.
 */
package org.hemlockpond.standins

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.hemlockpond.store.EtcdJson

/**
 * Behaviour of an engine; tests change it while the engine runs (`POST /control`).
 *
 * @property memoryTokens prompt and answer tokens held at once beyond which the process dies
 */
@Serializable
internal data class EngineBehaviour(
    val version: String = "v1",
    val firstTokenMillis: Long = 20,
    val tokenMillis: Long = 5,
    val answerTokens: Int = 16,
    val memoryTokens: Long = 200_000,
    val failPercent: Int = 0,
    val leaving: Boolean = false
)

/** Counters of an engine, for tests. */
@Serializable
internal data class EngineStats(
    val started: Long,
    val finished: Long,
    val heldTokens: Long,
    val runs: Map<String, Int>,
    val fencing: Long,
    val version: String
)

/** One engine process. */
internal class EngineStandIn(port: Int, behaviour: EngineBehaviour) : AutoCloseable {
    @Volatile
    private var behaviour = behaviour
    private val started = AtomicLong()
    private val finished = AtomicLong()
    private val heldTokens = AtomicLong()
    private val runs = ConcurrentHashMap<String, Int>()

    @Volatile
    private var fencing = 0L
    private val server = HttpStandIn(port, ::handle)

    val port: Int get() = server.port

    fun join() = server.join()

    override fun close() = server.close()

    private fun handle(exchange: Exchange) {
        when (exchange.path) {
            "/v1/chat/completions" -> complete(exchange)

            "/v1/orders" -> takeOrder(exchange)

            "/load" -> exchange.answer(
                200,
                """{"held_tokens":${heldTokens.get()},"leaving":${behaviour.leaving}}"""
            )

            "/health" -> exchange.answer(200, """{"status":"healthy"}""")

            "/control" -> {
                behaviour = EtcdJson.decodeFromString(EngineBehaviour.serializer(), exchange.body)
                exchange.answer(200, "{}")
            }

            "/stats" -> exchange.answer(200, statsJson())

            else -> exchange.answer(404, """{"error":"no such path"}""")
        }
    }

    private fun statsJson(): String = EtcdJson.encodeToString(
        EngineStats.serializer(),
        EngineStats(
            started = started.get(),
            finished = finished.get(),
            heldTokens = heldTokens.get(),
            runs = runs.toMap(),
            fencing = fencing,
            version = behaviour.version
        )
    )

    private fun takeOrder(exchange: Exchange) {
        val order = EtcdJson.parseToJsonElement(exchange.body).jsonObject
        val number = order.getValue("fencing").jsonPrimitive.content.toLong()
        if (number < fencing) {
            exchange.answer(409, """{"error":"the fencing number $number is old"}""")
            return
        }
        fencing = number
        order["version"]?.let { behaviour = behaviour.copy(version = it.jsonPrimitive.content) }
        exchange.answer(200, """{"version":"${behaviour.version}"}""")
    }

    private fun complete(exchange: Exchange) {
        val request = EtcdJson.parseToJsonElement(exchange.body).jsonObject
        val prompt = promptOf(request)
        if (CRASH_MARKER in prompt) Runtime.getRuntime().halt(CRASH_EXIT)
        val answer = Answer(exchange, request, prompt)
        started.incrementAndGet()
        runs.merge(exchange.header("X-Request-Id") ?: "none", 1, Int::plus)
        if (prompt.hashCode().mod(PERCENT) < behaviour.failPercent) {
            exchange.answer(500, """{"error":"internal failure"}""")
            return
        }
        if (heldTokens.addAndGet(answer.heldTokens) > behaviour.memoryTokens) {
            Runtime.getRuntime().halt(MEMORY_EXIT)
        }
        exchange.channel.closeFuture().addListener { answer.release() }
        exchange.startStream("text/event-stream")
        exchange.schedule(behaviour.firstTokenMillis) { answer.sendNext() }
    }

    private fun promptOf(request: JsonObject): String =
        request.getValue("messages").jsonArray.joinToString("\n") {
            it.jsonObject.getValue("content").jsonPrimitive.content
        }

    private inner class Answer(
        private val exchange: Exchange,
        request: JsonObject,
        prompt: String
    ) {
        private val maxTokens = request["max_tokens"]?.jsonPrimitive?.int ?: DEFAULT_MAX_TOKENS
        private val total = minOf(maxTokens, behaviour.answerTokens)
        private val promptTokens = prompt.length / CHARS_PER_TOKEN + 1
        private val seed = prompt.hashCode().toUInt().toString(HEX)
        private val id = exchange.header("X-Request-Id") ?: "none"
        private var next = request["resume_from"]?.jsonPrimitive?.int ?: 0
        private var released = false
        val heldTokens = promptTokens + maxTokens.toLong()

        fun sendNext() {
            if (!exchange.channel.isActive) return
            if (!exchange.channel.isWritable) {
                exchange.schedule(UNWRITABLE_RETRY_MILLIS) { sendNext() }
                return
            }
            if (next < total) {
                exchange.send("data: ${chunk("$seed-$next ")}\n\n")
                next++
                exchange.schedule(behaviour.tokenMillis) { sendNext() }
            } else {
                exchange.send("data: ${lastChunk()}\n\ndata: [DONE]\n\n")
                exchange.endStream()
                finished.incrementAndGet()
                release()
            }
        }

        fun release() {
            if (released) return
            released = true
            this@EngineStandIn.heldTokens.addAndGet(-heldTokens)
        }

        private fun chunk(text: String): JsonObject = buildJsonObject {
            put("id", id)
            put("object", "chat.completion.chunk")
            put("version", behaviour.version)
            putJsonArray("choices") {
                add(
                    buildJsonObject {
                        put("index", 0)
                        putJsonObject("delta") { put("content", text) }
                    }
                )
            }
        }

        private fun lastChunk(): JsonObject = buildJsonObject {
            put("id", id)
            put("object", "chat.completion.chunk")
            put("version", behaviour.version)
            putJsonArray("choices") {
                add(
                    buildJsonObject {
                        put("index", 0)
                        putJsonObject("delta") {}
                        put("finish_reason", "stop")
                    }
                )
            }
            putJsonObject("usage") {
                put("prompt_tokens", promptTokens)
                put("completion_tokens", total)
                put("total_tokens", promptTokens + total)
            }
        }
    }

    private companion object {
        const val CRASH_MARKER = "crash-endpoint"
        const val CRASH_EXIT = 70
        const val MEMORY_EXIT = 71
        const val PERCENT = 100
        const val HEX = 16
        const val CHARS_PER_TOKEN = 4
        const val DEFAULT_MAX_TOKENS = 256
        const val UNWRITABLE_RETRY_MILLIS = 10L
    }
}
