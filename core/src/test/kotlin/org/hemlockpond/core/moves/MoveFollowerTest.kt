package org.hemlockpond.core.moves

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteId

class MoveFollowerTest {
    private fun assertRolledBack(fleet: MoveFleet, metric: Metric) {
        assertEquals(MoveState.ROLLED_BACK, fleet.record.state)
        val cause = assertIs<RollbackCause.Worse>(fleet.record.cause)
        assertEquals(metric, cause.finding.metric)
        assertTrue(fleet.followers.all { it.isStopped(route) })
        assertTrue(fleet.endpoints.all { it.version == v1 })
        val before = fleet.newRequests
        fleet.run(20.seconds)
        assertEquals(before, fleet.newRequests)
    }

    private fun assertDone(fleet: MoveFleet) {
        assertEquals(MoveState.DONE, fleet.record.state)
        assertTrue(fleet.endpoints.all { it.version == v2 })
        assertEquals(v2, fleet.followers[1].versionFor(route, RequestId("a"), fleet.now()))
        assertEquals(v2, fleet.followers[1].versionInForce(route))
        assertEquals(listOf(MoveState.DONE), fleet.endedMoves.map { it.result })
    }

    /** Guards against a version that fails every request and keeps its traffic. */
    @Test
    fun versionThatIsBadAtOnceIsRolledBack() {
        val fleet = MoveFleet { new, _ -> Behaviour(if (new) 1.0 else 0.01) }
        fleet.run(60.seconds)
        assertTrue(fleet.newRequests < 20, "${fleet.newRequests} requests")
        assertRolledBack(fleet, Metric.FAILURES)
        assertEquals(listOf(MoveState.ROLLED_BACK), fleet.endedMoves.map { it.result })
        assertIs<RollbackCause.Worse>(fleet.endedMoves.single().cause)
    }

    /** Guards against late failures that are outweighed by a long time without failures. */
    @Test
    fun versionThatTurnsBadLateIsRolledBackSoon() {
        val fleet = MoveFleet { new, _ ->
            Behaviour(if (new && time > 450.seconds) 0.4 else 0.01)
        }
        fleet.run(450.seconds)
        assertEquals(MoveState.RUNNING, fleet.record.state)
        val before = fleet.newRequests
        fleet.run(30.seconds)
        assertTrue(fleet.newRequests - before < 80, "${fleet.newRequests - before} requests")
        assertRolledBack(fleet, Metric.FAILURES)
    }

    /**
     * Guards against a version that fails only under load and passes on its results at low load.
     */
    @Test
    fun versionThatIsBadUnderLoadIsRolledBack() {
        val fleet = MoveFleet { new, _ -> Behaviour(if (new && load > 0.6) 0.4 else 0.01) }
        fleet.run(100.seconds)
        assertEquals(MoveState.RUNNING, fleet.record.state)
        fleet.load = 0.8
        fleet.run(60.seconds)
        assertRolledBack(fleet, Metric.FAILURES)
    }

    /** Guards against a first new endpoint with little traffic, which hides failures under load. */
    @Test
    fun firstNewEndpointGetsAFullShareOfItsDomain() {
        val fleet = MoveFleet()
        fleet.run(20.seconds)
        val requests = 3000
        val new = (0 until requests).count {
            fleet.followers[0].versionFor(route, RequestId("x$it"), fleet.now()) == v2
        }
        assertEquals(1.0 / 3, new.toDouble() / requests, 0.03)
        val elsewhere = fleet.followers[1].versionFor(route, RequestId("x"), fleet.now())
        assertEquals(v1, elsewhere)
    }

    /** Guards against a slow version that stays in service because it doesn't fail. */
    @Test
    fun versionThatIsSlowIsRolledBack() {
        val fleet = MoveFleet { new, _ -> Behaviour(latencyFactor = if (new) 2.5 else 1.0) }
        fleet.run(120.seconds)
        assertEquals(MoveState.ROLLED_BACK, fleet.record.state)
        val cause = assertIs<RollbackCause.Worse>(fleet.record.cause)
        assertRolledBack(fleet, cause.finding.metric)
        assertTrue(cause.finding.metric != Metric.FAILURES)
    }

