package org.hemlockpond.core.moves

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class MoveControllerTest {
    private fun written(change: RecordChange) = assertIs<RecordChange.Write>(change).record

    private fun start(previous: MoveRecord?, allowRejected: Boolean = false) = startMove(
        previous,
        route,
        v1,
        v2,
        epoch,
        epoch + 600.seconds,
        allowRejected = allowRejected
    )

    /** Guards against two moves of one route that run at the same time. */
    @Test
    fun secondStartIsRefusedWhileAMoveRuns() {
        val record = written(start(null))
        assertIs<RecordChange.Refused>(start(record))
    }

    /** Guards against a rolled-back move that is completed, or restarted without allowRejected. */
    @Test
    fun rollbackIsPermanent() {
        val back = written(rollBack(written(start(null)), RollbackCause.Operator("taken back")))
        assertIs<RecordChange.Refused>(completeMove(back))
        assertIs<RecordChange.Refused>(start(back))
        assertEquals(RecordChange.Unchanged, rollBack(back, RollbackCause.Operator("again")))
        assertEquals(v1, back.versionInForce)
        assertEquals(2, written(start(back, allowRejected = true)).number)
    }

    /** Guards against an operator's write at an old revision that overwrites a roll-back. */
    @Test
    fun racingOperatorLosesByRevision() {
        val fleet = MoveFleet { new, _ -> Behaviour(if (new) 1.0 else 0.01) }
        val seen = fleet.record
        val revision = fleet.revision
        fleet.run(60.seconds)
        assertEquals(MoveState.ROLLED_BACK, fleet.record.state)
        val stale = MoveAction.WriteRecord(route, revision, written(completeMove(seen)))
        assertEquals(WriteOutcome.CONFLICT, fleet.write(0, stale))
        assertEquals(MoveState.ROLLED_BACK, fleet.record.state)
    }

    /** Guards against a controller that overwrites an operator's roll-back. */
    @Test
    fun operatorRollbackDuringTheMoveHolds() {
        val fleet = MoveFleet()
        fleet.run(100.seconds)
        fleet.record = written(rollBack(fleet.record, RollbackCause.Operator("taken back")))
        fleet.revision++
        val before = fleet.newRequests
        fleet.run(500.seconds)
        assertEquals(MoveState.ROLLED_BACK, fleet.record.state)
        assertEquals(before, fleet.newRequests)
        assertTrue(fleet.endpoints.all { it.version == v1 })
        assertEquals(listOf(MoveState.ROLLED_BACK), fleet.endedMoves.map { it.result })
    }

    /**
     * Guards against a paused controller that writes or sends orders after its lease has expired.
     */
    @Test
    fun pausedControllerDoesNothingAfterItsLease() {
        val fleet = MoveFleet()
        fleet.run(200.seconds)
        fleet.pausedRouters += 0
        fleet.leaseHolder = 1
        fleet.fencing = 20
        fleet.run(100.seconds)
        assertEquals(20, fleet.record.fencing)
        // The old controller resumes with an outdated copy of the record.
        fleet.pausedRouters -= 0
        val actions = fleet.deliver(0, MoveEvent.Tick)
        assertTrue(
            actions.none { it is MoveAction.OrderEndpoint || it is MoveAction.WriteRecord },
            "$actions"
        )
        val orders = fleet.orders.size
        fleet.run(298.seconds)
        assertEquals(MoveState.DONE, fleet.record.state)
        assertTrue(fleet.orders.drop(orders).all { it.first == 1 })
        assertEquals(1, fleet.endedMoves.size)
    }

    /**
     * Guards against a replaced controller that acts because it still considers its lease valid.
     */
    @Test
    fun lowerFencingNumberInTheRecordWins() {
        val fleet = MoveFleet()
        fleet.run(100.seconds)
        fleet.record = fleet.record.copy(fencing = 30)
        fleet.revision++
        fleet.deliver(0, MoveEvent.RecordRead(route, fleet.record, fleet.revision))
        val orders = fleet.orders.size
        fleet.run(200.seconds)
        assertEquals(30, fleet.record.fencing)
        assertEquals(orders, fleet.orders.size)
    }

    /** Guards against concurrent orders of two controllers to an endpoint that ignores fencing. */
    @Test
    fun newControllerWaitsBeforeEndpointsThatIgnoreFencing() {
        val fleet = MoveFleet(checksFencing = false)
        fleet.run(200.seconds)
        fleet.pausedRouters += 0
        fleet.leaseHolder = 1
        fleet.fencing = 20
        val before = fleet.orders.size
        fleet.run(MoveSettings().quietPeriod - 1.seconds)
        assertEquals(before, fleet.orders.size)
        fleet.run(5.seconds)
        val first = fleet.orders.drop(before)
        assertTrue(first.isNotEmpty() && first.all { it.second.order == EndpointOrder.ReadVersion })
    }

    /** Guards against a late order of an earlier controller whose effect is never corrected. */
    @Test
    fun lateOrderToAnEndpointThatIgnoresFencingIsUndone() {
        val fleet = MoveFleet(checksFencing = false)
        fleet.run(100.seconds)
        val moved = fleet.endpoints.first { it.version == v2 }
        moved.execute(EndpointOrder.Load(v1), 5)
        fleet.run(40.seconds)
        assertEquals(v2, moved.version)
    }

    /** Guards against a controller that sends more orders after an endpoint has fenced it off. */
    @Test
    fun fencedAnswerEndsTheControllerRole() {
        val fleet = MoveFleet()
        fleet.run(10.seconds)
        val order = EndpointOrder.ReadVersion
        val id = fleet.endpoints[0].config.id
        fleet.deliver(0, MoveEvent.OrderResult(id, order, 10, OrderAnswer.Fenced))
        val actions = fleet.deliver(0, MoveEvent.Tick)
        assertTrue(actions.none { it is MoveAction.OrderEndpoint })
    }

    /** Guards against a second write after the answer to an applied write was lost. */
    @Test
    fun lostAnswerIsReadBack() {
        val fleet = MoveFleet()
        fleet.storeUp = false
        fleet.run(1.seconds)
        fleet.storeUp = true
        val lease = MoveEvent.ControllerLease(true, 10, 20.seconds)
        val read = MoveEvent.RecordRead(route, fleet.record, fleet.revision)
        val follower = MoveFollower(fleet.ids[0], domainOf(0))
        follower.handle(MoveEvent.ConfigChanged(fleet.config), fleet.now())
        follower.handle(lease, fleet.now())
        val write = follower.handle(read, fleet.now())
            .filterIsInstance<MoveAction.WriteRecord>().single()
        val lost = MoveEvent.RecordWritten(route, WriteOutcome.UNKNOWN)
        assertTrue(MoveAction.ReadRecord(route) in follower.handle(lost, fleet.now()))
        val back = MoveEvent.RecordRead(route, write.record, 2)
        val after = follower.handle(back, fleet.now())
        assertTrue(after.none { it is MoveAction.WriteRecord }, "$after")
    }
}
