/*
 * Stand-in for a plain service: counts how often each request ran, so that a test can tell a second
 * run of a non-idempotent call.
 */
package org.hemlockpond.standins

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.serialization.Serializable
import org.hemlockpond.store.EtcdJson

/**
 * Behaviour of a service; tests change it while the service runs (`POST /control`).
 *
 * @property closeAfterRun whether the connection is closed after the call ran, without an answer
 */
@Serializable
internal data class ServiceBehaviour(val delayMillis: Long = 5, val closeAfterRun: Boolean = false)

/** Runs by request id. */
@Serializable
internal data class ServiceStats(val runs: Map<String, Int>)

/** One service process. */
internal class ServiceStandIn(port: Int, behaviour: ServiceBehaviour) : AutoCloseable {
    @Volatile
    private var behaviour = behaviour
    private val serial = AtomicLong()
    private val runs = ConcurrentHashMap<String, Int>()
    private val server = HttpStandIn(port, ::handle)

    val port: Int get() = server.port

    fun join() = server.join()

    override fun close() = server.close()

    private fun handle(exchange: Exchange) {
        when (exchange.path) {
            "/control" -> {
                behaviour = EtcdJson.decodeFromString(ServiceBehaviour.serializer(), exchange.body)
                exchange.answer(200, "{}")
            }

            "/stats" -> exchange.answer(
                200,
                EtcdJson.encodeToString(ServiceStats.serializer(), ServiceStats(runs.toMap()))
            )

            "/health" -> exchange.answer(200, """{"status":"healthy"}""")

            else -> exchange.schedule(behaviour.delayMillis) { run(exchange) }
        }
    }

    private fun run(exchange: Exchange) {
        runs.merge(exchange.header("X-Request-Id") ?: "none", 1, Int::plus)
        val number = serial.incrementAndGet()
        if (behaviour.closeAfterRun) {
            exchange.close()
        } else {
            exchange.answer(200, """{"path":"${exchange.path}","serial":$number}""")
        }
    }
}
