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
import org.hemlockpond.core.entry.StoreReaderSettings
import org.hemlockpond.core.entry.TokenBrokerSettings
import org.hemlockpond.core.entry.entryBudgetSettings

/**
 * @property host the name of this host; a restarted process has the same one
 * @property callerAddress the address on which the router listens for callers
 * @property readinessAddress the address that serves the readiness probe, by which the platform
 *   learns whether this host accepts callers
 * @property metricsAddress the address on which metrics are served
 * @property storeAddress the address of the platform's store
 * @property peerAddress the address on which this host receives datagrams of the hosts of its failure
 *   domain; null if it shares nothing with them directly
 * @property stopLimit the time between the signal to stop and the end of the process
 * @property stopDelay how long callers may open connections after the signal to stop; the platform
 *   redirects them after two failed readiness probes, 1 s apart
 * @property lastAcceptDelay how long after the signal to stop connections are accepted at most; the
 *   platform has redirected callers by then, and what is accepted later has too little time left
 * @property watchPollTimeout how long one call of a watch waits for changes; a silent connection is
 *   detected 1 s after this time
 * @property endpointWatchPause the delay between two calls of the endpoint list's watch, as the
 *   list changes with every heartbeat of an endpoint; a leaving endpoint may get requests for 2 s
 * @property storeSilenceLimit how long the store may be silent before the host reports not ready; a
 *   watch answers every [watchPollTimeout]
 * @property storeTimeout the time after which a call to the store counts as unanswered
 * @property storeRetryDelay the delay before a read is retried when the store didn't answer; doubles
 *   with further failures
 * @property catchUpDelay the delay between two reads of the configuration while it changes faster than
 *   a watch delivers it
 * @property connectTimeout the time after which an endpoint counts as unreachable; the latency
 *   between failure domains is about 1 ms
 * @property maxBufferedAnswerBytes a plain answer up to this size is buffered until it is complete
 * @property maxEventBytes an event of a stream may have up to this size; a larger one ends the attempt
 * @property maxBufferedBytes what all answers together may have that wait for the end of an event or of
 *   the answer; the largest of them ends with its attempt. A quarter of the direct memory of a host.
 * @property maxRequestBodyBytes what the bodies of all requests together may have that are being read or
 *   held; requests that find no room are refused. Half of the direct memory of a host.
 * @property idleConnectionTimeout how long an idle connection to an endpoint is kept, unless the
 *   endpoint states its own timeout
 * @property idleTimeoutMargin how long before the endpoint's own timeout an idle connection expires
 * @property claimInterval the interval at which this host's claims of endpoint limits are brought up to
 *   date, while there are any
 * @property lateLoopLimit how late the event loop may be before requests wait until their callers'
 *   connections have been read again; well below the half second after which a caller that left must
 *   cause no work
 * @property reports how the reader of a failure domain reads the reports of engines
 * @property tickInterval the interval of the timer for decisions that depend only on time
 */
data class EntryRouterSettings(
    val host: String,
    val domain: FailureDomain,
    val callerAddress: InetSocketAddress,
    val readinessAddress: InetSocketAddress,
    val metricsAddress: InetSocketAddress,
    val storeAddress: InetSocketAddress,
    val peerAddress: InetSocketAddress? = null,
    val stopLimit: Duration = 8.seconds,
    val stopDelay: Duration = 2_500.milliseconds,
    val lastAcceptDelay: Duration = 3.seconds,
    val watchPollTimeout: Duration = 1_500.milliseconds,
    val endpointWatchPause: Duration = 250.milliseconds,
    val storeSilenceLimit: Duration = 2_200.milliseconds,
    val storeTimeout: Duration = 700.milliseconds,
    val storeRetryDelay: Duration = 250.milliseconds,
    val catchUpDelay: Duration = 100.milliseconds,
    val connectTimeout: Duration = 300.milliseconds,
    val maxBufferedAnswerBytes: Int = 64 * 1024,
    val maxEventBytes: Int = 64 * 1024,
    val maxBufferedBytes: Int = 16 * 1024 * 1024,
    val maxRequestBodyBytes: Int = 32 * 1024 * 1024,
    val idleConnectionTimeout: Duration = 4.seconds,
    val idleTimeoutMargin: Duration = 400.milliseconds,
    val claimInterval: Duration = 200.milliseconds,
    val lateLoopLimit: Duration = 200.milliseconds,
    val tickInterval: Duration = 25.milliseconds,
    val entry: EntrySettings = EntrySettings(),
    val tokens: TokenBrokerSettings = TokenBrokerSettings(),
    val reader: StoreReaderSettings = StoreReaderSettings(),
    val reports: EngineReportSettings = EngineReportSettings(),
    val budget: BudgetSettings = entryBudgetSettings
)
