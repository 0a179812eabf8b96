/*
 * The control side of the router: owns the decision components, passes them events one at a time on
 * the control thread, and carries out their actions.
 */
package org.hemlockpond.router

import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.budget.BudgetAction
import org.hemlockpond.core.budget.BudgetEvent
import org.hemlockpond.core.budget.BudgetHolder
import org.hemlockpond.core.budget.SpendCopy
import org.hemlockpond.core.ledger.LedgerAction
import org.hemlockpond.core.ledger.LedgerEvent
import org.hemlockpond.core.ledger.RequestLedger
import org.hemlockpond.core.ledger.RouterCopies
import org.hemlockpond.core.moves.EndpointOrder
import org.hemlockpond.core.moves.MoveAction
import org.hemlockpond.core.moves.MoveEvent
import org.hemlockpond.core.moves.MoveFollower
import org.hemlockpond.core.moves.MoveState
import org.hemlockpond.core.routing.Dispatcher
import org.hemlockpond.core.routing.RoutingAction
import org.hemlockpond.core.routing.RoutingEvent
import org.hemlockpond.router.peer.PeerMessage

/** Where the control side sends messages and store calls. */
internal interface Outside {
    fun send(to: RouterId, message: PeerMessage)

    fun broadcast(message: PeerMessage)

    fun store(action: BudgetAction.ReadRecord)

    fun store(action: BudgetAction.WriteRecord)

    fun store(action: LedgerAction.WriteRunRecords)

    fun store(action: LedgerAction.ReadRunRecord)

    fun store(action: LedgerAction.CommitSpend)

    /** Passes [done] the epoch of the last spend that [router] committed by itself. */
    fun readSpendEpoch(router: RouterId, done: (Long) -> Unit)

    fun store(action: MoveAction.ReadRecord)

    fun store(action: MoveAction.WriteRecord)

    fun order(action: MoveAction.OrderEndpoint)

    /** This router was fenced: it must not spend or dispatch any more. */
    fun fenced()

    /** All slices of this router are returned. */
    fun drained()
}

/** The decision components of one router. */
internal class Components(
    val budget: BudgetHolder,
    val ledger: RequestLedger,
    val dispatcher: Dispatcher,
    val moves: MoveFollower
)

