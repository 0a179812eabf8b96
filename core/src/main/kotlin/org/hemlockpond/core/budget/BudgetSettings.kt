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
 * @property lowSpan a refill starts when the free tokens cover less than this span of demand
 * @property reportGrid reports are due at multiples of this time, so that those of all customers go
 *   into one store call; zero if they aren't aligned
 * @property reportInterval the shortest time between two periodic reports of one failure domain
 * @property idleReportInterval the longest time that changed spend stays unreported
 * @property placedShare share of the remaining tokens that is granted ahead of use
 * @property placedTaper how fast less is granted ahead as a budget runs out: the share is multiplied
 *   by the remaining part of the budget to this power. A lost slice is made good by tokens that
 *   remain only while many remain.
 * @property evenPart the part of what is granted ahead that all holders get alike, whether they have
 *   demand or not; callers move to other hosts while these can't reach the store
 * @property fewestHolders the holders that tokens are split among at least; others may not have
 *   shown themselves yet
 * @property demandSpan time constant of the demand average
 * @property demandStart the time over which the first tokens are averaged, as long as less has
 *   passed
 * @property endHorizon when the remaining tokens cover less than this span of the demand of all
 *   holders, grants shrink to [endSpan] of demand and the rest stays in the record
 * @property endSpan the span of demand that a grant covers near the end of a budget
 * @property storeTimeout a store call without answer counts as lost after this time
 * @property readInterval the shortest time between two reads of one record for waiting requests
 * @property knownFor how long an answer of the store or of a lender that there are no more tokens
 *   is relied on; bounds the reads and messages that an exhausted budget causes
 * @property peerless whether there are no peers that could lend tokens
 * @property marks how the use of a router that ends without a word is bounded; null if it isn't
 * @property loanAnswer how long the next lender is not asked while one hasn't answered
 * @property copylessDelay how long a router without a copy leaves the slices of a dead router to
 *   routers that hold one
 */
data class BudgetSettings(
    val grantWait: Duration = 200.milliseconds,
    val routerLease: Duration = 6.hours,
    val leaseMargin: Duration = 1.minutes,
    val grantSpan: Duration = 1.minutes,
    val lowSpan: Duration = 5.seconds,
    val reportInterval: Duration = 10.seconds,
    val idleReportInterval: Duration = 1.minutes,
    val reportGrid: Duration = Duration.ZERO,
    val placedShare: Double = 0.95,
    val placedTaper: Double = 0.0,
    val evenPart: Double = 0.0,
    val fewestHolders: Int = 1,
    val demandSpan: Duration = 2.minutes,
    val demandStart: Duration = 10.seconds,
    val endHorizon: Duration = 1.minutes,
    val endSpan: Duration = 1.seconds,
    val storeTimeout: Duration = 1.seconds,
    val readInterval: Duration = 50.milliseconds,
    val knownFor: Duration = 1.seconds,
    val peerless: Boolean = false,
    val marks: MarkSettings? = null,
    val loanAnswer: Duration = 50.milliseconds,
    val copylessDelay: Duration = 10.minutes
) {
    init {
        require(leaseMargin < routerLease) { "leaseMargin must be shorter than routerLease" }
        require(placedShare in 0.0..1.0) { "placedShare is $placedShare, not within 0..1" }
        require(evenPart in 0.0..1.0) { "evenPart is $evenPart, not within 0..1" }
    }
}
