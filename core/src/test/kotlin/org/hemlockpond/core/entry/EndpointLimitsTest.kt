package org.hemlockpond.core.entry

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.EndpointId

/** Tests the limits that endpoints name for all hosts together, on fleets in virtual time. */
class EndpointLimitsTest {
    private val process = EndpointProcess(EndpointId("e1"), startedMillis = 1)

    /** Hosts that always have a request for one endpoint, and the claims that they share. */
    private inner class Fleet(size: Int, seed: Int = 1) {
        val hosts = List(size) { EndpointLimits(random = Random(seed * 100 + it)) }
        val claimed = ArrayList<EndpointLimits>()
        var now: Duration = 10.seconds
        var limit: Double? = null
        val arrivals = ArrayList<Duration>()
        private val namedAt = HashMap<EndpointLimits, Duration>()

        private fun claim(host: EndpointLimits) {
            host.claimsEndAt = now + 9.seconds
            if (host in claimed) return
            claimed += host
            claimsChanged()
        }

        fun release(host: EndpointLimits) {
            claimed -= host
            claimsChanged()
        }

        private fun claimsChanged() = hosts.forEach { host ->
            val position = claimed.indexOf(host).takeIf { it >= 0 }
            host.claimsChanged(process, LimitClaims(claimed.size, position), now)
        }

        /** Plays [time]; answers arrive at once, and hosts that are told a limit claim a share. */
        fun play(time: Duration) {
            val end = now + time
            while (now < end) {
                now += 5.milliseconds
                val old = claimed.filter { now - namedAt.getValue(it) > LimitSettings().memory }
                old.forEach(::release)
                hosts.filter { it.of(process).mayReceive(running = 0, now) }.forEach(::send)
            }
        }

        private fun send(host: EndpointLimits) {
            host.of(process).requestSent(now)
            arrivals += now
            host.limitNamed(process, limit, now)
            namedAt[host] = now
            if (limit != null) {
                claim(host)
            } else if (host in claimed) {
                release(host)
            }
        }

        fun mostInFourSeconds(): Int =
            arrivals.maxOf { from -> arrivals.count { it >= from && it < from + 4.seconds } }
    }

    private fun allowed(perSecond: Double) = (1.5 * 4 * perSecond + 5).toInt()

    /** Guards against hosts that each take the whole limit, and against leaving it unused. */
    @Test
    fun hostsTogetherKeepTheLimit() {
        for (size in listOf(1, 7, 74)) {
            for (perSecond in listOf(0.5, 3.0, 3.6, 20.0)) {
                val fleet = Fleet(size)
                fleet.limit = perSecond
                fleet.play(3.seconds)
                fleet.arrivals.clear()
                fleet.play(30.seconds)
                val most = fleet.mostInFourSeconds()
                assertTrue(most <= allowed(perSecond), "$size hosts, limit $perSecond: $most")
                val used = fleet.arrivals.size / (30 * perSecond)
                assertTrue(used > 0.8, "$size hosts, limit $perSecond: only $used is used")
            }
        }
    }

    /** Guards against shares of hosts that have ended. */
    @Test
    fun otherHostsDivideTheShareOfAHostThatHasEnded() {
        val fleet = Fleet(7)
        fleet.limit = 3.0
        fleet.play(10.seconds)
        fleet.release(fleet.claimed.first())
        fleet.arrivals.clear()
        fleet.play(20.seconds)
        assertTrue(fleet.arrivals.size > 20 * 3.0 * 0.8, "${fleet.arrivals.size} in 20 s")
        assertTrue(fleet.mostInFourSeconds() <= allowed(3.0))
    }

    /** Guards against a host that is cut off from the store and counts on its old share. */
    @Test
    fun hostSendsNothingOnceItsClaimMayHaveEnded() {
        val limits = EndpointLimits(random = Random(1))
        limits.claimsEndAt = 15.seconds
        limits.limitNamed(process, 2.0, 10.seconds)
        limits.claimsChanged(process, LimitClaims(1, 0), 10.seconds)
        assertTrue(limits.of(process).mayReceive(0, 11.seconds))
        assertFalse(limits.of(process).mayReceive(0, 15.seconds))
    }

    /** Guards against all hosts returning at the same time. */
    @Test
    fun hostsReturnAtDifferentTimesWhenTheLastClaimEnds() {
        val fleet = Fleet(74)
        fleet.limit = 3.0
        fleet.play(10.seconds)
        fleet.claimed.toList().forEach { fleet.release(it) }
        fleet.arrivals.clear()
        fleet.play(20.seconds)
        assertTrue(fleet.mostInFourSeconds() <= allowed(3.0), "${fleet.mostInFourSeconds()}")
    }

    /** Guards against keeping a limit that the endpoint no longer names. */
    @Test
    fun endpointIsFreeOnceItNamesNoLimit() {
        val fleet = Fleet(7)
        fleet.limit = 3.0
        fleet.play(10.seconds)
        fleet.limit = null
        fleet.play(8.seconds)
        assertEquals(7, fleet.hosts.count { it.of(process).isFree })
    }

    /** Guards against exceeding the limit of an endpoint that was unlisted for a moment. */
    @Test
    fun claimsOutliveTheListingOfAnEndpoint() {
        val limits = EndpointLimits(random = Random(1))
        limits.claimsChanged(process, LimitClaims(1, null), 10.seconds)
        limits.remove(process)
        assertFalse(limits.of(process).mayReceive(0, 11.seconds))
    }
}
