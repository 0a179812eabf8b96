package org.hemlockpond.core.routing

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

class SessionTest {
    /**
     * Guards against behaviour changes that no other test detects. The session covers three routers
     * with a flood, a loan, a crash, a failing endpoint, a leaving endpoint and a drain.
     * After an intended change, copy target/routing-session.txt over the golden file.
     */
    @Test
    fun sessionMatchesTheGoldenFile() {
        val lines = session()
        File("target/routing-session.txt").writeText(lines.joinToString("\n", postfix = "\n"))
        val golden = assertNotNull(javaClass.getResource("/routing-session.txt")).readText()
        assertEquals(golden.trimEnd().lines(), lines)
    }

    private fun session(): List<String> {
        val endpoints = listOf(endpoint("e1"), endpoint("e2"), endpoint("e3", "b"))
        val bed = RoutingBed(
            mapOf("r1" to "a", "r2" to "a", "r3" to "b"),
            fleet(*endpoints.toTypedArray())
        )
        val lines = ArrayList<String>()
        val note = { text: String -> lines += "${bed.now.inWholeMilliseconds} ms: $text" }
        bed.observer = { router, action -> note("$router $action") }
        note("the routers meet")
        bed.introduce()
        note("quick requests with a shared prefix, and a mismatched answer")
        repeat(3) { bed.submit("r1", request("quick$it").copy(prefixDigest = "p")) }
        val stranger = RequestId("stranger")
        val answer = AttemptOutcome.Answered()
        val mismatch = RoutingEvent.Completed(AttemptId(1), stranger, answer)
        bed.handle(RouterId("r1"), mismatch)
        bed.advance(2.seconds)
        note("long requests, the last one larger than the share")
        repeat(5) { bed.submit("r2", request("long$it", prompt = 9_000)) }
        bed.submit("r2", request("dossier", prompt = 40_000))
        bed.advance(4.seconds)
        note("a crashing request beside a harmless one, sent again by another router")
        bed.poison = setOf("poison")
        bed.submit("r1", request("beside"))
        bed.submit("r1", request("bad", content = "poison"))
        bed.advance(1.seconds)
        bed.submit("r3", request("bad-again", content = "poison"))
        bed.advance(8.seconds)
        note("an endpoint fails, and a call that must not be repeated")
        bed.boxes.getValue("e3").mode = Mode.FAILS
        repeat(4) { bed.submit("r3", request("fails$it")) }
        bed.submit("r3", request("call").copy(idempotent = false))
        bed.advance(1.seconds)
        note("an endpoint leaves")
        bed.handle(RouterId("r2"), RoutingEvent.EndpointLeaving(EndpointId("e2")))
        bed.advance(10.milliseconds)
        repeat(3) { bed.submit("r1", request("after$it")) }
        note("a caller leaves and a router stops")
        bed.submit("r1", request("cancelled"))
        bed.handle(RouterId("r1"), RoutingEvent.Cancelled(RequestId("cancelled")))
        bed.handle(RouterId("r1"), RoutingEvent.Drain)
        bed.submit("r1", request("late"))
        bed.advance(2.seconds)
        return lines
    }
}
