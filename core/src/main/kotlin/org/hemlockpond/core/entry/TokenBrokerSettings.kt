/*
 * Settings of the reservations of tokens at homes.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a [TokenBroker].
 *
 * @property answerTimeout the time after which a message to a home counts as lost; several times the
 *   longest pause of a busy event loop
 * @property sendsPerHome how often a home is asked before it counts as silent
 * @property homesAsked the homes that are asked before this host uses a slice of its own
 * @property silencePause how long a host is passed over after its first silence
 * @property maxSilencePause how long a host is passed over at most
 * @property settleInterval the time between two reports of a use that isn't confirmed
 * @property holdMargin how much longer than asked a home keeps a reservation, for late reports
 * @property drainTime how long a stopping home waits for reports before it charges in full
 * @property remoteHomesAsked the hosts of other domains that are asked for one request that the own domain
 *   refused
 * @property remoteTime how long the search in other domains may delay a refusal
 * @property remoteRefusalTtl how long a refusal of a remote home holds for requests that need as many tokens
 *   or more
 * @property remoteAsksPerSecond the reservations that this host asks other domains for at most
 * @property homeGroups the groups of customers that share a home; the loss of a home delays the requests
 *   of one group
 */
data class TokenBrokerSettings(
    val answerTimeout: Duration = 120.milliseconds,
    val sendsPerHome: Int = 2,
    val homesAsked: Int = 2,
    val silencePause: Duration = 2.seconds,
    val maxSilencePause: Duration = 60.seconds,
    val settleInterval: Duration = 400.milliseconds,
    val holdMargin: Duration = 3.seconds,
    val drainTime: Duration = 1.seconds,
    val remoteHomesAsked: Int = 3,
    val remoteTime: Duration = 500.milliseconds,
    val remoteRefusalTtl: Duration = 200.milliseconds,
    val remoteAsksPerSecond: Int = 50,
    val homeGroups: Int = 3
) {
    init {
        require(homeGroups >= 1) { "homeGroups is $homeGroups, not at least 1" }
    }
}
