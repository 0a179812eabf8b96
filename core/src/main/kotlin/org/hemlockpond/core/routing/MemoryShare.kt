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

    private class Account {
        var lent = 0L
        var givenBack = 0L
        var borrowed = 0L
        var returned = 0L
    }

    private val accounts = HashMap<RouterId, Account>(0)
    private var adjustment = 0L

    /** What this router's requests may hold now. */
    val limit: Long get() = base + adjustment

    /** Whether any loan, in either direction, isn't settled. */
    val isOpen: Boolean
        get() = accounts.values.any { it.lent > it.givenBack || it.borrowed > it.returned }

    val borrowing: Long get() = accounts.values.sumOf { it.borrowed - it.returned }

    /** Lends [tokens]; returns the cumulative total for the message. */
    fun lend(to: RouterId, tokens: Long): Long {
        val account = accounts.getOrPut(to) { Account() }
        account.lent += tokens
        adjustment -= tokens
        return account.lent
    }

    /** A loan arrived; a repeated or older total changes nothing. */
    fun borrowed(from: RouterId, total: Long): Boolean {
        val account = accounts.getOrPut(from) { Account() }
        val news = total - account.borrowed
        if (news <= 0) return false
        account.borrowed = total
        adjustment += news
        return true
    }

    /** The total returned to [lender] so far. */
    fun returnedTo(lender: RouterId): Long = accounts[lender]?.returned ?: 0

    /** Gives up to [tokens] back to the lenders; returns the cumulative total for each message. */
    fun giveBack(tokens: Long): Map<RouterId, Long> {
        var rest = tokens
        val totals = HashMap<RouterId, Long>()
        for ((lender, account) in accounts) {
            val part = min(rest, account.borrowed - account.returned)
            if (part <= 0) continue
            account.returned += part
            rest -= part
            totals[lender] = account.returned
        }
        adjustment -= tokens - rest
        return totals
    }

    /** A borrower gave tokens back; a repeated or older total changes nothing. */
    fun returned(from: RouterId, total: Long): Boolean {
        val account = accounts[from] ?: return false
        val news = min(total, account.lent) - account.givenBack
        if (news <= 0) return false
        account.givenBack += news
        adjustment += news
        return true
    }

    /** Loans that aren't given back yet, as cumulative totals by borrower. */
    fun openLoans(): Map<RouterId, Long> =
        accounts.filterValues { it.lent > it.givenBack }.mapValues { it.value.lent }

    /** The router is proven dead: its loans are void in both directions. */
    fun forget(router: RouterId) {
        val account = accounts.remove(router) ?: return
        adjustment += account.lent - account.givenBack
        adjustment -= account.borrowed - account.returned
    }
}