    /** Guards against a roll-back on one route that stops the move of another. */
    @Test
    fun badnessOnOneRouteStopsThatRouteOnly() {
        val fleet = MoveFleet()
        val other = RouteId("registry")
        val follower = MoveFollower(fleet.ids[0], domainOf(0))
        val both = fleet.config.endpoints.flatMap { listOf(it, it.copy(route = other)) }
            .map { it.copy(version = if (it.id.value < "runner-2") v2 else v1) }
        follower.handle(MoveEvent.ConfigChanged(FleetConfig(endpoints = both)), fleet.now())
        for (name in listOf(route, other)) {
            val record = fleet.record.copy(route = name)
            follower.handle(MoveEvent.RecordRead(name, record, 1), fleet.now())
        }
        repeat(400) { i ->
            fleet.time += MoveFleet.TICK
            follower.handle(MoveEvent.Tick, fleet.now())
            for (name in listOf(route, other)) {
                val bad = name == route && i % 3 == 0
                val result = if (bad) OutcomeResult.Failed else OutcomeResult.Completed
                val version = if (i % 3 == 0) v2 else v1
                follower.handle(
                    MoveEvent.Outcome(name, version, domainOf(0), 0.3, result),
                    fleet.now()
                )
            }
        }
        assertTrue(follower.isStopped(route))
        assertFalse(follower.isStopped(other))
    }

    /** Guards against a roll-back of a good version because of a fault of both versions. */
    @Test
    fun goodVersionIsDoneDespiteAnUnhealthyDomain() {
        val fleet = MoveFleet { _, domain ->
            val sick = domain == domainOf(0) && time in 100.seconds..400.seconds
            if (sick) Behaviour(0.3, 2.0) else Behaviour()
        }
        fleet.run(599.seconds)
        assertDone(fleet)
    }

    /** Guards against a roll-back of a good version because of an overload of both versions. */
    @Test
    fun goodVersionIsDoneDespiteOverload() {
        val fleet = MoveFleet { _, _ ->
            load = if (time in 100.seconds..300.seconds) 0.95 else 0.3
            if (load > 0.9) Behaviour(0.2, 3.0) else Behaviour()
        }
        fleet.run(599.seconds)
        assertDone(fleet)
    }

    /** Guards against a move without traffic that is never completed. */
    @Test
    fun moveWithoutTrafficIsDoneInTime() {
        val fleet = MoveFleet(requestsPerTick = 0)
        fleet.run(599.seconds)
        assertDone(fleet)
    }

    /** Guards against a bad version that keeps its traffic while the store is unreachable. */
    @Test
    fun badVersionStopsDuringAStoreOutage() {
        val fleet = MoveFleet { new, _ ->
            Behaviour(if (new && time > 120.seconds) 0.5 else 0.01)
        }
        fleet.run(100.seconds)
        fleet.storeUp = false
        fleet.run(50.seconds)
        assertEquals(MoveState.RUNNING, fleet.record.state)
        assertTrue(fleet.followers.all { it.isStopped(route) })
        val before = fleet.newRequests
        fleet.run(10.seconds)
        assertEquals(before, fleet.newRequests)
        fleet.storeUp = true
        fleet.run(30.seconds)
        assertRolledBack(fleet, Metric.FAILURES)
    }

    /** Guards against a good move that misses its deadline because of a store outage on the way. */
    @Test
    fun goodVersionIsDoneDespiteAStoreOutage() {
        val fleet = MoveFleet()
        fleet.run(200.seconds)
        fleet.storeUp = false
        fleet.run(150.seconds)
        fleet.storeUp = true
        fleet.run(249.seconds)
        assertDone(fleet)
    }

    /** Guards against a stop inside a partition that is lost when the partition ends. */
    @Test
    fun badnessSeenInsideAPartitionRollsTheMoveBackAfterIt() {
        val cutOff = domainOf(1)
        val fleet = MoveFleet { new, domain ->
            Behaviour(if (new && domain == cutOff && time > 350.seconds) 0.6 else 0.01)
        }
        // The schedule moves the first endpoint of the second domain at 330 s.
        fleet.run(340.seconds)
        fleet.partitionedDomain = cutOff
        fleet.run(60.seconds)
        assertTrue(fleet.followers[1].isStopped(route))
        assertFalse(fleet.followers[0].isStopped(route))
        assertEquals(MoveState.RUNNING, fleet.record.state)
        fleet.healPartition()
        fleet.run(10.seconds)
        assertRolledBack(fleet, Metric.FAILURES)
    }

    /** Guards against a move that changes the version of another route. */
    @Test
    fun routeWithoutAMoveKeepsItsDeclaredVersion() {
        val fleet = MoveFleet()
        fleet.run(1.seconds)
        val other = RouteId("registry")
        assertNull(fleet.followers[0].versionFor(other, RequestId("a"), fleet.now()))
        assertNull(fleet.followers[0].versionInForce(other))
    }

    /** Guards against unintended changes in the actions of a move from start to roll-back. */
    @Test
    fun sessionMatchesTheGoldenFile() {
        val fleet = MoveFleet(checksFencing = false) { new, _ ->
            Behaviour(if (new && time > 30.seconds) 0.5 else 0.01)
        }
        fleet.run(60.seconds)
        val golden = javaClass.getResource("/moves/session.txt")!!.readText()
        assertEquals(golden, fleet.log.joinToString("\n", postfix = "\n"))
    }
}
