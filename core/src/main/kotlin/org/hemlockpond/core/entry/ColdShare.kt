/*
 * Divides the rate that a cold endpoint tolerates among the hosts of the fleet without messages. Every
 * host computes the same division from the settings.
 *
 * One host of each sending failure domain sends evenly spaced requests. In a window of one second, a
 * spacing of 1/r allows r + 1 requests, so the number of sending domains is limited: 34 domains that
 * each send one request at the same moment would exceed the bound whatever their rates.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * @param perSecond the requests a second that a cold endpoint tolerates
 * @param domains the number of failure domains of the fleet
 */
internal class ColdShare(perSecond: Double, domains: Int, settings: PlacementSettings) {
    private val bound = perSecond * settings.coldOvershoot + settings.coldSlack

    /** The number of failure domains that send to one cold endpoint. */
    val sendingDomains: Int =
        (domains downTo 1).firstOrNull { (it + 1) * (perSecond / it + 1) <= bound } ?: 1

    /** The requests a second of the host that sends for its failure domain. */
    private val rate: Double = run {
        // Leaves room in the bound for one domain in which two hosts send.
        val mostPerSecond = bound / (sendingDomains + 1) - 1
        minOf(perSecond / sendingDomains, mostPerSecond).coerceAtLeast(MIN_PER_SECOND)
    }

    /** The time between two requests of that host. */
    val interval: Duration = 1.seconds / rate

    /**
     * The most requests of that host that may wait for the start of their answers. Requests on a link
     * that stalls arrive together when it recovers.
     */
    val maxUnanswered: Int = rate.toInt().coerceAtLeast(1)

    private companion object {
        /** The least rate, for bounds that allow less than one request of each sender. */
        const val MIN_PER_SECOND = 0.1
    }
}
