/*
 * What the router tells the version-move component. The follower and the controller take the same
 * events; each ignores those that don't concern it.
 */
package org.hemlockpond.core.moves

import kotlin.time.Duration
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.VersionId

/** What one attempt at an endpoint showed. One attempt causes several of these. */
sealed interface OutcomeResult {
    /** The attempt completed. Reported once, at its end. */
    data object Completed : OutcomeResult

    /**
     * The endpoint failed the attempt: an error answer, a broken stream or a timeout. Refused
     * connections, cancellations by the caller and errors in the request don't count.
     */
    data object Failed : OutcomeResult

    /**
     * The time from dispatch to the first token, reported once for each attempt: at the first
     * token, or with the wait so far when it passes [MoveSettings.firstTokenWait].
     */
    data class FirstToken(val after: Duration) : OutcomeResult

    /** The mean time between the tokens of an attempt, reported once, at its end. */
    data class TokenGap(val mean: Duration) : OutcomeResult
}

/** The outcome of a compare-and-swap. */
enum class WriteOutcome { APPLIED, CONFLICT, UNKNOWN }

/** An endpoint's answer to an order. */
sealed interface OrderAnswer {
    /** The endpoint runs [version]. Answers [EndpointOrder.ReadVersion] and a finished load. */
    data class Runs(val version: VersionId) : OrderAnswer

    /** The endpoint refused the order because it has seen a higher fencing number. */
    data object Fenced : OrderAnswer

    /** The endpoint failed, or its answer didn't arrive. */
    data object Failed : OrderAnswer
}

sealed interface MoveEvent {
    /**
     * A result of one attempt.
     *
     * @property version the version of the endpoint that ran it
     * @property domain the failure domain of the endpoint
     * @property load the part of the capacity of the route's endpoints of all versions in [domain]
     *   that was in use at dispatch, from 0 to 1. It is not the load of the one endpoint: a slow
     *   version raises its own load and would escape comparison
     */
    data class Outcome(
        val route: RouteId,
        val version: VersionId,
        val domain: FailureDomain,
        val load: Double,
        val result: OutcomeResult
    ) : MoveEvent

    /** The store's record of [route], from a read or a watch; null if there is none. */
    data class RecordRead(val route: RouteId, val record: MoveRecord?, val revision: Long) :
        MoveEvent

    /** The outcome of [MoveAction.WriteRecord]. [revision] is the new revision when applied. */
    data class RecordWritten(
        val route: RouteId,
        val outcome: WriteOutcome,
        val revision: Long = 0
    ) : MoveEvent

    /** An authenticated message of a peer. */
    data class PeerReceived(val from: RouterId, val message: MoveMessage) : MoveEvent

    /** The live peers, without this router. */
    data class PeersChanged(val routers: Set<RouterId>) : MoveEvent

    /** The declared configuration; the component uses its endpoints. */
    data class ConfigChanged(val config: FleetConfig) : MoveEvent

    /**
     * The state of this router's controller lease.
     *
     * @property fencing a number that is higher than that of every earlier holder, such as the
     *   store revision at which the lease key was created
     * @property until the end of the lease on this process's monotonic clock, counted from the time
     *   at which the last successful renewal was sent
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

    /** Time has passed. Expected about four times a second. */
    data object Tick : MoveEvent
}
