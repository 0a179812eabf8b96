package org.hemlockpond.core.routing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.hemlockpond.core.Contract
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.Now
import org.hemlockpond.core.RouterId

class ContractLimitsTest {
    private val customer = CustomerId("c")
    private val contract = Contract(customer, emptyList(), emptyList())
    private val ids = List(8) { RouterId("r$it") }

    private fun at(time: Duration) = Now(time, Instant.fromEpochSeconds(0) + time)

    private fun limits(contract: Contract = this.contract) = ids.map { id ->
        ContractLimits(id).also {
            it.configChanged(FleetConfig(contracts = listOf(contract)))
            it.routersChanged(ids.toSet())
        }
    }

    private fun List<ContractLimits>.exchange(now: Now) = forEachIndexed { index, sender ->
        val message = sender.tick(now) ?: return@forEachIndexed
        filter { it !== sender }.forEach { it.received(ids[index], message, now) }
    }

    /** Guards against routers that each admit the whole limit while they can't reach each other. */
    @Test
    fun silentRoutersKeepToTheirParts() {
        val limits = limits()
        val admitted = limits.sumOf { router ->
            (1..100).count { router.admit(customer, 10, at(1.seconds)) == null }
        }
        assertEquals(16, admitted)
    }

    /** Guards against refusals of a customer whose requests all arrive at one router. */
    @Test
    fun oneRouterMayUseWhatTheOthersLeave() {
        val limits = limits()
        limits.exchange(at(1.seconds))
        val now = at(1.seconds)
        val kinds = List(21) { limits[0].admit(customer, 10, now) }
        assertTrue(kinds.take(20).all { it == null })
        assertEquals(ErrorKind.RATE_LIMITED, kinds.last())
    }

    /** Guards against a rate or concurrency that grows with the number of routers. */
    @Test
    fun fleetKeepsTheRateAndTheConcurrency() {
        val limits = limits()
        var admitted = 0
        var highest = 0
        val ends = ArrayDeque<Pair<Duration, ContractLimits>>()
        for (step in 0..6_000) {
            val time = 10.milliseconds * step
            while (ends.isNotEmpty() && ends.first().first <= time) {
                ends.removeFirst().second.finished(customer)
            }
            limits.exchange(at(time))
            val router = limits[step % limits.size]
            if (router.admit(customer, 10, at(time)) == null) {
                admitted++
                ends += time + 2.seconds to router
                highest = maxOf(highest, ends.size)
            }
        }
        // 10 requests/s for 60 s with a burst of 20; one exchange interval may admit a few more.
        assertTrue(admitted in 560..660, "$admitted")
        assertTrue(highest <= 32 + limits.size, "$highest")
    }

    /** Guards against requests over the contract's size and customers without a contract. */
    @Test
    fun sizeAndUnknownCustomerAreRefused() {
        val limits = limits()[0]
        assertEquals(ErrorKind.REQUEST_TOO_LARGE, limits.admit(customer, 32_769, at(0.seconds)))
        assertEquals(ErrorKind.NOT_CONFIGURED, limits.admit(CustomerId("x"), 1, at(0.seconds)))
    }

    /** Guards against requests that still count as running after they have ended. */
    @Test
    fun finishedRequestsFreeTheirPlace() {
        val one = ContractLimits(ids[0])
        one.configChanged(FleetConfig(contracts = listOf(contract.copy(concurrentRequests = 1))))
        assertEquals(null, one.admit(customer, 1, at(0.seconds)))
        assertEquals(ErrorKind.TOO_MANY_REQUESTS, one.admit(customer, 1, at(1.seconds)))
        one.finished(customer)
        assertEquals(null, one.admit(customer, 1, at(2.seconds)))
    }
}
