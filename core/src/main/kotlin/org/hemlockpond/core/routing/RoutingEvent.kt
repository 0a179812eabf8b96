/*
 * What the router tells the dispatcher.
 */
package org.hemlockpond.core.routing

import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** Who says that an endpoint is leaving. Each source withdraws only its own statement. */
enum class LeavingSource {
    CONFIGURATION,
    HOST_LIST,

    /** The endpoint's own answer. It lapses, because a restarted endpoint can't withdraw it. */
    ENDPOINT
}

/** An input of [Dispatcher.handle]. */
sealed interface RoutingEvent {
    /** A request that has passed the contract limits and the budget. */
    data class Submit(val request: RoutingRequest) : RoutingEvent

    /**
     * The first token of an attempt arrived.
     *
     * @property request the request that the answer names
     */
    data class FirstToken(val attempt: AttemptId, val request: RequestId) : RoutingEvent

    /** The attempt has produced [answerTokens] tokens so far. */
    data class Progress(val attempt: AttemptId, val request: RequestId, val answerTokens: Long) :
        RoutingEvent

    /**
     * An attempt ended.
     *
     * @property request the request that the answer names
     */
    data class Completed(
        val attempt: AttemptId,
        val request: RequestId,
        val outcome: AttemptOutcome
    ) : RoutingEvent

    /** The caller left, or its stream is to be cancelled at the engine until the caller reads. */
    data class Cancelled(val request: RequestId) : RoutingEvent

    /**
     * What an endpoint says about itself; it lags.
     *
     * @property heldTokens tokens in its memory; requests for a plain service
     * @property healthy its own claim, which is not used as proof of health
     */
    data class LoadReport(
        val endpoint: EndpointId,
        val heldTokens: Long,
        val healthy: Boolean = true
    ) : RoutingEvent

    /** A source states or withdraws that an endpoint is leaving. */
    data class EndpointLeaving(
        val endpoint: EndpointId,
        val source: LeavingSource = LeavingSource.HOST_LIST,
        val leaving: Boolean = true
    ) : RoutingEvent

    /** The configuration in force changed. */
    data class ConfigChanged(val config: FleetConfig) : RoutingEvent

    /** The routers, of any failure domain, that can be reached now; may include this one. */
    data class PeersChanged(val routers: Map<RouterId, FailureDomain>) : RoutingEvent

    /** A router is proven dead (section 2.2); silence is no proof. */
    data class RouterDied(val router: RouterId) : RoutingEvent

    /** A message of another router arrived. */
    data class PeerReceived(val from: RouterId, val message: RoutingMessage) : RoutingEvent

    /** Time passed; expected every [RoutingSettings.tick]. */
    data object Tick : RoutingEvent

    /** The router stops: new work is refused, accepted work ends. */
    data object Drain : RoutingEvent
}
