/*
 * Loans between routers.
 *
 * A loan is recorded before it is sent, in a place that is known to whoever closes the lender's
 * slice: the budget record, or every router of the lender's failure domain that may close the slice
 * from a copy. Otherwise closing the slice of a dead lender would release tokens that the borrower
 * still spends.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouterId

internal class Lending(
    private val domain: FailureDomain,
    private val settings: BudgetSettings,
    private val sizing: SliceSizing,
    private val send: (RouterId, BudgetMessage) -> Unit
) {
    /** The lent totals that a router of this failure domain has confirmed. */
    private class DomainPeer {
        var isComplete = false
        var lastSentAt: Duration = -Duration.INFINITE
        val confirmedTotals = HashMap<CustomerId, Long>()
    }

    private var peers = emptyMap<RouterId, FailureDomain>()
    private val domainPeers = LinkedHashMap<RouterId, DomainPeer>()
    private val lentTotals = HashMap<CustomerId, Long>()

    fun peersChanged(routers: Map<RouterId, FailureDomain>, now: Duration) {
        peers = routers
        for ((router, peerDomain) in routers) {
            if (peerDomain != domain || router in domainPeers) continue
            domainPeers[router] = DomainPeer()
            announce(router, now)
        }
    }

    /** Stops waiting for confirmations of the dead [router], which can't close slices. */
    fun onRouterDied(router: RouterId) {
        domainPeers -= router
    }

    /** Repeats lent totals that a reachable router of this domain hasn't confirmed. */
    fun tick(now: Duration) {
        for ((router, peer) in domainPeers) {
            val due = now - peer.lastSentAt >= settings.answerTtl
            if (due && router in peers && !upToDate(peer)) announce(router, now)
        }
    }

    /** Answers a loan request; lends no further tokens unless [maySpend]. */
    fun lend(
        account: Account,
        from: RouterId,
        request: BudgetMessage.LoanRequest,
        maySpend: Boolean,
        now: Duration
    ) {
        val total = account.lentTo[from] ?: 0
        if (from in account.unsentLoans) return
        val spare = if (maySpend) spare(account, now) else 0
        val amount = minOf(request.tokens, spare)
        if (request.received < total || amount <= 0) {
            // The total repeats a loan that may have been lost, or declines the request.
            send(from, BudgetMessage.Loan(account.customer, total))
            return
        }
        account.lent += amount
        account.lentTo[from] = total + amount
        account.unsentLoans[from] = UnsentLoan(amount, account.lent)
        lentTotals[account.customer] = account.lent
        for ((router, peer) in domainPeers) {
            val message = mapOf(account.customer to account.lent)
            if (peer.isComplete) send(router, BudgetMessage.LentTotals(message, false))
        }
        sendCovered(account, maySpend)
    }

    private fun spare(account: Account, now: Duration): Long = account.free -
        account.waiting.sumOf { it.tokens } - sizing.demandOver(account, settings.endSpan, now)

    /** Sends the loans that the record or all routers of this failure domain have recorded. */
    fun sendCovered(account: Account, maySpend: Boolean) {
        if (!maySpend || account.unsentLoans.isEmpty()) return
        val confirmedLent = domainPeers.values.minOfOrNull { peer ->
            if (peer.isComplete) peer.confirmedTotals[account.customer] ?: 0 else 0
        }
        // Without domain peers no router closes the slice from a copy: no confirmation is needed.
        val covered = maxOf(confirmedLent ?: Long.MAX_VALUE, account.confirmedSlice?.lent ?: 0)
        val ready = account.unsentLoans.filterValues { it.lent <= covered }.keys
        for (borrower in ready) {
            account.unsentLoans -= borrower
            val total = account.lentTo.getValue(borrower)
            send(borrower, BudgetMessage.Loan(account.customer, total))
        }
    }

    /** Takes back the unsent loans; nothing may be lent afterwards. */
    fun cancel(account: Account) {
        for ((borrower, loan) in account.unsentLoans) {
            account.lent -= loan.tokens
            account.lentTo.computeIfPresent(borrower) { _, total -> total - loan.tokens }
        }
        account.unsentLoans.clear()
    }

    fun onTotalsConfirmed(from: RouterId, message: BudgetMessage.LentTotalsNoted) {
        val peer = domainPeers[from] ?: return
        for ((customer, total) in message.totals) {
            peer.confirmedTotals.merge(
                customer,
                total,
                ::maxOf
            )
        }
        if (message.complete) peer.isComplete = true
    }

    /** Adds a loan received from [from]; false if it is a repetition or the slice is frozen. */
    fun receive(account: Account, from: RouterId, loan: BudgetMessage.Loan): Boolean {
        val known = account.borrowedFrom[from] ?: 0
        if (loan.total <= known || account.isFrozen) return false
        account.borrowed += loan.total - known
        account.borrowedFrom[from] = loan.total
        account.lastLoanRequestAt -= from
        return true
    }

    /**
     * Asks the peer with probably the most free tokens for those that waiting requests lack, and
     * for the demand over [BudgetSettings.refillThresholdSpan].
     */
    fun requestLoan(account: Account, now: Duration) {
        val slices = account.record.slices
        // Near the end of a budget tokens become free in small amounts, which makes an earlier
        // retry of the same lender worthwhile.
        val retryInterval = if (sizing.isEnding(
                account,
                now
            )
        ) {
            settings.grantWait
        } else {
            settings.answerTtl
        }
        val awaitsAnswer = account.lastLoanRequestAt.values.any {
            now - it <
                settings.loanAnswerTimeout
        }
        if (awaitsAnswer) return
        val lender = peers.keys
            .filter { now - (account.lastLoanRequestAt[it] ?: -Duration.INFINITE) >= retryInterval }
            .maxByOrNull { slices[it]?.free ?: 0 } ?: return
        account.lastLoanRequestAt[lender] = now
        val tokens =
            account.shortage + sizing.demandOver(account, settings.refillThresholdSpan, now)
        val received = account.borrowedFrom[lender] ?: 0
        send(lender, BudgetMessage.LoanRequest(account.customer, tokens, received))
    }

    private fun upToDate(peer: DomainPeer): Boolean = peer.isComplete &&
        lentTotals.all { (customer, total) -> (peer.confirmedTotals[customer] ?: 0) >= total }

    private fun announce(router: RouterId, now: Duration) {
        domainPeers.getValue(router).lastSentAt = now
        send(router, BudgetMessage.LentTotals(lentTotals.toMap(), true))
    }
}
