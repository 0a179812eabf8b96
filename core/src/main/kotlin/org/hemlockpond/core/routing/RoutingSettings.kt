/*
 * Settings of the routing decisions and their defaults.
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
 * @property routersPerDomain maximum number of routers in this router's failure domain, including
 *   unreachable ones. Endpoint memory can be overcommitted if more run without seeing each other.
 * @property routersElsewhere maximum number of routers outside the failure domain of an endpoint
 * @property remoteShare the part of an endpoint's memory for routers of other failure domains
 * @property memoryReserve the part of an endpoint's memory kept free for prompt estimates that are
 *   too low
 * @property longShare the part of a router's share that classes after the first may use, so that
 *   the first class has room during a flood of long requests
 * @property maxLongPrefills maximum number of long requests of this router that await their first
 *   token at one endpoint
 * @property prefillWeight weight of a prompt token in the load until the first token arrives
 * @property loadBound maximum ratio of an endpoint's load to the mean at which it is chosen for its
 *   cached prefix
 * @property freeLoad load up to which an endpoint is chosen for its cached prefix regardless of the
 *   mean
 * @property maxQueueLength maximum number of requests in one queue
 * @property priorityStep queue time that one step of priority is worth
 * @property reservationWaitShare the part of its queue time limit that a long request waits before
 *   an endpoint is reserved for it
 * @property retryRatio retry credit added by each first attempt
 * @property retryBurst maximum retry credit
 * @property maxAttempts maximum number of attempts of one request
 * @property maxConsecutiveFailures consecutive failures of different content after which an
 *   endpoint is excluded
 * @property exclusionShare maximum part of a route's endpoints excluded for error answers; if more
 *   fail, the requests are the likelier cause. Crashed endpoints are always excluded.
 * @property firstExclusion duration of the first exclusion of an endpoint; doubles up to
 *   [maxExclusion]
 * @property probationRequests concurrent requests to an endpoint at the start of probation
 * @property probationSuccesses consecutive successful answers that end probation
 * @property firstTokenTimeout maximum wait for the first token of an empty prompt
 * @property firstTokenTimeoutPerToken time added to [firstTokenTimeout] per prompt token
 * @property hardTimeoutFactor multiple of the first-token timeout after which an attempt is aborted
 *   even if it can't be retried
 * @property leavingValidity how long an endpoint's own report that it is leaving is valid
 * @property reportValidity maximum age of a load report
 * @property loanIdleTimeout idle time after which a loan is returned
 * @property lenderReserve the part of its own share that a lender keeps for itself
 * @property maxBorrowPeers maximum number of routers asked for one loan
 * @property borrowInterval minimum time between two loan requests for one endpoint; doubles while
 *   they remain unanswered
 * @property repeatInterval time between repetitions of a message that all routers need to receive
 * @property maxRepeats number of repetitions of such a message
 * @property claimValidity time after which an isolation or a claim expires unless it is renewed
 * @property suspectDelay wait before suspect content is retried, in which the verdicts of other
 *   routers arrive
 * @property verdictRetention how long verdicts are kept
 * @property maxVerdicts maximum number of verdicts kept
 * @property isolationShare maximum part of a route's endpoints isolated at the same time
 * @property maxIsolationWait maximum wait for other routers' requests to end on an isolated
 *   endpoint
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
