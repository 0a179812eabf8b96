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
 * @property callers where callers connect
 * @property readiness where the platform asks whether this host takes callers
 * @property metrics where counters and histograms are served
 * @property store the platform's store
 * @property stopLimit the time between the signal to stop and the end of the process
 * @property stopLinger how long callers may still open connections after the signal to stop; the
 *   platform needs two missed questions, a second apart, to send them elsewhere
 * @property watchWait how long one call of a watch waits for changes; a silent connection is found
 *   after this time and a second
 * @property endpointWatchPause the time between two calls of the watch of the endpoint list, which
 *   changes with every heartbeat of an endpoint; a leaving endpoint may get requests for 2 s
 * @property cutOffAfter when a host that hears nothing from the store stops asking for callers; a
 *   watch answers each [watchWait]
 * @property storeTimeout when a call to the store counts as unanswered
 * @property storePause the time between two calls to a store that doesn't answer
 * @property connectTimeout when an endpoint counts as unreachable; domains are about 1 ms apart
 * @property heldAnswerBytes a plain answer up to this size is held until it is whole
 * @property idleConnection how long a connection to an endpoint stays unused, unless the endpoint
 *   says otherwise
 * @property idleMargin how long before an endpoint's own limit a connection is no longer used
 * @property tick the period of the decisions that depend on time alone
 */
data class EntryRouterSettings(
    val host: String,
    val domain: FailureDomain,
    val callers: InetSocketAddress,
    val readiness: InetSocketAddress,
    val metrics: InetSocketAddress,
    val store: InetSocketAddress,
    val stopLimit: Duration = 8.seconds,
    val stopLinger: Duration = 2_500.milliseconds,
    val watchWait: Duration = 1_500.milliseconds,
    val endpointWatchPause: Duration = 250.milliseconds,
    val cutOffAfter: Duration = 2_200.milliseconds,
    val storeTimeout: Duration = 700.milliseconds,
    val storePause: Duration = 250.milliseconds,
    val connectTimeout: Duration = 300.milliseconds,
    val heldAnswerBytes: Int = 64 * 1024,
    val idleConnection: Duration = 4.seconds,
    val idleMargin: Duration = 400.milliseconds,
    val tick: Duration = 25.milliseconds,
    val entry: EntrySettings = EntrySettings(),
    val budget: BudgetSettings = entryBudgetSettings
)
