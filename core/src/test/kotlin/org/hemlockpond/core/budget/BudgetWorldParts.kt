/*
 * Settings, routers and loans of the simulation. They record what each router really did,
 * independent of the code under test.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

internal val testSettings = BudgetSettings(
    routerLease = 3.seconds,
    leaseMargin = 300.milliseconds,
    grantSpan = 3.seconds,
    refillThresholdSpan = 300.milliseconds,
    reportInterval = 500.milliseconds,
    idleReportInterval = 2.seconds,
    demandTimeConstant = 2.seconds,
    endHorizon = 1.seconds,
    endSpan = 100.milliseconds,
    storeTimeout = 400.milliseconds,
    closeWithoutCopyDelay = 1.seconds
)

internal class Router(val id: RouterId, val domain: FailureDomain, val holder: BudgetHolder) {
    var alive = true
    var paused = false
    var declaredDead = false
    var drained = false
    var suspended = 0L
    var lastRenewal = 0L
    val backlog = ArrayList<BudgetEvent>()
    val waiting = HashMap<RequestId, TestRequest>()
    val open = HashMap<RequestId, TestRequest>()
    val settled = HashMap<CustomerId, Long>()

    fun copies(): Map<CustomerId, SpendCopy> {
        val customers = settled.keys + open.values.map { it.customer }
        return customers.associateWith { c ->
            SpendCopy(settled[c] ?: 0, open.values.filter { it.customer == c }.sumOf { it.tokens })
        }
    }
}

/** A budget record and its revision in the simulated store. */
internal class StoredRecord(var revision: Long = 0, var record: BudgetRecord = BudgetRecord()) {
    /** Writes by compare-and-swap. */
    fun swap(action: BudgetAction.WriteRecord): WriteOutcome {
        if (revision != action.expectedRevision) return WriteOutcome.Conflict
        check(action.record.available >= 0) { "${action.record} grants more than was paid" }
        record = action.record
        revision++
        return WriteOutcome.Applied(revision)
    }
}

internal class TestRequest(val customer: CustomerId, val tokens: Long, val used: Long, val at: Long)

/** Loan totals by lender and borrower, taken from the messages sent and received. */
internal class LoanTracker {
    private data class Loan(val customer: CustomerId, val lender: RouterId, val borrower: RouterId)

    private val sent = HashMap<Loan, Long>()
    private val received = HashMap<Loan, Long>()

    fun sent(message: BudgetMessage.Loan, from: RouterId, to: RouterId) {
        sent.merge(Loan(message.customer, from, to), message.total, ::maxOf)
    }

    fun received(message: BudgetMessage.Loan, from: RouterId, to: RouterId) {
        received.merge(Loan(message.customer, from, to), message.total, ::maxOf)
    }

    fun lost(customer: CustomerId): Long = sent.total { it.customer == customer } -
        received.total { it.customer == customer }

    /** Tokens granted to or borrowed by [router], less what it lent. */
    fun held(customer: CustomerId, router: RouterId, record: BudgetRecord): Long {
        val slice = record.slices[router]
        val lent = sent.total { it.customer == customer && it.lender == router }
        val got = received.filterKeys { it.customer == customer && it.borrower == router }
        // The record doesn't show a loan that its borrower hadn't reported when the lender's slice
        // was closed.
        val fromClosed = got.total { it.lender !in record.slices }
        val unreported = maxOf(0, got.values.sum() - (slice?.borrowed ?: 0))
        return (slice?.granted ?: 0) - lent + got.values.sum() - minOf(unreported, fromClosed)
    }

    private fun Map<Loan, Long>.total(select: (Loan) -> Boolean): Long =
        entries.sumOf { (loan, tokens) -> if (select(loan)) tokens else 0 }
}
