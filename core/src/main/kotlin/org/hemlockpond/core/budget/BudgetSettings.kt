/*
 * Settings of the budget component. The defaults are those of the deployments of section 1.3.
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
 * @property grantWait how long a request waits for a grant or loan before it is refused
 * @property routerLease the lease of a router in the store
 * @property leaseMargin how long before the end of the lease the holder stops spending
 * @property grantSpan the span of demand that a refill covers; `wanted` uses the same span
 * @property refillThresholdSpan a refill starts when the free tokens cover less than this span of demand
 * @property reportAlignment reports are due at multiples of this time, so that those of all customers go
 *   into one store call; zero if they aren't aligned
 * @property reportInterval the shortest time between two periodic reports of one failure domain
 * @property idleReportInterval the longest time that changed spend stays unreported
 * @property advanceShare share of the remaining tokens that is granted ahead of use
 * @property advanceTaperExponent how fast less is granted ahead as a budget runs out: the share is multiplied
 *   by the remaining part of the budget to this power. A lost slice is made good by tokens that
 *   remain only while many remain.
 * @property evenShare the part of what is granted ahead that all holders get alike, whether they have
 *   demand or not; callers move to other hosts while these can't reach the store
 * @property minHolders the holders that tokens are split among at least; others may not have
 *   shown themselves yet
 * @property demandTimeConstant time constant of the demand average
 * @property minDemandWindow the time over which the first tokens are averaged, as long as less has
 *   passed
 * @property endHorizon when the remaining tokens cover less than this span of the demand of all
 *   holders, grants shrink to [endSpan] of demand and the rest stays in the record
 * @property endSpan the span of demand that a grant covers near the end of a budget
 * @property storeTimeout a store call without answer counts as lost after this time
 * @property minReadInterval the shortest time between two reads of one record for waiting requests
 * @property answerTtl how long an answer of the store or of a lender that there are no more tokens
 *   is relied on; bounds the reads and messages that an exhausted budget causes
 * @property hasNoPeers whether there are no peers that could lend tokens
 * @property spendMarks how the use of a router that ends without a word is bounded; null if it isn't
 * @property loanAnswerTimeout how long the next lender is not asked while one hasn't answered
 * @property closeWithoutCopyDelay how long a router without a copy leaves the slices of a dead router to
 *   routers that hold one
 */
data class BudgetSettings(
    val grantWait: Duration = 200.milliseconds,
    val routerLease: Duration = 6.hours,
    val leaseMargin: Duration = 1.minutes,
    val grantSpan: Duration = 1.minutes,
    val refillThresholdSpan: Duration = 5.seconds,
    val reportInterval: Duration = 10.seconds,
    val idleReportInterval: Duration = 1.minutes,
    val reportAlignment: Duration = Duration.ZERO,
    val advanceShare: Double = 0.95,
    val advanceTaperExponent: Double = 0.0,
    val evenShare: Double = 0.0,
    val minHolders: Int = 1,
    val demandTimeConstant: Duration = 2.minutes,
    val minDemandWindow: Duration = 10.seconds,
    val endHorizon: Duration = 1.minutes,
    val endSpan: Duration = 1.seconds,
    val storeTimeout: Duration = 1.seconds,
    val minReadInterval: Duration = 50.milliseconds,
    val answerTtl: Duration = 1.seconds,
    val hasNoPeers: Boolean = false,
    val spendMarks: SpendMarkSettings? = null,
    val loanAnswerTimeout: Duration = 50.milliseconds,
    val closeWithoutCopyDelay: Duration = 10.minutes
) {
    init {
        require(leaseMargin < routerLease) { "leaseMargin must be shorter than routerLease" }
        require(advanceShare in 0.0..1.0) { "placedShare is $advanceShare, not within 0..1" }
        require(evenShare in 0.0..1.0) { "evenPart is $evenShare, not within 0..1" }
    }
}
