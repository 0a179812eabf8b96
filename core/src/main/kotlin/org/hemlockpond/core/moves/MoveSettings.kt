package org.hemlockpond.core.moves

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the version-move component.
 *
 * @property eValueThreshold the e-value at which a version counts as worse. By Ville's inequality,
 *   a test reaches it for a good version with probability at most `1 / eValueThreshold`
 * @property minPeriodLength the shortest length of the periods within which versions are compared
 * @property maxPeriods the largest number of periods of one move; long moves get longer periods
 * @property overloadThreshold the load, as a fraction of the capacity, from which a failure domain
 *   counts as overloaded
 * @property loadLevels the number of load levels below [overloadThreshold]
 * @property firstTokenWait the wait after which a missing first token is reported as slow
 * @property reportInterval the interval of evidence reports to the peers
 * @property urgentReportInterval the shortest interval of evidence reports while the new version
 *   fails requests
 * @property latencyTestInterval the interval of the latency tests
 * @property resendInterval the interval at which recent counters and stops are sent again
 * @property leaseMargin how long before the end of its lease a controller stops acting
 * @property quietPeriod how long a new controller waits before it sends orders to endpoints that
 *   don't check fencing numbers; longer than an order of an earlier controller can be in flight
 * @property orderTimeout the time after which an unanswered order is sent again
 * @property orderRetryDelay the delay before an order is sent again to an endpoint that failed it
 * @property readBackInterval the interval at which the version of an endpoint that doesn't check
 *   fencing numbers is read back, because a late order of an earlier controller may have changed it
 * @property settleTime how long after the deadline of an ended move the endpoints are still checked
 * @property writeTimeout the time after which the record of an unanswered write is read back
 */
data class MoveSettings(
    val eValueThreshold: Double = 1000.0,
    val minPeriodLength: Duration = 5.seconds,
    val maxPeriods: Int = 240,
    val overloadThreshold: Double = 0.8,
    val loadLevels: Int = 3,
    val firstTokenWait: Duration = 5.seconds,
    val reportInterval: Duration = 500.milliseconds,
    val urgentReportInterval: Duration = 100.milliseconds,
    val latencyTestInterval: Duration = 1.seconds,
    val resendInterval: Duration = 5.seconds,
    val leaseMargin: Duration = 2.seconds,
    val quietPeriod: Duration = 10.seconds,
    val orderTimeout: Duration = 120.seconds,
    val orderRetryDelay: Duration = 5.seconds,
    val readBackInterval: Duration = 30.seconds,
    val settleTime: Duration = 600.seconds,
    val writeTimeout: Duration = 2.seconds
)
