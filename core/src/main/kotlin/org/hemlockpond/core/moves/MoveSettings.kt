package org.hemlockpond.core.moves

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the version-move component.
 *
 * @property threshold the e-value at which a version counts as worse. By Ville's inequality a test
 *   reaches it for a good version with probability at most `1 / threshold`
 * @property shortestPeriod the length of the periods within which versions are compared
 * @property longestSeries the most periods of one move; long moves get longer periods
 * @property overload the load from which a failure domain counts as overloaded
 * @property loadLevels the load levels below [overload] that are kept apart
 * @property firstTokenWait the wait after which a missing first token is reported as slow
 * @property exchangeInterval the time between evidence reports to the peers
 * @property urgentInterval the time between reports while the new version fails requests
 * @property latencyInterval the time between judgements of latencies
 * @property repeatInterval the time after which recent counters and notices are sent again
 * @property leaseMargin how long before the end of its lease a controller stops
 * @property quietPeriod how long a new controller waits before it speaks to endpoints that don't
 *   check fencing numbers; longer than an order of an earlier controller can be under way
 * @property orderTimeout the time after which an unanswered order is sent again
 * @property orderRetry the time before an order is sent again to an endpoint that failed it
 * @property readInterval how often an endpoint that doesn't check fencing numbers is read back,
 *   because a late order of an earlier controller may have changed it
 * @property settleTime how long after the deadline of an ended move endpoints are still read back
 * @property writeTimeout the time after which an unanswered write is read back
 */
data class MoveSettings(
    val threshold: Double = 1000.0,
    val shortestPeriod: Duration = 5.seconds,
    val longestSeries: Int = 240,
    val overload: Double = 0.8,
    val loadLevels: Int = 3,
    val firstTokenWait: Duration = 5.seconds,
    val exchangeInterval: Duration = 500.milliseconds,
    val urgentInterval: Duration = 100.milliseconds,
    val latencyInterval: Duration = 1.seconds,
    val repeatInterval: Duration = 5.seconds,
    val leaseMargin: Duration = 2.seconds,
    val quietPeriod: Duration = 10.seconds,
    val orderTimeout: Duration = 120.seconds,
    val orderRetry: Duration = 5.seconds,
    val readInterval: Duration = 30.seconds,
    val settleTime: Duration = 600.seconds,
    val writeTimeout: Duration = 2.seconds
)
