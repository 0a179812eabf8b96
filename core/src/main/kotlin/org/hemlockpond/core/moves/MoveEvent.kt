/*
 * The events that the router passes to the version-move component.
 */
package org.hemlockpond.core.moves

import kotlin.time.Duration
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.VersionId

/** A result observed in one attempt at an endpoint. An attempt can produce several results. */
sealed interface OutcomeResult {
    /** The attempt completed. Reported once, when it ends. */
    data object Completed : OutcomeResult

    /**
     * The endpoint failed the attempt with an error answer, a broken stream or a timeout. Refused
     * connections, cancellations by the caller and invalid requests aren't failures.
     */
    data object Failed : OutcomeResult

    /**
     * The time from dispatch to the first token. Reported once for each attempt, at the first token
     * or as soon as the wait exceeds [MoveSettings.firstTokenWait], then with the wait so far.
     */
    data class FirstToken(val after: Duration) : OutcomeResult

    /** The mean time between the tokens of an attempt. Reported once, when the attempt ends. */
    data class TokenGap(val mean: Duration) : OutcomeResult
}

/** The outcome of a compare-and-swap. UNKNOWN means that it may have been applied. */
enum class WriteOutcome { APPLIED, CONFLICT, UNKNOWN }

/** An endpoint's answer to an order. */
sealed interface OrderAnswer {
    /**
     * The endpoint runs [version]. The answer to [EndpointOrder.ReadVersion] and to a completed
     * [EndpointOrder.Load].
     */
    data class Runs(val version: VersionId) : OrderAnswer

    /** The endpoint refused the order because it has seen a higher fencing number. */
    data object Fenced : OrderAnswer

    /** The endpoint failed to execute the order, or its answer didn't arrive. */
    data object Failed : OrderAnswer
}

/** An event that the version-move component handles. */
sealed interface MoveEvent {
    /**
     * A result of one attempt at an endpoint.
     *
     * @property version the version that the endpoint ran
     * @property domain the failure domain of the endpoint
     * @property load the fraction (0 to 1) of the capacity of the route's endpoints of all versions
     *   in [domain] that was in use at dispatch. The load of the single endpoint isn't used because
     *   a slow version raises its own load, and would then not be compared with the old version
     */
    data class Outcome(
        val route: RouteId,
        val version: VersionId,
        val domain: FailureDomain,
        val load: Double,
        val result: OutcomeResult
    ) : MoveEvent

    /** The record of [route] in the store, from a read or a watch; null if there is none. */
    data class RecordRead(val route: RouteId, val record: MoveRecord?, val revision: Long) :
        MoveEvent

    /** The outcome of [MoveAction.WriteRecord]. [revision] is the new revision when applied. */
    data class RecordWritten(
        val route: RouteId,
        val outcome: WriteOutcome,
        val revision: Long = 0
    ) : MoveEvent

    /** An authenticated message from the peer [from]. */
    data class PeerReceived(val from: RouterId, val message: MoveMessage) : MoveEvent

    /** The set of live peers changed. [routers] doesn't include this router. */
    data class PeersChanged(val routers: Set<RouterId>) : MoveEvent

    /** The declared configuration changed. Its routes and endpoints are used. */
    data class ConfigChanged(val config: FleetConfig) : MoveEvent

    /**
     * The state of this router's controller lease.
     *
     * @property fencing a number higher than that of every earlier holder, such as the store
     *   revision at which the lease key was created
     * @property until the end of the lease on this process's monotonic clock, measured from when
     *   the last successful renewal was sent
     */
    data class ControllerLease(val held: Boolean, val fencing: Long, val until: Duration) :
        MoveEvent

    /** The answer to [MoveAction.OrderEndpoint]. */
    data class OrderResult(
        val endpoint: EndpointId,
        val order: EndpointOrder,
        val fencing: Long,
        val answer: OrderAnswer
    ) : MoveEvent

    /** Triggers time-based work. Expected about four times a second. */
    data object Tick : MoveEvent
}
