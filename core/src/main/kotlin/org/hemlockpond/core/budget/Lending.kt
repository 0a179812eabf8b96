/*
 * Loans between routers.
 *
 * The lender's slice is charged for a loan before the loan is sent, in a place that whoever closes
 * the lender's slice will see: either the record, or every router of the lender's failure domain
 * that may close the slice from a copy. Otherwise the death of the lender would free tokens that
 * the borrower still spends.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouterId

internal class Lending(
    private val domain: FailureDomain,
    private val settings: BudgetSettings,
    private val placement: Placement,
    private val send: (RouterId, BudgetMessage) -> Unit
) {
    /** What a router of this failure domain has confirmed. */
    private class Witness {
        var complete = false
        var sent: Duration = -Duration.INFINITE
        val noted = HashMap<CustomerId, Long>()
    }

    private var peers = emptyMap<RouterId, FailureDomain>()
    private val witnesses = LinkedHashMap<RouterId, Witness>()
    private val totals = HashMap<CustomerId, Long>()

    fun peersChanged(routers: Map<RouterId, FailureDomain>, now: Duration) {
        peers = routers
        for ((router, place) in routers) {
            if (place != domain || router in witnesses) continue
            witnesses[router] = Witness()
            announce(router, now)
        }
    }

    /** A dead router closes no slices, so its confirmation isn't needed. */
    fun died(router: RouterId) {
        witnesses -= router
    }

    /** Repeats lent totals that a reachable router hasn't confirmed. */
    fun tick(now: Duration) {
        for ((router, witness) in witnesses) {
            val due = now - witness.sent >= settings.knownFor
            if (due && router in peers && !upToDate(witness)) announce(router, now)
        }
    }

    /** Answers a loan request; [allowed] is false while this router mustn't spend. */
    fun lend(
        account: Account,
        from: RouterId,
        ask: BudgetMessage.LoanRequest,
        allowed: Boolean,
        now: Duration
    ) {
        val total = account.lentTo[from] ?: 0
        if (from in account.unreleased) return
        val spare = if (allowed) spare(account, now) else 0
        val amount = minOf(ask.tokens, spare)
        if (ask.received < total || amount <= 0) {
            // Repeats a loan that may be lost, or declines.
            send(from, BudgetMessage.Loan(account.customer, total))
            return
        }
        account.lent += amount
        account.lentTo[from] = total + amount
        account.unreleased[from] = UnreleasedLoan(amount, account.lent)
        totals[account.customer] = account.lent
        for ((router, witness) in witnesses) {
            val message = mapOf(account.customer to account.lent)
            if (witness.complete) send(router, BudgetMessage.LentTotals(message, false))
        }
        release(account, allowed)
    }

    private fun spare(account: Account, now: Duration): Long = account.free -
        account.waiting.sumOf { it.tokens } - placement.span(account, settings.endSpan, now)

    /** Sends the loans that are covered by now. */
    fun release(account: Account, allowed: Boolean) {
        if (!allowed || account.unreleased.isEmpty()) return
        val noted = witnesses.values.minOfOrNull { witness ->
            if (witness.complete) witness.noted[account.customer] ?: 0 else 0
        }
        val covered = maxOf(noted ?: Long.MAX_VALUE, account.confirmed?.lent ?: 0)
        val ready = account.unreleased.filterValues { it.lent <= covered }.keys
        for (borrower in ready) {
            account.unreleased -= borrower
            val total = account.lentTo.getValue(borrower)
            send(borrower, BudgetMessage.Loan(account.customer, total))
        }
    }

    /** Takes back the loans that weren't sent; nothing may be lent afterwards. */
    fun cancel(account: Account) {
        for ((borrower, loan) in account.unreleased) {
            account.lent -= loan.tokens
            account.lentTo.computeIfPresent(borrower) { _, total -> total - loan.tokens }
        }
        account.unreleased.clear()
    }

    fun noted(from: RouterId, message: BudgetMessage.LentTotalsNoted) {
        val witness = witnesses[from] ?: return
        for ((customer, total) in message.totals) witness.noted.merge(customer, total, ::maxOf)
        if (message.complete) witness.complete = true
    }

    /** Adds what [from] has lent; true if the tokens are new. */
    fun receive(account: Account, from: RouterId, loan: BudgetMessage.Loan): Boolean {
        val known = account.borrowedFrom[from] ?: 0
        if (loan.total <= known || account.frozen) return false
        account.borrowed += loan.total - known
        account.borrowedFrom[from] = loan.total
        account.asked -= from
        return true
    }

    /** Asks the peer that probably holds most for the tokens that waiting requests lack. */
    fun ask(account: Account, now: Duration) {
        val slices = account.record.slices
        // Near the end tokens come free in small amounts, so a lender that had none is asked sooner.
        val again = if (placement.ending(account, now)) settings.grantWait else settings.knownFor
        val busy = account.asked.values.any { now - it < settings.loanAnswer }
        if (busy) return
        val lender = peers.keys
            .filter { now - (account.asked[it] ?: -Duration.INFINITE) >= again }
            .maxByOrNull { slices[it]?.free ?: 0 } ?: return
        account.asked[lender] = now
        val tokens = account.shortage + placement.span(account, settings.lowSpan, now)
        val received = account.borrowedFrom[lender] ?: 0
        send(lender, BudgetMessage.LoanRequest(account.customer, tokens, received))
    }

    private fun upToDate(witness: Witness): Boolean = witness.complete &&
        totals.all { (customer, total) -> (witness.noted[customer] ?: 0) >= total }

    private fun announce(router: RouterId, now: Duration) {
        witnesses.getValue(router).sent = now
        send(router, BudgetMessage.LentTotals(totals.toMap(), true))
    }
}
