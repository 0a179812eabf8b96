package org.hemlockpond.core.entry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EndpointChoiceTest {
    private val engine = EngineProfile(batchSize = 64, memoryTokens = 700_000, tokensPerEvent = 5)
    private val names = Array(8) { "engine-$it" }

    private fun bed(domain: String) = DispatcherTestBed(domain = domain, engine = engine).also {
        it.addEndpoints(*names.copyOfRange(0, 4), domain = "a")
        it.addEndpoints(*names.copyOfRange(4, 8), domain = "b")
    }

    private fun prompt(subject: Int, own: Int) = Prompt(
        tokens = 6_000,
        maxAnswerTokens = 500,
        parts = listOf(
            PromptPart("system", 500),
            PromptPart("subject-$subject", 5_000),
            PromptPart("own-$own", 500)
        )
    )

    private fun DispatcherTestBed.run(subject: Int, own: Int): String {
        val request =
            submit(request(RetrySafety.UNSAFE, prompt(subject, own), goal = 800.milliseconds))
        now += 120.milliseconds
        answered(request)
        return sentTo(request).single()
    }

    /** Guards against each host sending the same prompt part to a different endpoint. */
    @Test
    fun hostsOfDifferentDomainsPlaceASharedPartAtTheSameEndpoint() {
        val hosts = listOf(bed("a"), bed("b"))
        val alike = (0 until 100).count { subject ->
            hosts.map { it.run(subject, subject) }.toSet().size == 1
        }
        assertTrue(alike >= 90, "$alike of 100 subjects placed alike")
    }

    /** Guards against placing a cached part at another endpoint although its endpoint is fast. */
    @Test
    fun requestsOfOneSubjectStayAtTheEndpointThatHasItsPart() {
        val bed = bed("a")
        assertEquals(1, (0 until 20).map { bed.run(subject = 1, own = it) }.toSet().size)
    }

    /** Sends more requests of one subject than a single endpoint can serve in time. */
    @Test
    fun hotSubjectSpreadsBeforeItsEndpointIsLate() {
        val bed = bed("a")
        val goal = 800.milliseconds
        val requests = List(150) {
            bed.submit(bed.request(RetrySafety.UNSAFE, prompt(1, it), goal = goal))
        }
        val sends = bed.actions.filterIsInstance<EntryAction.Send>()
        assertEquals(requests.size, sends.size)
        assertTrue(
            sends.all {
                it.predictedLatency < goal
            },
            "${sends.maxOf { it.predictedLatency }}"
        )
    }

    /**
     * Guards against sending new subjects to an endpoint that is slow but reports itself healthy.
     */
    @Test
    fun slowEndpointGetsFewNewSubjects() {
        val bed = bed("a")
        val slow = bed.run(subject = 1, own = 0)
        repeat(6) {
            val request = bed.submit(bed.request(RetrySafety.UNSAFE, prompt(1, it + 10)))
            if (bed.sentTo(request).single() == slow) bed.now += 2.seconds
            bed.answered(request)
        }
        val later = (0 until 40).map {
            val request = bed.submit(bed.request(RetrySafety.UNSAFE, prompt(100 + it, 100 + it)))
            bed.now += 10.milliseconds
            bed.answered(request)
            bed.sentTo(request).single()
        }
        assertTrue(later.count { it == slow } <= 2, "$later")
    }

    /** Guards against avoiding an endpoint permanently after it was slow once. */
    @Test
    fun slownessIsForgotten() {
        val bed = bed("a")
        val place = bed.run(subject = 1, own = 0)
        repeat(4) {
            val request = bed.submit(bed.request(RetrySafety.UNSAFE, prompt(1, it + 10)))
            bed.now += 900.milliseconds
            bed.answered(request)
        }
        bed.now += 15.seconds
        val later = (0 until 40).map { bed.run(subject = 100 + it, own = 100 + it) }
        assertTrue(place in later, "$place isn't in $later")
    }
}