internal class Control(
    private val components: Components,
    private val state: FleetState,
    private val clock: RouterClock,
    private val outside: Outside
) : Decisions {
    /** Set once at assembly; the flows and the control side refer to each other. */
    lateinit var flows: RequestFlows

    override fun budget(event: BudgetEvent) =
        components.budget.handle(event, clock.now()).forEach { perform(it) }

    override fun ledger(event: LedgerEvent) =
        components.ledger.handle(event, clock.now()).forEach { perform(it) }

    override fun routing(event: RoutingEvent) =
        components.dispatcher.handle(event, clock.now()).forEach { perform(it) }

    override fun moves(event: MoveEvent) {
        components.moves.handle(event, clock.now()).forEach { perform(it) }
        if (event is MoveEvent.RecordRead || event is MoveEvent.PeerReceived) versionsChanged()
    }

    /** Gives the dispatcher the versions that endpoints run after a move record changed. */
    private fun versionsChanged() {
        val before = state.config
        state.update()
        if (state.config != before) routing(RoutingEvent.ConfigChanged(state.config))
    }

    /** The ledger's batches wait for this tick; the others are rarer, because each one costs. */
    fun tickLedger() = ledger(LedgerEvent.Tick)

    fun tick() {
        budget(BudgetEvent.Tick)
        routing(RoutingEvent.Tick)
        state.limits.tick(clock.now())?.let { outside.broadcast(PeerMessage.Routing(it)) }
    }

    fun tickMoves() = moves(MoveEvent.Tick)

    /** [router] never spends again: its copies decide what its slices are charged. */
    fun routerDied(router: RouterId) {
        val copies = components.ledger.copiesOf(router)?.takeIf { it.complete }
        ledger(LedgerEvent.RouterDied(router))
        routing(RoutingEvent.RouterDied(router))
        if (copies == null) {
            budget(BudgetEvent.RouterDied(router, null))
            return
        }
        outside.readSpendEpoch(router) { epoch ->
            // A later epoch in the store: the router went on without this copy.
            val current = copies.takeIf { it.epoch >= epoch }
            budget(BudgetEvent.RouterDied(router, current?.let { spendCopies(it) }))
        }
    }

    private fun spendCopies(copies: RouterCopies): Map<CustomerId, SpendCopy> =
        (copies.settled.keys + copies.open.keys).associateWith {
            SpendCopy(copies.settled[it] ?: 0, copies.open[it] ?: 0)
        }

    private fun perform(action: BudgetAction) {
        when (action) {
            is BudgetAction.Reserved -> flows.reserved(action.request)

            is BudgetAction.Refused -> flows.refusedByBudget(action.request, action.kind)

            is BudgetAction.ReadRecord -> outside.store(action)

            is BudgetAction.WriteRecord -> outside.store(action)

            // Peers hold copies of what this router spends, so it makes no marks.
            is BudgetAction.WriteMark -> Unit

            is BudgetAction.SendToPeer ->
                outside.send(action.to, PeerMessage.Budget(action.message))

            BudgetAction.Fenced -> outside.fenced()

            BudgetAction.Drained -> outside.drained()
        }
    }

    private fun perform(action: LedgerAction) {
        when (action) {
            is LedgerAction.Proceed -> flows.proceed(action.request, action.takenOver)

            is LedgerAction.Reject -> flows.rejectClaim(action.request, action.kind)

            is LedgerAction.Replay -> flows.replay(action.request, action.answer)

            is LedgerAction.Release -> flows.release(action.request, action.bill)

            is LedgerAction.WriteRunRecords -> outside.store(action)

            is LedgerAction.ReadRunRecord -> outside.store(action)

            is LedgerAction.CommitSpend -> outside.store(action)

            is LedgerAction.SendToPeer ->
                outside.send(action.to, PeerMessage.Ledger(action.message))

            is LedgerAction.CreditBill -> credit(action)
        }
    }

    private fun credit(action: LedgerAction.CreditBill) {
        log(
            LogEvent.CREDIT,
            "request" to action.request,
            "customer" to action.customer,
            "tokens" to action.tokens
        )
        budget(BudgetEvent.Credit(action.customer, action.tokens))
    }

    private fun perform(action: RoutingAction) {
        when (action) {
            is RoutingAction.Dispatch -> flows.dispatch(action)

            is RoutingAction.Reject -> flows.rejectByRouting(action.request, action.kind)

            is RoutingAction.Complete -> flows.complete(action)

            is RoutingAction.DropAnswer ->
                log(LogEvent.ANSWER_DROPPED, "attempt" to action.attempt)

            is RoutingAction.CancelAttempt -> flows.cancelled(action.attempt)

            is RoutingAction.SendToPeer ->
                outside.send(action.to, PeerMessage.Routing(action.message))

            is RoutingAction.SendToPeers ->
                outside.broadcast(PeerMessage.Routing(action.message))
        }
    }

    private fun perform(action: MoveAction) {
        when (action) {
            is MoveAction.ReadRecord -> outside.store(action)
            is MoveAction.WriteRecord -> outside.store(action)
            is MoveAction.SendToPeers -> outside.broadcast(PeerMessage.Moves(action.message))
            is MoveAction.OrderEndpoint -> outside.order(action)
            is MoveAction.MoveEnded -> moveEnded(action)
        }
    }

    private fun moveEnded(action: MoveAction.MoveEnded) {
        val done = action.result == MoveState.DONE
        log(
            if (done) LogEvent.MOVE_DONE else LogEvent.MOVE_ROLLED_BACK,
            "route" to action.route,
            "number" to action.number,
            "version" to action.version,
            "cause" to action.cause
        )
    }
}

/** The name of an order in the engine protocol. */
internal val EndpointOrder.protocolName: String
    get() = when (this) {
        is EndpointOrder.Load -> "load"
        EndpointOrder.ReadVersion -> "read"
    }
