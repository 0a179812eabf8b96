package org.hemlockpond.core.routing

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class RetryBudgetTest {
    /** Guards against retries that multiply the load when every endpoint fails. */
    @Test
    fun retriesStayWithinTheBudgetWhenAllEndpointsFail() {
        val endpoints = fleet(*List(4) { endpoint("e$it") }.toTypedArray())
        val bed = RoutingBed(mapOf("r1" to "a"), endpoints)
        bed.boxes.values.forEach { it.mode = Mode.FAILS }
        repeat(1_000) {
            bed.submit("r1", request("q$it"))
            bed.advance(10.milliseconds)
        }
        val attempts = bed.boxes.values.flatMap { it.started }
        val firsts = attempts.map { it.second }.toSet().size
        val settings = RoutingSettings()
        val allowed = settings.retryBurst + firsts * settings.retryRatio
        assertTrue(firsts > 500)
        assertTrue(attempts.size - firsts <= allowed, "${attempts.size - firsts} of $allowed")
    }
}
