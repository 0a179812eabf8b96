/*
 * The parameters of the decisions about requests on an entry host.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.routing.RoutingSettings

/**
 * Settings of an [EntryDispatcher].
 *
 * @property health when endpoints are excluded and tried again. Exclusions are short, because a
 *   crashed endpoint is back within seconds.
 * @property idleFirstEventTime the time to the first event of an empty prompt on an idle engine
 * @property prefillTokensPerMilli the prompt tokens that an idle engine reads per millisecond; an
 *   initial estimate that is scaled by the measured slowness
 * @property serviceTime the answer time of an idle plain service; an initial estimate that is
 *   scaled by the measured slowness
 * @property domainPenalty the cost of an endpoint in another failure domain
 * @property rereadPenalty the cost of each shared prompt token that the endpoint probably has to
 *   read; 5,000 tokens cost 300 ms
 * @property onTimeFraction the fraction of the time left to the goal within which a predicted
 *   latency counts as on time. It is below 1 because requests of other hosts aren't visible.
 * @property latenessWeight the factor of the predicted time beyond [onTimeFraction] in the cost
 * @property preferredCacheProbabilities the probabilities that preferred endpoints have a prompt
 *   part cached through other hosts. Hashing selects the preferred endpoints; the most preferred
 *   one is first.
 * @property cacheLifetime how long a prompt part counts as cached after its last use
 * @property slownessDecay the time constant with which a measured slowness decays, so that a
 *   recovered endpoint is tried again
 * @property eventGapDecay the time constant with which the measured gap between events decays
 * @property eventGapWeight the factor of the mean gap between events in the cost
 * @property sheddingStart the fraction of the event gap goal at which shedding of the requests with
 *   the lowest priority starts. It is low because long prompts make single gaps three times the
 *   mean.
 * @property sheddingRamp the further fraction of the event gap goal over which shedding rises from
 *   none to all requests of a rank; shedding of the next rank starts at its end
 * @property waitFraction how long a request waits for an endpoint with capacity, as a fraction of
 *   its goal
 * @property noEndpointWait the longest wait while a service has no endpoint; the entry of a
 *   restarted endpoint and its first request are up to this long apart
 * @property queueLimit the maximum number of requests that wait for one service
 * @property retryRatio the retries earned by each request. All hosts together may retry a fifth of
 *   the requests.
 * @property retryBurst the maximum number of retries that one host can save up
 * @property silenceLimit how long an endpoint with outstanding answers may send nothing before it
 *   gets no more requests; the predicted latency of its oldest unanswered request is added
 * @property fullBackoff how long an endpoint that refused a request for lack of capacity gets no
 *   requests
 * @property retryAfterMin the minimum Retry-After; long enough for the requests of a crashed
 *   endpoint to have moved to others
 * @property retryAfterJitter the maximum addition to [retryAfterMin], which spreads the
 *   callers' retries
 * @property limits how the limits that endpoints name are kept
 * @property crashes when requests are refused because they crash endpoints
 * @property placement the regions of failure domains, and the bound on requests to cold endpoints
 * @property view how the reports of engines are used
 */
data class EntrySettings(
    val health: RoutingSettings = RoutingSettings(
        firstExclusion = 500.milliseconds,
        maxExclusion = 4.seconds,
        probationSuccesses = 2
    ),
    val idleFirstEventTime: Duration = 70.milliseconds,
    val prefillTokensPerMilli: Double = 80.0,
    val serviceTime: Duration = 80.milliseconds,
    val domainPenalty: Duration = 10.milliseconds,
    val rereadPenalty: Duration = 0.06.milliseconds,
    val onTimeFraction: Double = 0.6,
    val latenessWeight: Double = 3.0,
    val preferredCacheProbabilities: List<Double> = listOf(0.9, 0.4),
    val cacheLifetime: Duration = 20.seconds,
    val slownessDecay: Duration = 4.seconds,
    val eventGapDecay: Duration = 2.seconds,
    val eventGapWeight: Double = 1.0,
    val sheddingStart: Double = 0.35,
    val sheddingRamp: Double = 0.35,
    val waitFraction: Double = 0.6,
    val noEndpointWait: Duration = 1.seconds,
    val queueLimit: Int = 200,
    val retryRatio: Double = 0.15,
    val retryBurst: Double = 3.0,
    val silenceLimit: Duration = 1.seconds,
    val fullBackoff: Duration = 100.milliseconds,
    val retryAfterMin: Duration = 300.milliseconds,
    val retryAfterJitter: Duration = 500.milliseconds,
    val limits: LimitSettings = LimitSettings(),
    val crashes: CrashSettings = CrashSettings(),
    val placement: PlacementSettings = PlacementSettings(),
    val view: EngineViewSettings = EngineViewSettings()
)
