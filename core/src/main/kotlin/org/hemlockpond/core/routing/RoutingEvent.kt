/*
 * The events that the router passes to the dispatcher.
 */
package org.hemlockpond.core.routing

import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** The source of a report that an endpoint is leaving. A source withdraws only its own report. */
enum class LeavingSource {
    CONFIGURATION,
    HOST_LIST,

    /** The endpoint's own answer. It expires, because a restarted endpoint can't withdraw it. */
    ENDPOINT
}

/** An input of [Dispatcher.handle]. */
sealed interface RoutingEvent {
    /** A request that has passed the contract limits and the budget. */
    data class Submit(val request: RoutingRequest) : RoutingEvent

    /**
     * The first token of an attempt arrived.
     *
     * @property request the request named in the answer
     */
    data class FirstToken(val attempt: AttemptId, val request: RequestId) : RoutingEvent

    /** The attempt has produced [answerTokens] tokens so far. */
    data class Progress(val attempt: AttemptId, val request: RequestId, val answerTokens: Long) :
        RoutingEvent

    /**
     * An attempt ended.
     *
     * @property request the request named in the answer
     */
    data class Completed(
        val attempt: AttemptId,
        val request: RequestId,
        val outcome: AttemptOutcome
    ) : RoutingEvent

    /**
     * The caller disconnected, or reads so slowly that its stream is cancelled until it resumes.
     */
    data class Cancelled(val request: RequestId) : RoutingEvent

    /**
     * An endpoint's report of its own load, which lags behind the actual load.
     *
     * @property heldTokens tokens in its memory, or requests of a plain service
     * @property healthy whether the endpoint reports itself healthy; not used for decisions
     */
    data class LoadReport(
        val endpoint: EndpointId,
        val heldTokens: Long,
        val healthy: Boolean = true
    ) : RoutingEvent

    /** A source reports that an endpoint is leaving, or withdraws the report. */
    data class EndpointLeaving(
        val endpoint: EndpointId,
        val source: LeavingSource = LeavingSource.HOST_LIST,
        val leaving: Boolean = true
    ) : RoutingEvent

    /** The configuration in force changed. */
    data class ConfigChanged(val config: FleetConfig) : RoutingEvent

    /** The reachable routers of all failure domains changed; [routers] may include this router. */
    data class PeersChanged(val routers: Map<RouterId, FailureDomain>) : RoutingEvent

    /** A router is proven dead (section 2.2); being unreachable isn't proof. */
    data class RouterDied(val router: RouterId) : RoutingEvent

    /** A message from another router arrived. */
    data class PeerReceived(val from: RouterId, val message: RoutingMessage) : RoutingEvent

    /** A timer tick, expected every [RoutingSettings.tickInterval]. */
    data object Tick : RoutingEvent

    /** The router is stopping: it refuses new requests and completes accepted ones. */
    data object Drain : RoutingEvent
}
