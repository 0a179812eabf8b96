/*
 * The share of one endpoint's memory that this router may fill. The shares of all routers never add
 * up to more than the memory, even while routers can't reach each other. A router may lend memory
 * that it doesn't use. It lowers its own share before it sends the loan, so a lost message leaves
 * tokens unused, but no token is counted twice.
 */
package org.hemlockpond.core.routing

import kotlin.math.min
import org.hemlockpond.core.RouterId

internal class MemoryShare {
    /** This router's share without loans, in tokens or in requests of a plain service. */
    var base = 0L

    private class LoanAccount {
        var lent = 0L
        var returnedByBorrower = 0L
        var borrowed = 0L
        var returnedToLender = 0L
    }

    private val accounts = HashMap<RouterId, LoanAccount>(0)
    private var loanBalance = 0L

    /** The share including loans. */
    val limit: Long get() = base + loanBalance

    /** Whether a loan in either direction isn't fully returned. */
    val hasOpenLoans: Boolean
        get() = accounts.values.any {
            it.lent > it.returnedByBorrower || it.borrowed > it.returnedToLender
        }

    val borrowedTokens: Long get() = accounts.values.sumOf { it.borrowed - it.returnedToLender }

    /** Lends [tokens] and returns the total lent to the router so far. */
    fun lend(to: RouterId, tokens: Long): Long {
        val account = accounts.getOrPut(to) { LoanAccount() }
        account.lent += tokens
        loanBalance -= tokens
        return account.lent
    }

    /** Applies a received loan. Returns false if [total] is repeated or outdated. */
    fun receiveLoan(from: RouterId, total: Long): Boolean {
        val account = accounts.getOrPut(from) { LoanAccount() }
        val increase = total - account.borrowed
        if (increase <= 0) return false
        account.borrowed = total
        loanBalance += increase
        return true
    }

    /** Total returned to [lender] so far. */
    fun totalReturnedTo(lender: RouterId): Long = accounts[lender]?.returnedToLender ?: 0

    /** Returns up to [tokens] to the lenders, as the total returned to each so far. */
    fun returnLoans(tokens: Long): Map<RouterId, Long> {
        var rest = tokens
        val totals = HashMap<RouterId, Long>()
        for ((lender, account) in accounts) {
            val part = min(rest, account.borrowed - account.returnedToLender)
            if (part <= 0) continue
            account.returnedToLender += part
            rest -= part
            totals[lender] = account.returnedToLender
        }
        loanBalance -= tokens - rest
        return totals
    }

    /** Applies a return of a borrower. Returns false if [total] is repeated or outdated. */
    fun receiveReturn(from: RouterId, total: Long): Boolean {
        val account = accounts[from] ?: return false
        val increase = min(total, account.lent) - account.returnedByBorrower
        if (increase <= 0) return false
        account.returnedByBorrower += increase
        loanBalance += increase
        return true
    }

    /** Total lent so far to each borrower that hasn't returned everything. */
    fun openLoans(): Map<RouterId, Long> =
        accounts.filterValues { it.lent > it.returnedByBorrower }.mapValues { it.value.lent }

    /** Removes a router that is proven dead. Its loans become void in both directions. */
    fun removeRouter(router: RouterId) {
        val account = accounts.remove(router) ?: return
        loanBalance += account.lent - account.returnedByBorrower
        loanBalance -= account.borrowed - account.returnedToLender
    }
}
