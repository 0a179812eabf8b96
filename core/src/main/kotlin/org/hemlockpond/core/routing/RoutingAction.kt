/*
 * The actions that the dispatcher requests from the router.
 */
package org.hemlockpond.core.routing

import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** An output of [Dispatcher.handle]. */
sealed interface RoutingAction {
    /**
     * Send a request to an endpoint.
     *
     * @property resumeFrom answer tokens that earlier attempts have already delivered
     * @property priority passed to the engine; a higher value is more urgent
     */
    data class Dispatch(
        val request: RequestId,
        val attempt: AttemptId,
        val endpoint: EndpointId,
        val resumeFrom: Long = 0,
        val priority: Int = 0
    ) : RoutingAction

    /** End a request with an error. */
    data class Reject(val request: RequestId, val kind: ErrorKind) : RoutingAction

    /** The answer of this attempt is the answer to the request; the request has ended. */
    data class Complete(
        val request: RequestId,
        val attempt: AttemptId,
        val outcome: AttemptOutcome
    ) : RoutingAction

    /** The answer belongs to no current attempt, or names another request; discard it. */
    data class DropAnswer(val attempt: AttemptId) : RoutingAction

    /** Cancel an attempt at its endpoint and discard what it still sends. */
    data class CancelAttempt(val attempt: AttemptId, val endpoint: EndpointId) : RoutingAction

    /** Send a message to one router. It may be lost or repeated. */
    data class SendToPeer(val to: RouterId, val message: RoutingMessage) : RoutingAction

    /** Send a message to all other routers. It may be lost or repeated. */
    data class SendToPeers(val message: RoutingMessage) : RoutingAction
}
