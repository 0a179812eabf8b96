package org.hemlockpond.core.entry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.ErrorKind

/**
 * Tests which requests are refused after crashes of endpoints. In all tests requests share the part
 * `system`, and some the part `bad`.
 */
class CrashSuspectsTest {
    private val bed = DispatcherTestBed()

    private fun prompt(part: String) = Prompt(
        tokens = 1_000,
        maxAnswerTokens = 100,
        parts = listOf("system", part, "own").map { PromptPart(it, 300) }
    )

    private fun submit(part: String, retrySafety: RetrySafety = RetrySafety.UNSAFE) =
        bed.submit(bed.request(retrySafety, prompt(part)))

    private fun answer(part: String) = submit(part).also {
        bed.answered(it)
        bed.now += 10.milliseconds
    }

    private fun crash(part: String, answering: Boolean = false) = submit(part).also {
        val endpoint = bed.sentTo(it).single()
        val end = AttemptEnd.Broken("connection closed", crash = true, answering = answering)
        bed.attemptEnded(it, end)
        bed.removeEndpoint(endpoint)
        bed.now += 10.milliseconds
    }

    private fun addEndpoints(count: Int) = bed.addEndpoints(*Array(count) { "e$it" })

    private fun refusal(request: EntryRequest) =
        (bed.lastAction(request) as? EntryAction.Refuse)?.kind

    /** Guards against crash after crash by requests of which no two are alike. */
    @Test
    fun partIsRefusedOnceItsRequestsCrashedEndpointsInTheMiddleOfTheirAnswers() {
        addEndpoints(5)
        repeat(2) {
            crash("bad", answering = true)
            answer("good")
        }
        val next = submit("bad")
        assertEquals(ErrorKind.SUSPECT_NOT_RUN, refusal(next))
        assertEquals(emptyList(), bed.sentTo(next))
        assertIs<EntryAction.Deliver>(bed.lastAction(answer("good")))
    }

    /** Guards against refusing what shares the caller and other parts with a bad request. */
    @Test
    fun soundRequestsThatWaitBesideTheCrashesAreServed() {
        addEndpoints(6)
        repeat(3) { n ->
            val beside = submit("good$n")
            crash("bad")
            bed.attemptEnded(beside, AttemptEnd.Broken("connection closed", crash = true))
            answer("other")
            assertNull(refusal(answer("good$n")))
        }
        assertEquals(ErrorKind.SUSPECT_NOT_RUN, refusal(submit("bad")))
    }

    /** Guards against refusing everything after endpoints have failed together. */
    @Test
    fun crashesWithoutAnAnswerBetweenThemAccuseAPartOnce() {
        addEndpoints(6)
        repeat(5) { crash("any") }
        assertIs<EntryAction.Deliver>(bed.lastAction(answer("any")))
    }

    @Test
    fun partIsRefusedByCrashesThatOtherHostsReported() {
        addEndpoints(3)
        listOf("e7", "e8", "e9").forEach {
            bed.crashReported(it, Suspect.Part("bad"), Suspect.Part("system"))
            answer("good")
        }
        assertEquals(ErrorKind.SUSPECT_NOT_RUN, refusal(submit("bad")))
        assertIs<EntryAction.Deliver>(bed.lastAction(answer("good")))
    }

    /** Guards against a host that learns of an answer only after the crashes on both sides of it. */
    @Test
    fun crashesCountAsTheirReportOrdersThemWithAnswers() {
        addEndpoints(3)
        val bad = Suspect.Part("bad")
        bed.crashReported("e7", bad, evidence = CrashEvidence.ANSWERING)
        bed.crashReported("e8", bad, evidence = CrashEvidence.ANSWERING, earlier = listOf("e7"))
        bed.dispatcher.suspectsCleared(bed.service, listOf(Suspect.Part("system")))
        assertEquals(ErrorKind.SUSPECT_NOT_RUN, refusal(submit("bad")))
    }

