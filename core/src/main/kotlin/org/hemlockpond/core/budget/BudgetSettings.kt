/*
 * Settings of the budget component. The defaults fit the deployments in docs/design.md,
 * section 1.3.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [BudgetHolder].
 *
 * @property grantWait how long a request waits for a grant or a loan before it is refused; near the
 *   end of a budget also the time after which the same lender is asked again
 * @property routerLease duration of the router's lease in the store
 * @property leaseMargin how long before the end of its lease a router stops spending
 * @property grantSpan span of demand that a refill covers; [Slice.wanted] uses the same span
 * @property refillThresholdSpan a refill starts when the free tokens cover less than this span of
 *   demand
 * @property reportInterval mean time between two periodic reports of one failure domain
 * @property maxReportInterval longest time between two periodic reports of a slice
 * @property idleReportInterval time between two reports of a slice that holds unreserved tokens and
 *   whose use hasn't changed
 * @property reportAlignment reports are due at multiples of this duration, which lets one store
 *   call carry the reports of all customers; zero turns alignment off
 * @property reportSpread the difference between the report intervals of routers, and between the times
 *   to which their reports are aligned, as a share (0..1) of each; reports of one record at the same
 *   time conflict
 * @property advanceShare share (0..1) of the remaining tokens that is granted ahead of use
 * @property advanceTaperExponent the share granted ahead is multiplied by the remaining fraction of
 *   the budget raised to this power. Other tokens can replace a lost slice only while many remain.
 * @property evenShare share (0..1) of the tokens granted ahead that is split evenly among all
 *   holders, even those without demand. Callers may move to a host while it can't reach the store,
 *   so each host needs tokens in advance.
 * @property minHolders lower bound on the number of holders among which tokens are split; some
 *   holders may not have a slice yet
 * @property settleTime how long, after the start of a holder or the return of the store, the record may
 *   lack what other holders hold and have used. Idle holders adjust their slices after about twice this
 *   time.
 * @property joinShare the share (0..1) of the tokens which all holders are granted ahead of use that one
 *   holder is granted ahead within [settleTime] of its start
 * @property demandTimeConstant time constant of the demand average
 * @property minDemandWindow shortest time over which demand is averaged
 * @property endHorizon when the remaining tokens cover less than this span of the demand of all
 *   holders, grants shrink to [endSpan] of demand and the rest stays in the record
 * @property endSpan span of demand that a grant covers near the end of a budget
 * @property keeperRequests one holder keeps all remaining tokens once they cover fewer requests of the usual
 *   size than this, and the others return theirs; 0 turns this off. For holders that reserve at each other.
 * @property storeTimeout a store call without an answer counts as lost after this time
 * @property minReadInterval shortest time between two reads of one record for waiting requests
 * @property answerTtl how long the answer of the store or of a lender that no tokens are left stays
 *   valid; limits the reads and messages that an exhausted budget causes. It is also the age up to
 *   which a record counts as recently read, the time after which unconfirmed lent totals are sent
 *   again, the interval at which slices of dead routers are checked, and the report interval of a
 *   holder that returns idle tokens near the end of a budget.
 * @property hasNoPeers whether there are no peers that could lend tokens
 * @property spendMarks settings of the marks that bound the spend of a router that crashes; null
 *   turns marks off
 * @property loanAnswerTimeout how long to wait for the answer of one lender before asking the next
 * @property restoreTime how long holders have to write their slices again after the store has returned
 *   from an older copy; covers the time until each has noticed it, by the write of a spend mark at the
 *   latest, and a repeated write
 * @property closeWithoutCopyDelay how long a router without a copy waits before it closes the
 *   slices of a dead router, to give routers with a copy time to close them
 */
data class BudgetSettings(
    val grantWait: Duration = 200.milliseconds,
    val routerLease: Duration = 6.hours,
    val leaseMargin: Duration = 1.minutes,
    val grantSpan: Duration = 1.minutes,
    val refillThresholdSpan: Duration = 5.seconds,
    val reportInterval: Duration = 10.seconds,
    val maxReportInterval: Duration = Duration.INFINITE,
    val idleReportInterval: Duration = 1.minutes,
    val reportAlignment: Duration = Duration.ZERO,
    val reportSpread: Double = 0.0,
    val advanceShare: Double = 0.95,
    val advanceTaperExponent: Double = 0.0,
    val evenShare: Double = 0.0,
    val minHolders: Int = 1,
    val settleTime: Duration = Duration.ZERO,
    val joinShare: Double = 1.0,
    val demandTimeConstant: Duration = 2.minutes,
    val minDemandWindow: Duration = 10.seconds,
    val endHorizon: Duration = 1.minutes,
    val endSpan: Duration = 1.seconds,
    val keeperRequests: Int = 0,
    val storeTimeout: Duration = 1.seconds,
    val minReadInterval: Duration = 50.milliseconds,
    val answerTtl: Duration = 1.seconds,
    val hasNoPeers: Boolean = false,
    val spendMarks: SpendMarkSettings? = null,
    val loanAnswerTimeout: Duration = 50.milliseconds,
    val restoreTime: Duration = 6.seconds,
    val closeWithoutCopyDelay: Duration = 10.minutes
) {
    init {
        require(leaseMargin < routerLease) { "leaseMargin must be shorter than routerLease" }
        require(advanceShare in 0.0..1.0) { "advanceShare is $advanceShare, not within 0..1" }
        require(evenShare in 0.0..1.0) { "evenShare is $evenShare, not within 0..1" }
        require(reportSpread in 0.0..1.0) { "reportSpread is $reportSpread, not within 0..1" }
        require(keeperRequests >= 0) { "keeperRequests is $keeperRequests, not at least 0" }
        require(joinShare in 0.0..1.0) { "joinShare is $joinShare, not within 0..1" }
    }
}
