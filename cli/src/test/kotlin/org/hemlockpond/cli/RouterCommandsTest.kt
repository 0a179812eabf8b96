package org.hemlockpond.cli

import com.sun.net.httpserver.HttpServer
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.file.Files
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.serialization.json.jsonObject

class RouterCommandsTest {
    private val environment = FakeEnvironment()
    private val token = Files.createTempFile("token", "").also { Files.writeString(it, "secret\n") }

    private fun status(port: Int) = environment
        .run("status", "--router", "127.0.0.1:$port", "--token-file", "$token")

    private fun withRouter(status: Int, body: String, action: (Int) -> Unit) {
        val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
        server.createContext("/operator/status") { exchange ->
            val known = exchange.requestHeaders.getFirst("Authorization") == "Bearer secret"
            val bytes = body.toByteArray()
            exchange.sendResponseHeaders(if (known) status else 401, bytes.size.toLong())
            exchange.responseBody.use { it.write(bytes) }
        }
        server.start()
        try {
            action(server.address.port)
        } finally {
            server.stop(0)
        }
    }

    /** Guards against a status without the token, or whose JSON isn't passed on. */
    @Test
    fun statusIsShown() = withRouter(200, """{"router": "authority-1/3f2a9c01"}""") { port ->
        assertEquals(0, status(port))
        assertTrue(environment.out.any { "authority-1/3f2a9c01" in it })
        val url = "http://127.0.0.1:$port"
        val json = environment.json("status", "--router", url, "--token-file", "$token")
        assertTrue("router" in json.getValue("status").jsonObject)
    }

    /** Guards against an answer that isn't a status and counts as one. */
    @Test
    fun otherAnswersFail() {
        withRouter(500, "no") { assertEquals(1, status(it)) }
        withRouter(200, "[1]") { assertEquals(1, status(it)) }
        withRouter(200, "{") { assertEquals(1, status(it)) }
        Files.writeString(token, "other")
        withRouter(200, "{}") { assertEquals(1, status(it)) }
        assertTrue(environment.err.none { "other" in it })
        Files.writeString(token, "two words")
        withRouter(200, "{}") { assertEquals(2, status(it)) }
    }

    /** Guards against a dead router that is reported as a failed operation. */
    @Test
    fun deadRouterIsUnreachable() {
        val free = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        assertEquals(4, status(free))
    }

    private fun declareGone() =
        environment.run("router", "declare-gone", "authority-1/3f2a9c01", "--yes")

    /** Guards against a declaration that isn't stored, or that a repetition turns into an error. */
    @Test
    fun declaredRouterIsStoredOnce() {
        val key = "hemlockpond/config/gone/authority-1/3f2a9c01"
        repeat(2) { assertEquals(0, declareGone()) }
        assertEquals(setOf(key), environment.store.values.keys)
        assertEquals(1, environment.store.transactions.size)
        environment.store.values.clear()
        environment.store.race = { if (key !in it.values) it.put(key, "{}") }
        assertEquals(0, declareGone())
    }

    /** Guards against a mistyped router id that has no effect and no message. */
    @Test
    fun unregisteredRouterIsMentioned() {
        assertEquals(0, declareGone())
        assertTrue("isn't registered" in environment.out.last())
        environment.store.values.clear()
        environment.store.put("hemlockpond/routers/authority-1/3f2a9c01", "{}")
        assertEquals(0, declareGone())
        assertTrue(environment.out.none { "isn't registered" in it })
    }
}
