/*
 * A request in the dispatcher, from its submission to its end, and one attempt to run it.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestClass

/**
 * @property isLong whether the class is one of long requests, which can't fill an endpoint entirely
 * @property rank the place in the queue; a step of priority is worth a fixed time, so that no
 *   priority can starve another
 */
internal class PendingRequest(
    val request: RoutingRequest,
    val requestClass: RequestClass,
    val isLong: Boolean,
    val sequence: Long,
    val arrivedAt: Duration,
    val rank: Duration,
    var deadline: Duration
) {
    var attempts = 0

    /** Whether any attempt may have reached an endpoint. */
    var wasSent = false

    /** Answer tokens of the last attempt. */
    var answerTokens = 0L

    /** The error to report if there is no further attempt. */
    var lastError: ErrorKind? = null
    var triedEndpoints: List<EndpointId> = emptyList()
    var attempt: Attempt? = null
}

internal class Attempt(
    val id: AttemptId,
    val pending: PendingRequest,
    val endpoint: EndpointState,
    val startedAt: Duration,
    val isIsolated: Boolean
) {
    var hasFirstToken = false
        private set

    /** The first token came, or the attempt ended without one. */
    fun endPrefill() {
        if (hasFirstToken) return
        hasFirstToken = true
        endpoint.prefillEnded(pending)
    }

    var timedOut = false
}
