/*
 * The constants of routing, with the reason for each value.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a [Dispatcher].
 *
 * @property tickInterval how often the router sends [RoutingEvent.Tick]
 * @property routersPerDomain the most routers that may run in this router's failure domain, seen or
 *   not. An endpoint's memory stays safe without messages only while this holds.
 * @property routersElsewhere the most routers that may run outside the failure domain of any one
 *   endpoint
 * @property remoteShare the part of an endpoint's memory for routers of other failure domains
 * @property memoryReserve the part of an endpoint's memory that isn't given out; it absorbs
 *   estimates of the prompt that are too low
 * @property longShare the part of a router's share that classes after the first may fill, so that
 *   the first class finds room during a flood of long requests
 * @property maxLongPrefills long requests of one router that wait for their first token at an endpoint
 * @property prefillWeight how much more a prompt token counts as load until the first token comes
 * @property loadBound how far above the mean an endpoint's load may be and still be chosen for its
 *   cached prefix
 * @property freeLoad the load below which an endpoint is chosen for its cached prefix in any case
 * @property maxQueueLength the most requests that wait in one queue
 * @property priorityStep how much earlier one step of priority is served than its arrival
 * @property reservationWaitShare the part of its deadline that a request waits before one endpoint is kept
 *   free for it
 * @property retryRatio retries earned by each first attempt
 * @property retryBurst retries that may be saved up
 * @property maxAttempts attempts of one request
 * @property maxConsecutiveFailures failures in a row, of different content, that exclude an endpoint
 * @property exclusionShare the part of a route's endpoints that may be excluded for error answers;
 *   beyond it the requests are more likely at fault. Crashed endpoints are always excluded.
 * @property firstExclusion the first exclusion of an endpoint; doubles up to [maxExclusion]
 * @property probationRequests requests at once that an endpoint on probation gets at first
 * @property probationSuccesses answers in a row that end probation
 * @property firstTokenTimeout the longest wait for a first token, for an empty prompt
 * @property firstTokenTimeoutPerToken what each prompt token adds to [firstTokenTimeout]
 * @property hardTimeoutFactor after this many first-token timeouts an attempt is given up even if
 *   it can't be retried
 * @property leavingValidity how long an endpoint's own statement that it is leaving holds
 * @property reportValidity the age at which a load report is no longer used
 * @property loanIdleTimeout how long a loan may lie idle before it is returned
 * @property lenderReserve the part of its own share that a lender keeps for itself
 * @property maxBorrowPeers the most routers that are asked for one loan
 * @property borrowInterval the shortest time between two requests for a loan at one endpoint
 * @property repeatInterval the time between two sendings of a statement that others have to know
 * @property maxRepeats how often such a statement is sent after the first time
 * @property claimValidity the age at which an isolation or a claim that isn't renewed is void
 * @property suspectDelay the wait before a suspect is tried again, in which the verdicts of other
 *   routers arrive
 * @property verdictRetention how long verdicts are kept
 * @property maxVerdicts the most verdicts that are kept
 * @property isolationShare the part of a route's endpoints that may run suspects at a time
 * @property maxIsolationWait the longest wait for other routers' work to leave an endpoint that a
 *   suspect is to have alone
 */
data class RoutingSettings(
    val tickInterval: Duration = 50.milliseconds,
    val routersPerDomain: Int = 3,
    val routersElsewhere: Int = 6,
    val remoteShare: Double = 0.2,
    val memoryReserve: Double = 0.05,
    val longShare: Double = 0.85,
    val maxLongPrefills: Int = 1,
    val prefillWeight: Double = 6.0,
    val loadBound: Double = 1.25,
    val freeLoad: Double = 0.25,
    val maxQueueLength: Int = 2_000,
    val priorityStep: Duration = 250.milliseconds,
    val reservationWaitShare: Double = 0.5,
    val retryRatio: Double = 0.1,
    val retryBurst: Double = 10.0,
    val maxAttempts: Int = 3,
    val maxConsecutiveFailures: Int = 3,
    val exclusionShare: Double = 0.5,
    val firstExclusion: Duration = 1.seconds,
    val maxExclusion: Duration = 1.minutes,
    val probationRequests: Int = 1,
    val probationSuccesses: Int = 3,
    val firstTokenTimeout: Duration = 5.seconds,
    val firstTokenTimeoutPerToken: Duration = 0.5.milliseconds,
    val hardTimeoutFactor: Int = 4,
    val leavingValidity: Duration = 1.minutes,
    val reportValidity: Duration = 5.seconds,
    val loanIdleTimeout: Duration = 500.milliseconds,
    val lenderReserve: Double = 0.125,
    val maxBorrowPeers: Int = 4,
    val borrowInterval: Duration = 100.milliseconds,
    val repeatInterval: Duration = 1.seconds,
    val maxRepeats: Int = 3,
    val claimValidity: Duration = 4.seconds,
    val suspectDelay: Duration = 500.milliseconds,
    val verdictRetention: Duration = 60.minutes,
    val maxVerdicts: Int = 10_000,
    val isolationShare: Double = 0.25,
    val maxIsolationWait: Duration = 2.seconds
)
