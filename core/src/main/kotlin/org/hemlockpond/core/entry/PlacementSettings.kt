/*
 * The settings of the placement constraints: regions of failure domains, and the bound on requests to
 * cold endpoints.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.FailureDomain

/** The name of a region, which contains failure domains. */
@JvmInline
value class RegionId(val value: String) {
    override fun toString(): String = value
}

/**
 * Settings of the placement constraints.
 *
 * @property regions the region of each failure domain of the fleet; empty if the deployment names none,
 *   which then counts as one failure domain
 * @property coldOvershoot the factor of a cold endpoint's rate in the bound on the requests that it may
 *   get in one second
 * @property coldSlack the number of requests that the bound allows in addition
 * @property coldMargin how much longer than its entry says an endpoint counts as cold. Hosts announce a
 *   cold time only if it ends later than the known one by more than this, because heartbeats are read
 *   with varying delay.
 * @property returnCaution how long the endpoints of a failure domain count as cold after the end of its
 *   evacuation. An endpoint may have become cold since the list was last read; the list takes up to this
 *   time to reach all hosts.
 */
data class PlacementSettings(
    val regions: Map<FailureDomain, RegionId> = emptyMap(),
    val coldOvershoot: Double = 1.5,
    val coldSlack: Double = 5.0,
    val coldMargin: Duration = 2.seconds,
    val returnCaution: Duration = 3.seconds
)
