/*
 * The constants of the entry decisions, with the reason for each value.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.routing.RoutingSettings

/**
 * Settings of an [EntryDispatcher].
 *
 * @property health how endpoints are excluded and tried again. Exclusions are short, because a
 *   crashed endpoint is back within seconds.
 * @property idleFirstEventTime the time to the first event of an empty prompt on an idle engine
 * @property prefillTokensPerMilli prompt tokens that an idle engine reads in a millisecond, until
 *   its answers have shown how slow it is
 * @property serviceTime the time that a plain service takes, until its answers have shown it
 * @property domainPenalty how much slower an endpoint of another failure domain counts
 * @property rereadPenalty how much slower an endpoint counts for each shared token that it has to
 *   read although another one has it; 5,000 tokens weigh as much as 300 ms
 * @property onTimeFraction the part of the time to the goal up to which a prediction counts as on time;
 *   other hosts' requests arrive unseen
 * @property latenessWeight how much more the time beyond that counts
 * @property preferredCacheProbabilities the probability that the endpoints that hashing gives a prompt part, in
 *   order, have it from other hosts
 * @property cacheLifetime how long a prompt part counts as cached after its last use
 * @property slownessDecay the time after which an observed slowness is forgotten, so that a
 *   recovered endpoint is tried again
 * @property eventGapDecay the time after which pauses between the events of streams are forgotten
 * @property eventGapWeight how much slower an endpoint counts for each millisecond between events
 * @property sheddingStart the part of the pause goal at which requests of the least urgent routes begin to
 *   be refused; long prompts make single pauses three times the mean
 * @property sheddingRamp the further part of the pause goal over which all of them come to be refused,
 *   and at which the next more urgent routes begin
 * @property waitFraction the part of its goal that a request waits for room
 * @property noEndpointWait the longest wait while a service has no endpoint at all; entries of restarted
 *   endpoints are that far apart from their first request
 * @property queueLimit the most requests that wait for one service
 * @property retryRatio retries earned by each request. All hosts together may retry a fifth.
 * @property retryBurst retries that may be saved up by one host
 * @property silenceLimit an endpoint that owes answers and has sent nothing for this long gets no more
 * @property fullBackoff how long an endpoint that refused a request for lack of room gets no other
 * @property retryAfterMin the shortest Retry-After; long enough for a crashed endpoint's requests
 *   to have found others
 * @property retryAfterJitter what is added at random, so that refused callers come back apart
 * @property crashLimit crashes of endpoints under one content, after which it is refused
 */
data class EntrySettings(
    val health: RoutingSettings = RoutingSettings(
        exclusion = 500.milliseconds,
        exclusionLimit = 4.seconds,
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
    val crashLimit: Int = 2
)
