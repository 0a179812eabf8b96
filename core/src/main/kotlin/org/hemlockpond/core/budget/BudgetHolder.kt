/*
 * Spends from the slices that one router holds. This first version reads the record for each
 * request that its free tokens don't cover, and takes what the request needs.
 */
package org.hemlockpond.core.budget

import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** The budget component of the router [self], which runs in [domain]. */
class BudgetHolder(
    private val self: RouterId,
    private val domain: FailureDomain,
    private val settings: BudgetSettings = BudgetSettings()
) {
    private class Account {
        var slice: Slice? = null
        var pending: Slice? = null
        var spent = 0L
        val reserved = mutableMapOf<RequestId, Long>()
        val waiting = mutableListOf<Pair<BudgetEvent.Reserve, Now>>()
        var sequence = 0L
        val free get() = (slice?.granted ?: 0) - spent - reserved.values.sum()
    }

    private val accounts = mutableMapOf<CustomerId, Account>()
    private var lease: Now? = null

    /** Applies [event] and returns what the router has to do, in order. */
    fun handle(event: BudgetEvent, now: Now): List<BudgetAction> = when (event) {
        is BudgetEvent.Reserve -> reserve(event, now)

        is BudgetEvent.Settle -> settle(event)

        is BudgetEvent.RecordRead -> recordRead(event)

        is BudgetEvent.RecordWritten -> recordWritten(event, now)

        is BudgetEvent.LeaseRenewed -> {
            lease = event.sent
            emptyList()
        }

        BudgetEvent.Tick -> expire(now)

        else -> emptyList()
    }

    private fun reserve(event: BudgetEvent.Reserve, now: Now): List<BudgetAction> {
        val account = accounts.getOrPut(event.customer) { Account() }
        account.waiting += event to now + settings.grantWait
        val served = serve(account, now)
        return if (account.waiting.isEmpty()) {
            served
        } else {
            served + BudgetAction.ReadRecord(event.customer)
        }
    }

    private fun serve(account: Account, now: Now): List<BudgetAction> {
        val sent = lease ?: return emptyList()
        val age = maxOf(now.elapsed - sent.elapsed, now.wall - sent.wall)
        if (age >= settings.routerLease - settings.leaseMargin) return emptyList()
        val fitting = account.waiting.filter { (event, _) ->
            val fits = event.tokens <= account.free
            if (fits) account.reserved[event.request] = event.tokens
            fits
        }
        account.waiting -= fitting.toSet()
        return fitting.map { (event, _) -> BudgetAction.Reserved(event.request) }
    }

    private fun settle(event: BudgetEvent.Settle): List<BudgetAction> {
        for (account in accounts.values) {
            val reserved = account.reserved.remove(event.request) ?: continue
            account.spent += event.used.coerceIn(0, reserved)
        }
        return emptyList()
    }

    private fun recordRead(event: BudgetEvent.RecordRead): List<BudgetAction> {
        val account = accounts[event.customer] ?: return emptyList()
        val needed = account.waiting.sumOf { (reserve, _) -> reserve.tokens }
        if (account.pending != null || needed == 0L) return emptyList()
        val current = event.record.slices[self] ?: Slice(domain)
        val next = event.record.withSlice(
            self,
            current.copy(
                granted = current.granted + needed,
                spent = account.spent,
                sequence = ++account.sequence
            )
        )
        account.pending = next.slices[self]
        return listOf(
            BudgetAction.WriteRecord(event.customer, event.revision, next, account.sequence)
        )
    }

    private fun recordWritten(event: BudgetEvent.RecordWritten, now: Now): List<BudgetAction> {
        val account = accounts[event.customer] ?: return emptyList()
        if (event.sequence != account.sequence) return emptyList()
        val pending = account.pending
        account.pending = null
        if (event.outcome is WriteOutcome.Applied) {
            account.slice = pending
            return serve(account, now)
        }
        return listOf(BudgetAction.ReadRecord(event.customer))
    }

    private fun expire(now: Now): List<BudgetAction> = accounts.values.flatMap { account ->
        val late = account.waiting.filter { (_, deadline) -> deadline.elapsed <= now.elapsed }
        account.waiting -= late.toSet()
        late.map { (event, _) ->
            BudgetAction.Refused(event.request, ErrorKind.BUDGET_UNREACHABLE)
        }
    }
}
