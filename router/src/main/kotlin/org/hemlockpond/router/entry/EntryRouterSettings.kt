/*
 * Settings of an entry router. The platform adapter reads them from the platform's settings file.
 */
package org.hemlockpond.router.entry

import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.budget.BudgetSettings
import org.hemlockpond.core.entry.EntrySettings
import org.hemlockpond.core.entry.entryBudgetSettings

/**
 * @property host the name of this host; a restarted process has the same one
 * @property callerAddress where callers connect
 * @property readinessAddress where the platform asks whether this host takes callers
 * @property metricsAddress where counters and histograms are served
 * @property storeAddress the platform's store
 * @property stopLimit the time between the signal to stop and the end of the process
 * @property stopDelay how long callers may still open connections after the signal to stop; the
 *   platform needs two missed questions, a second apart, to send them elsewhere
 * @property watchPollTimeout how long one call of a watch waits for changes; a silent connection is found
 *   after this time and a second
 * @property endpointWatchPause the time between two calls of the watch of the endpoint list, which
 *   changes with every heartbeat of an endpoint; a leaving endpoint may get requests for 2 s
 * @property storeSilenceLimit when a host that hears nothing from the store stops asking for callers; a
 *   watch answers each [watchPollTimeout]
 * @property storeTimeout when a call to the store counts as unanswered
 * @property storeRetryDelay the time between two calls to a store that doesn't answer
 * @property connectTimeout when an endpoint counts as unreachable; domains are about 1 ms apart
 * @property maxBufferedAnswerBytes a plain answer up to this size is held until it is whole
 * @property idleConnectionTimeout how long a connection to an endpoint stays unused, unless the endpoint
 *   says otherwise
 * @property idleTimeoutMargin how long before an endpoint's own limit a connection is no longer used
 * @property tickInterval the period of the decisions that depend on time alone
 */
data class EntryRouterSettings(
    val host: String,
    val domain: FailureDomain,
    val callerAddress: InetSocketAddress,
    val readinessAddress: InetSocketAddress,
    val metricsAddress: InetSocketAddress,
    val storeAddress: InetSocketAddress,
    val stopLimit: Duration = 8.seconds,
    val stopDelay: Duration = 2_500.milliseconds,
    val watchPollTimeout: Duration = 1_500.milliseconds,
    val endpointWatchPause: Duration = 250.milliseconds,
    val storeSilenceLimit: Duration = 2_200.milliseconds,
    val storeTimeout: Duration = 700.milliseconds,
    val storeRetryDelay: Duration = 250.milliseconds,
    val connectTimeout: Duration = 300.milliseconds,
    val maxBufferedAnswerBytes: Int = 64 * 1024,
    val idleConnectionTimeout: Duration = 4.seconds,
    val idleTimeoutMargin: Duration = 400.milliseconds,
    val tickInterval: Duration = 25.milliseconds,
    val entry: EntrySettings = EntrySettings(),
    val budget: BudgetSettings = entryBudgetSettings
)
