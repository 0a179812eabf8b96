package org.hemlockpond.standins

import java.net.Socket
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import java.util.stream.Stream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Failures of real processes. */
class FailureTest {
    private val slow = EngineBehaviour(tokenMillis = 10, answerTokens = 200)

    /** The token texts of a stream, in order, and whether it ended with its end mark. */
    private class Streamed(lines: List<String>) {
        val tokens = lines.filter { it.startsWith("data: {") }
            .mapNotNull { Regex("\"content\":\"([^\"]*)\"").find(it)?.groupValues?.get(1) }
        val complete = "data: [DONE]" in lines
    }

    /** Reads lines until the end of the answer or of its connection. */
    private fun collect(
        answer: HttpResponse<Stream<String>>,
        onLine: (String) -> Unit
    ): List<String> {
        val lines = mutableListOf<String>()
        answer.body().use { body ->
            runCatching {
                body.forEach {
                    lines += it
                    onLine(it)
                }
            }
        }
        return lines
    }

    private fun sendRaw(port: Int, text: String) = Socket("127.0.0.1", port).use {
        it.getOutputStream().write(text.toByteArray())
        it.getOutputStream().flush()
    }

    /** Guards against a lost or doubled part of an answer, and a second bill, after kill -9. */
    @Test
    fun streamOfKilledRouterResumesAtAnotherOneWithOneBill() {
        TestFleet(listOf("a", "a"), slow).use { fleet ->
            val key = mapOf("Idempotency-Key" to "dossier-1")
            val (first, second) = fleet.routers
            val answer = fleet.stream(first, "long review", 200, key)
            val head = collect(answer) { if (it == "id: 40") first.kill() }
            val seen = head.last { it.startsWith("id: ") }.removePrefix("id: ").toInt()
            assertFalse(Streamed(head).complete)
            val resumed = key + ("Last-Event-ID" to seen.toString())
            var tail = emptyList<String>()
            fleet.eventually("the second router takes the request over") {
                val rest = fleet.stream(second, "long review", 200, resumed)
                tail = rest.body().toList()
                rest.statusCode() == 200
            }
            val tokens = Streamed(head).tokens.take(seen) + Streamed(tail).tokens
            assertTrue(Streamed(tail).complete, tail.toString())
            assertEquals(
                (0 until 200).map {
                    it.toString()
                },
                tokens.map { it.trim().substringAfter('-') }
            )
            // 200 answer tokens and the engine's count of the prompt are billed, once.
            val expected = 200L + "long review".length / 4 + 1
            fleet.eventually("one bill of $expected tokens; ${fleet.budget()}") {
                val record = fleet.budget()
                record.closedSpent + record.slices.values.sumOf { it.used } == expected
            }
        }
    }

    /** Guards against a router's death that stops the others. */
    @Test
    fun otherRoutersServeAfterOneIsKilled() {
        TestFleet(listOf("a", "b")).use { fleet ->
            fleet.routers[0].kill()
            val answer = fleet.chat(fleet.routers[1], "still there?", 4)
            assertEquals(200, answer.statusCode(), answer.body())
        }
    }

    /** Guards against requests cut by a shutdown, and tokens that stay with a stopped router. */
    @Test
    fun gracefulStopFinishesStreamsAndReturnsTokens() {
        TestFleet(listOf("a", "b"), slow).use { fleet ->
            val router = fleet.routers[0]
            val answer = fleet.stream(router, "long review", 200, emptyMap())
            val lines = collect(answer) { if (it == "id: 20") router.signal("TERM") }
            assertEquals(200, Streamed(lines).tokens.size)
            assertTrue(Streamed(lines).complete)
            assertEquals(0, router.awaitExit())
            assertTrue(fleet.budget().slices.keys.none { it.value.startsWith("r0/") })
        }
    }

    /** Guards against idle refusals in an outage, and against calls without a durable record. */
    @Test
    fun storeOutageRefusesOnlyCallsThatNeedARecord() {
        TestFleet(listOf("a", "b")).use { fleet ->
            val router = fleet.routers[0]
            assertEquals(200, fleet.chat(router, "warm up", 4).statusCode())
            fleet.setFaults("""{"down":true}""")
            repeat(5) { assertEquals(200, fleet.chat(router, "question $it", 4).statusCode()) }
            val refused = fleet.certificate(router, "batch-1")
            assertEquals(503, refused.statusCode(), refused.body())
            assertTrue("\"execution\":\"not_run\"" in refused.body(), refused.body())
            assertEquals(emptyMap(), fleet.runsOf())
            fleet.setFaults("{}")
            fleet.eventually("the certificate is issued after the outage") {
                fleet.certificate(router, "batch-1").statusCode() == 200
            }
            assertEquals(listOf(1), fleet.runsOf().values.toList())
        }
    }

