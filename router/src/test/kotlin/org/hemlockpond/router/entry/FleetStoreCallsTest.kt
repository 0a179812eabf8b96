package org.hemlockpond.router.entry

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Tests what the state that entry hosts share costs in store calls as a fleet grows. */
class FleetStoreCallsTest {
    private fun play(shape: FleetShape) = FleetSimulation(shape).apply { play() }

    private val FleetSimulation.allCalls get() = store.calls.values.sum() + store.staleReads / 10

    /** Guards against calls that grow with the number of hosts, and against needless refusals. */
    @Test
    fun callsGrowWithDomainsRatherThanHosts() {
        val sizes = listOf(95, 300).associateWith { play(FleetShape(it)) }
        val calls = sizes.mapValues { it.value.allCalls }
        assertTrue(calls.getValue(95) <= 4_000, "$calls")
        assertTrue(calls.getValue(300) <= 3 * calls.getValue(95), "$calls")
        for ((size, played) in sizes) {
            val refused = played.needlessRefusals.toDouble() / played.requests
            assertTrue(refused <= 0.02, "$size hosts: $refused refused")
            assertTrue(played.slowestConfig <= 4.seconds, "$size hosts: ${played.slowestConfig}")
        }
    }

    /** Guards against a reader that is cut off without a sign and keeps the others from reading. */
    @Test
    fun configurationIsInForceSoonWhileAReaderIsCutOff() {
        val late = play(FleetShape(hosts = 40, cutsReader = true)).slowestWithoutReader
        assertTrue(late <= 2.seconds, "$late")
    }

    /** Guards against a test that passes whatever the hosts share. */
    @Test
    fun hostsThatShareLessMakeSeveralTimesTheCalls() {
        val shared = play(FleetShape(hosts = 40)).allCalls
        val alone = play(FleetShape(hosts = 40, homeGroups = 1_000, sharesWatches = false)).allCalls
        assertTrue(alone >= 2 * shared, "$shared calls, $alone alone")
    }
}
