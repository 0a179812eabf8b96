package org.hemlockpond.router.entry

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Tests what the state that entry hosts share costs in store calls as a fleet grows. */
class FleetStoreCallsTest {
    private fun play(shape: FleetShape) = FleetSimulation(shape).apply { play() }

    private fun row(name: String, shape: FleetShape, played: FleetSimulation): String {
        val refused = played.needlessRefusals.toDouble() / played.requests
        val calls = played.store.calls.values.sum()
        return "| %d | %s | %d | %.3f | %s | %s |".format(
            shape.hosts,
            name,
            calls,
            refused,
            played.slowestConfig,
            played.store.calls.entries.joinToString { "${it.key} ${it.value}" }
        )
    }

    /** Guards against calls that grow with the number of hosts, and against needless refusals. */
    @Test
    fun callsGrowWithDomainsRatherThanHosts() {
        val sizes = listOf(95, 300).associateWith { play(FleetShape(it)) }
        for ((size, played) in sizes) println(row("shared", FleetShape(size), played))
        val calls = sizes.mapValues { it.value.store.calls.values.sum() }
        assertTrue(calls.getValue(95) <= 4_000, "$calls")
        assertTrue(calls.getValue(300) <= 3 * calls.getValue(95), "$calls")
        for ((size, played) in sizes) {
            val refused = played.needlessRefusals.toDouble() / played.requests
            assertTrue(refused <= 0.02, "$size hosts: $refused refused")
            assertTrue(played.slowestConfig <= 4.seconds, "$size hosts: ${played.slowestConfig}")
        }
    }
}