    /** Guards against a second run when the answer to the record's write is lost. */
    @Test
    fun lostStoreAnswerLeadsToOneRun() {
        TestFleet(listOf("a", "b")).use { fleet ->
            fleet.setFaults("""{"loseAnswers":1}""")
            val (first, second) = fleet.routers
            fleet.certificate(first, "batch-2")
            fleet.eventually("a retry is answered") {
                fleet.certificate(second, "batch-2").statusCode() == 200
            }
            assertEquals(listOf(1), fleet.runsOf().values.toList())
        }
    }

    /** Guards against a second run when the service dies after the call and the caller retries. */
    @Test
    fun callWithLostAnswerIsNeverRunAgain() {
        TestFleet(listOf("a", "b")).use { fleet ->
            val control = "http://127.0.0.1:${fleet.service.port}/control"
            fleet.post(control, """{"closeAfterRun":true}""", emptyMap())
            val first = fleet.certificate(fleet.routers[0], "batch-3")
            assertTrue("\"execution\":\"unknown\"" in first.body(), first.body())
            fleet.post(control, "{}", emptyMap())
            for (router in fleet.routers) {
                fleet.eventually("the retry's outcome is reported as unknown") {
                    val retry = fleet.certificate(router, "batch-3").body()
                    assertTrue("\"execution\":\"unknown\"" in retry, retry)
                    "\"code\":\"outcome-unknown\"" in retry
                }
            }
            assertEquals(listOf(1), fleet.runsOf().values.toList())
        }
    }

    /** Guards against malformed input that stops a router, and a stranger that is taken for a peer. */
    @Test
    fun malformedInputLeavesTheRouterServing() {
        TestFleet(listOf("a")).use { fleet ->
            val router = fleet.routers[0]
            val inputs =
                listOf("GET nonsense\r\n\r\n", "\u0000\u0001\r\n\r\n", "POST / HTTP/9.9\r\n\r\n")
            val ports = listOf(router.callers, fleet.peerPort(0), router.operators)
            ports.forEach { port -> inputs.forEach { sendRaw(port, it) } }
            val headers = mapOf("Authorization" to "Bearer ${TestFleet.KEY}")
            val chat = "${router.url}/v1/chat/completions"
            for (body in listOf(
                "{",
                "[]",
                "{\"model\":1}",
                "{\"model\":\"advisor\",\"messages\":[]}"
            )) {
                val answer = fleet.post(chat, body, headers)
                assertEquals(400, answer.statusCode())
                assertTrue("\"code\":\"malformed-request\"" in answer.body(), answer.body())
            }
            assertEquals(401, fleet.post(chat, "{}", emptyMap()).statusCode())
            assertEquals(200, fleet.chat(router, "still there?", 4).statusCode())
        }
    }

    /** Guards against a frozen router that spends after its lease ran out. */
    @Test
    fun routerFrozenPastItsLeaseServesNothingWhenItWakes() {
        val timing = """{"routerLease":"10s","leaseMargin":"3s"}"""
        TestFleet(listOf("a", "a"), timing = timing).use { fleet ->
            val frozen = fleet.routers[0]
            assertEquals(200, fleet.chat(frozen, "warm up", 4).statusCode())
            frozen.signal("STOP")
            // The kernel accepts the connection; the request waits for the router to wake.
            val waiting = CompletableFuture.supplyAsync {
                runCatching { fleet.chat(frozen, "question", 4).statusCode() }.getOrDefault(0)
            }
            try {
                fleet.eventually("the frozen router's lease ends", fleet.routers[1]) {
                    fleet.registeredRouters().none { it.startsWith("r0/") }
                }
            } finally {
                frozen.signal("CONT")
            }
            assertEquals(5, frozen.awaitExit())
            assertNotEquals(200, waiting.get())
        }
    }
}
