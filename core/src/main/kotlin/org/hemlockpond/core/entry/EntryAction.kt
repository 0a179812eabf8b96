/*
 * The results of attempts that the dispatcher receives, and the actions that it requests.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import org.hemlockpond.core.ErrorKind

/** How an attempt at an endpoint ended. */
sealed interface AttemptEnd {
    /** The complete answer was forwarded to the caller, or is held for it. */
    data class Answered(val status: Int) : AttemptEnd

    /** Nothing was sent, because no connection could be opened. */
    data object NotSent : AttemptEnd

    /** Nothing was sent, because the endpoint may not get the request any more. */
    data object Withdrawn : AttemptEnd

    /**
     * The endpoint stated that it didn't run the request.
     *
     * @property misdirected whether another endpoint now uses the address
     */
    data class NotRun(val misdirected: Boolean) : AttemptEnd

    /**
     * The request was sent, but the answer is missing or incomplete; the request may have run.
     *
     * @property crash whether the endpoint crashed before any content of the answer arrived
     * @property answering whether the head of the answer had arrived
     */
    data class Broken(val cause: String, val crash: Boolean, val answering: Boolean = false) :
        AttemptEnd
}

/** An action that [EntryDispatcher] requests from the router. */
sealed interface EntryAction {
    val request: EntryRequest

    /** Send the request to [endpoint]; a stream resumes after the last delivered event. */
    data class Send(
        override val request: EntryRequest,
        val endpoint: ListedEndpoint,
        val attempt: Int,
        val predictedLatency: Duration
    ) : EntryAction

    /** Complete the request with the endpoint's answer; forward the answer if it is still held. */
    data class Deliver(override val request: EntryRequest) : EntryAction

    /**
     * Answer the caller that the request wasn't run.
     *
     * @property eventGap the smallest mean event gap among the endpoints with capacity, if this gap
     *   caused the refusal
     */
    data class Refuse(
        override val request: EntryRequest,
        val kind: ErrorKind,
        val retryAfter: Duration,
        val eventGap: Duration? = null
    ) : EntryAction

    /** Answer the caller that the request failed; it may have run. */
    data class Fail(override val request: EntryRequest, val kind: ErrorKind) : EntryAction

    /** Cancel the attempt at a silent endpoint, so that the request can go to another one. */
    data class CancelAttempt(override val request: EntryRequest) : EntryAction

    /** Tell the other hosts that an endpoint process crashed while it had the request. */
    data class ReportCrash(override val request: EntryRequest, val report: CrashReport) :
        EntryAction

    /** Tell the other hosts that an endpoint began to answer a request with [cleared] suspects. */
    data class ReportCleared(override val request: EntryRequest, val cleared: List<Suspect>) :
        EntryAction
}
