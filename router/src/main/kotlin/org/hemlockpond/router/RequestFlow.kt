package org.hemlockpond.router

import kotlin.time.Duration
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.Execution
import org.hemlockpond.core.VersionId
import org.hemlockpond.core.routing.AttemptId

/** The control side of one request, from admission to its bill. */
internal class RequestFlow(
    val request: CallerRequest,
    val relay: AnswerRelay,
    val start: Duration
) {
    /** The stage decides which cleanup an early end needs. */
    enum class Stage { CLAIMING, RESERVING, DISPATCHING, FINISHING }

    var stage = Stage.CLAIMING

    /** Tokens that the budget charged already for earlier attempts. */
    var takenOver = 0L

    var version: VersionId? = null

    /** Whether any byte of the request may have reached an endpoint. */
    var sent = false

    var firstTokenSeen = false

    var callerGone = false

    /** Answer tokens delivered, as last reported. */
    var delivered = request.resumeFrom

    /** The attempt that runs now. */
    var attempt: RunningAttempt? = null

    /** The usage that the engine reported with the whole answer. */
    var usage: Usage? = null

    /** What the request is billed if it ends now, in tokens. */
    val usedSoFar: Long
        get() = if (sent && delivered > request.resumeFrom) {
            (request.promptTokens + delivered).coerceAtMost(request.reserved)
        } else {
            takenOver
        }

    /** An attempt that was started may have been sent even if the traffic thread hasn't said so. */
    fun assumeSent() {
        if (attempt != null) sent = true
    }

    /** The error that is true for a request in this state. */
    fun trueKind(kind: ErrorKind): ErrorKind = when {
        !sent -> kind
        !request.idempotent -> ErrorKind.OUTCOME_UNKNOWN
        delivered > request.resumeFrom -> ErrorKind.ANSWER_INTERRUPTED
        kind.execution == Execution.NOT_RUN -> ErrorKind.ENDPOINT_FAILED
        else -> kind
    }
}

/** One attempt at an endpoint, with what the comparison of versions needs. */
internal class RunningAttempt(
    val id: AttemptId,
    val endpoint: EndpointConfig,
    val dispatched: Duration,
    val load: Double
) {
    var firstToken: Duration? = null
}