    /** Guards against counting crashes at one moment separately when hosts report one each. */
    @Test
    fun crashesThatHostsReportAfterTheSameEarlierOneCountOnce() {
        addEndpoints(3)
        val any = Suspect.Part("any")
        bed.crashReported("e6", Suspect.Part("other"))
        listOf("e7", "e8", "e9").forEach {
            bed.crashReported(it, any, earlier = listOf("e6"))
        }
        assertNull(refusal(submit("any")))
    }

    @Test
    fun reportNamesTheCrashesBeforeTheLastAnswer() {
        addEndpoints(5)
        val first = crash("bad")
        answer("good")
        val second = crash("bad")
        val third = crash("bad")
        val names = bed.actions.filterIsInstance<EntryAction.ReportCrash>().associate { action ->
            action.request to action.report.earlier.map { it.endpoint.value }
        }
        val firstEndpoint = bed.sentTo(first)
        assertEquals(
            mapOf(first to emptyList(), second to firstEndpoint, third to firstEndpoint),
            names
        )
    }

    /** Guards against counting the reports of several hosts about one crash several times. */
    @Test
    fun reportsAboutOneCrashCountOnce() {
        addEndpoints(3)
        repeat(5) {
            bed.crashReported("e9", Suspect.Part("any"))
            answer("good")
        }
        assertNull(refusal(submit("any")))
    }

    /** Guards against refusing a part for which another host has an answer. */
    @Test
    fun partThatAnotherHostClearedIsServed() {
        addEndpoints(3)
        listOf("e7", "e8", "e9").forEach {
            bed.crashReported(it, Suspect.Part("any"))
            answer("good")
        }
        bed.dispatcher.suspectsCleared(bed.service, listOf(Suspect.Part("any")))
        assertIs<EntryAction.Deliver>(bed.lastAction(answer("any")))
    }

    /** Guards against clearances that other hosts don't learn, and against one for each answer. */
    @Test
    fun onlyAccusedSuspectsAreReportedAsCleared() {
        addEndpoints(3)
        bed.crashReported("e9", Suspect.Part("any"))
        repeat(3) { answer("any") }
        val reports = bed.actions.filterIsInstance<EntryAction.ReportCleared>()
        assertEquals(listOf(listOf<Suspect>(Suspect.Part("any"))), reports.map { it.cleared })
    }

    /** Guards against one more crash by a request that was sent before its part was refused. */
    @Test
    fun requestWithoutAnAnswerIsWithdrawnWhenItsPartIsRefused() {
        addEndpoints(4)
        val running = submit("bad")
        val answering = submit("bad").also { bed.dispatcher.bytesReceived(it.id, bed.now) }
        val sound = submit("good")
        repeat(2) {
            bed.crashReported("e${7 + it}", Suspect.Part("bad"), evidence = CrashEvidence.ANSWERING)
            answer("good")
        }
        listOf(running, answering).forEach {
            assertEquals(
                ErrorKind.ENDPOINT_FAILED,
                assertIs<EntryAction.Fail>(bed.lastAction(it)).kind
            )
        }
        assertIs<EntryAction.Send>(bed.lastAction(sound))
    }

    @Test
    fun waitingRequestIsRefusedWhenItsPartIs() {
        bed.addEndpoints("e1")
        val running = List(6) { submit("good") }
        val waiting = submit("bad")
        repeat(2) {
            bed.crashReported("e${7 + it}", Suspect.Part("bad"), evidence = CrashEvidence.ANSWERING)
            bed.answerStarted(running[it])
        }
        bed.crashReported("e9", Suspect.Part("bad"))
        assertEquals(ErrorKind.SUSPECT_NOT_RUN, refusal(waiting))
    }

    /** Guards against refusing a part for ever. */
    @Test
    fun oldCrashesDoNotCount() {
        addEndpoints(5)
        repeat(2) {
            crash("bad", answering = true)
            answer("good")
        }
        bed.now += 10.minutes + 1.seconds
        assertNull(refusal(submit("bad")))
    }
}
