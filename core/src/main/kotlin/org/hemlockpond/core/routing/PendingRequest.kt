/*
 * The state of a request from its submission to its end, and of an attempt to run it.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestClass

/**
 * @property isLong whether the class is one of long requests, which may use only a part of an
 *   endpoint
 * @property rank the sort key in the queue: the arrival time minus a fixed time per priority step,
 *   so low priorities don't starve
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

    /** Whether an attempt may have reached an endpoint. */
    var wasSent = false

    /** Highest number of answer tokens reported so far. */
    var answerTokens = 0L

    /** The error to report if the request is not retried. */
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

    /** Ends the prefill phase, at the first token or at the end of the attempt. */
    fun endPrefill() {
        if (hasFirstToken) return
        hasFirstToken = true
        endpoint.prefillEnded(pending)
    }

    var timedOut = false
}
