/*
 * Drives one BudgetHolder for each router against a store and a network in virtual time.
 */
package org.hemlockpond.bench

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.serialization.json.Json
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.budget.BudgetAction
import org.hemlockpond.core.budget.BudgetEvent
import org.hemlockpond.core.budget.BudgetHolder
import org.hemlockpond.core.budget.BudgetMessage
import org.hemlockpond.core.budget.BudgetRecord
import org.hemlockpond.core.budget.BudgetSettings
import org.hemlockpond.core.budget.WriteOutcome

internal class EscrowPolicy(
    private val deployment: BudgetDeployment,
    private val clock: VirtualClock,
    settings: BudgetSettings = BudgetSettings()
) : BudgetPolicy {
    private class Stored(var revision: Long = 0, var record: BudgetRecord = BudgetRecord())

    override val cost = PolicyCost()
    private val routers = List(deployment.routers) { RouterId("router-$it") }
    private val domains = List(deployment.domains) { FailureDomain("domain-$it") }
    private val holders = routers.mapIndexed { i, router ->
        BudgetHolder(router, domains[deployment.domainOf(i)], settings)
    }
    private val store = HashMap<CustomerId, Stored>()
    private val answers = HashMap<RequestId, (Boolean) -> Unit>()
    private var cut = emptySet<Int>()

    init {
        partition(emptySet())
        for (router in routers.indices) {
            deliver(router, BudgetEvent.LeaseRenewed(now()))
            tick(router)
        }
    }

    override fun reserve(id: Int, request: Request, answer: (Boolean) -> Unit) {
        val key = RequestId("$id")
        answers[key] = answer
        val event = BudgetEvent.Reserve(key, customer(request.customer), request.tokens)
        deliver(request.router, event)
    }

    override fun settle(id: Int, request: Request) {
        deliver(request.router, BudgetEvent.Settle(RequestId("$id"), request.used))
    }

    override fun pay(payment: Payment) {
        val stored = stored(customer(payment.customer))
        cost.storeReads++
        cost.storeWrites++
        stored.record = stored.record.withPayment(payment.id, payment.tokens)
        stored.revision++
    }

    override fun partition(domains: Set<Int>) {
        cut = domains
        for (router in routers.indices) {
            val peers = routers.indices.filter { it != router && linked(router, it) }
            val places = peers.associate { routers[it] to this.domains[deployment.domainOf(it)] }
            deliver(router, BudgetEvent.PeersChanged(places))
            deliver(router, BudgetEvent.StoreReachable(!isCut(router)))
        }
    }

    private fun linked(a: Int, b: Int): Boolean =
        deployment.domainOf(a) == deployment.domainOf(b) || (!isCut(a) && !isCut(b))

    private fun isCut(router: Int): Boolean = deployment.domainOf(router) in cut

    private fun customer(index: Int) = CustomerId("customer-$index")

    private fun stored(customer: CustomerId): Stored = store.getOrPut(customer) { Stored() }

    private fun now(): Now = Now(clock.time.milliseconds, Instant.fromEpochMilliseconds(clock.time))

    private fun tick(router: Int) {
        deliver(router, BudgetEvent.Tick)
        clock.after(TICK_MILLIS) { tick(router) }
    }

    private fun deliver(router: Int, event: BudgetEvent) {
        val start = System.nanoTime()
        val actions = holders[router].handle(event, now())
        cost.nanos += System.nanoTime() - start
        cost.events++
        actions.forEach { act(router, it) }
    }

    private fun act(router: Int, action: BudgetAction) {
        when (action) {
            is BudgetAction.Reserved -> answers.remove(action.request)?.invoke(true)

            is BudgetAction.Refused -> answers.remove(action.request)?.invoke(false)

            is BudgetAction.ReadRecord -> read(router, action)

            is BudgetAction.WriteRecord -> write(router, action)

            is BudgetAction.WriteMark -> error("routers with peers make no marks")

            is BudgetAction.SendToPeer -> {
                val to = routers.indexOf(action.to)
                if (!linked(router, to)) return
                val text = Json.encodeToString(BudgetMessage.serializer(), action.message)
                cost.peerBytes += text.length
                val event = BudgetEvent.PeerReceived(routers[router], action.message)
                clock.after(PEER_MILLIS) { deliver(to, event) }
            }

            BudgetAction.Fenced -> error("${routers[router]} was fenced")

            BudgetAction.Drained -> Unit
        }
    }

    private fun read(router: Int, action: BudgetAction.ReadRecord) {
        val customer = action.customer
        if (isCut(router)) return
        cost.storeReads++
        clock.after(STORE_MILLIS) {
            val stored = stored(customer)
            val event = BudgetEvent.RecordRead(
                customer,
                action.askedAt,
                stored.revision,
                stored.record
            )
            clock.after(STORE_MILLIS) { deliver(router, event) }
        }
    }

    private fun write(router: Int, action: BudgetAction.WriteRecord) {
        if (isCut(router)) return
        cost.storeWrites++
        clock.after(STORE_MILLIS) {
            val stored = stored(action.customer)
            val outcome = if (stored.revision == action.expectedRevision) {
                stored.record = action.record
                WriteOutcome.Applied(++stored.revision)
            } else {
                WriteOutcome.Conflict
            }
            val event = BudgetEvent.RecordWritten(action.customer, action.sequence, outcome)
            clock.after(STORE_MILLIS) { deliver(router, event) }
        }
    }

    private companion object {
        const val TICK_MILLIS = 50L
        const val STORE_MILLIS = 2L
        const val PEER_MILLIS = 1L
    }
}
