/*
 * The part of one endpoint's memory that this router may fill. The parts of all routers add up to
 * no more than the memory, whether or not the routers see one another. A router may lend what it
 * doesn't use: it lowers its own part before it sends the loan, so a lost message strands tokens
 * and none is ever counted twice.
 */
package org.hemlockpond.core.routing

import kotlin.math.min
import org.hemlockpond.core.RouterId

internal class MemoryShare {
    /** This router's part without loans. */
    var base = 0L

    private class LoanAccount {
        var lent = 0L
        var returnedByBorrower = 0L
        var borrowed = 0L
        var returnedToLender = 0L
    }

    private val accounts = HashMap<RouterId, LoanAccount>(0)
    private var loanBalance = 0L

    /** What this router's requests may hold now. */
    val limit: Long get() = base + loanBalance

    /** Whether any loan, in either direction, isn't settled. */
    val hasOpenLoans: Boolean
        get() = accounts.values.any {
            it.lent > it.returnedByBorrower || it.borrowed > it.returnedToLender
        }

    val borrowedTokens: Long get() = accounts.values.sumOf { it.borrowed - it.returnedToLender }

    /** Lends [tokens]; returns the cumulative total for the message. */
    fun lend(to: RouterId, tokens: Long): Long {
        val account = accounts.getOrPut(to) { LoanAccount() }
        account.lent += tokens
        loanBalance -= tokens
        return account.lent
    }

    /** A loan arrived; a repeated or older total changes nothing. */
    fun receiveLoan(from: RouterId, total: Long): Boolean {
        val account = accounts.getOrPut(from) { LoanAccount() }
        val increase = total - account.borrowed
        if (increase <= 0) return false
        account.borrowed = total
        loanBalance += increase
        return true
    }

    /** The total returned to [lender] so far. */
    fun totalReturnedTo(lender: RouterId): Long = accounts[lender]?.returnedToLender ?: 0

    /** Gives up to [tokens] back to the lenders; returns the cumulative total for each message. */
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

    /** A borrower gave tokens back; a repeated or older total changes nothing. */
    fun receiveReturn(from: RouterId, total: Long): Boolean {
        val account = accounts[from] ?: return false
        val increase = min(total, account.lent) - account.returnedByBorrower
        if (increase <= 0) return false
        account.returnedByBorrower += increase
        loanBalance += increase
        return true
    }

    /** Loans that aren't given back yet, as cumulative totals by borrower. */
    fun openLoans(): Map<RouterId, Long> =
        accounts.filterValues { it.lent > it.returnedByBorrower }.mapValues { it.value.lent }

    /** The router is proven dead: its loans are void in both directions. */
    fun removeRouter(router: RouterId) {
        val account = accounts.remove(router) ?: return
        loanBalance += account.lent - account.returnedByBorrower
        loanBalance -= account.borrowed - account.returnedToLender
    }
}
