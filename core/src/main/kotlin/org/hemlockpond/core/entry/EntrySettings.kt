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
 * @property firstEventBase the time to the first event of an empty prompt on an idle engine
 * @property prefillTokensPerMilli prompt tokens that an idle engine reads in a millisecond, until
 *   its answers have shown how slow it is
 * @property serviceTime the time that a plain service takes, until its answers have shown it
 * @property domainPenalty how much slower an endpoint of another failure domain counts
 * @property rereadPenalty how much slower an endpoint counts for each shared token that it has to
 *   read although another one has it; 5,000 tokens weigh as much as 300 ms
 * @property timelyShare the part of the time to the goal up to which a prediction counts as on time;
 *   other hosts' requests arrive unseen
 * @property lateWeight how much more the time beyond that counts
 * @property homeShares the probability that the endpoints that hashing gives a prompt part, in
 *   order, have it from other hosts
 * @property cacheMemory how long a prompt part counts as cached after its last use
 * @property slownessMemory the time after which an observed slowness is forgotten, so that a
 *   recovered endpoint is tried again
 * @property pauseMemory the time after which pauses between the events of streams are forgotten
 * @property pauseWeight how much slower an endpoint counts for each millisecond between events
 * @property shedFrom the part of the pause goal at which requests of the least urgent routes begin to
 *   be refused; long prompts make single pauses three times the mean
 * @property shedRamp the further part of the pause goal over which all of them come to be refused,
 *   and at which the next more urgent routes begin
 * @property waitShare the part of its goal that a request waits for room
 * @property emptyWait the longest wait while a service has no endpoint at all; entries of restarted
 *   endpoints are that far apart from their first request
 * @property queueLimit the most requests that wait for one service
 * @property retryRatio retries earned by each request. All hosts together may retry a fifth.
 * @property retryBurst retries that may be saved up by one host
 * @property silence an endpoint that owes answers and has sent nothing for this long gets no more
 * @property fullPause how long an endpoint that refused a request for lack of room gets no other
 * @property retryAfterLow the shortest Retry-After; long enough for a crashed endpoint's requests
 *   to have found others
 * @property retryAfterSpread what is added at random, so that refused callers come back apart
 * @property crashLimit crashes of endpoints under one content, after which it is refused
 */
data class EntrySettings(
    val health: RoutingSettings = RoutingSettings(
        firstExclusion = 500.milliseconds,
        maxExclusion = 4.seconds,
        probationSuccesses = 2
    ),
    val firstEventBase: Duration = 70.milliseconds,
    val prefillTokensPerMilli: Double = 80.0,
    val serviceTime: Duration = 80.milliseconds,
    val domainPenalty: Duration = 10.milliseconds,
    val rereadPenalty: Duration = 0.06.milliseconds,
    val timelyShare: Double = 0.6,
    val lateWeight: Double = 3.0,
    val homeShares: List<Double> = listOf(0.9, 0.4),
    val cacheMemory: Duration = 20.seconds,
    val slownessMemory: Duration = 4.seconds,
    val pauseMemory: Duration = 2.seconds,
    val pauseWeight: Double = 1.0,
    val shedFrom: Double = 0.35,
    val shedRamp: Double = 0.35,
    val waitShare: Double = 0.6,
    val emptyWait: Duration = 1.seconds,
    val queueLimit: Int = 200,
    val retryRatio: Double = 0.15,
    val retryBurst: Double = 3.0,
    val silence: Duration = 1.seconds,
    val fullPause: Duration = 100.milliseconds,
    val retryAfterLow: Duration = 300.milliseconds,
    val retryAfterSpread: Duration = 500.milliseconds,
    val crashLimit: Int = 2
)
