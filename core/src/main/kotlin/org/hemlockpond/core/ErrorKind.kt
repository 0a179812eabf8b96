/*
 * All errors that callers and operators can receive, each with the answer that it maps to.
 * docs/errors.md shows the same table.
 */
package org.hemlockpond.core

/** What is known about the execution of a request that ended in an error. */
enum class Execution(val code: String) {
    /** No part of the request reached an endpoint. */
    NOT_RUN("not_run"),

    /** An endpoint ran the request, at least in part. */
    RAN("ran"),

    /** The request may have run. */
    UNKNOWN("unknown")
}

/**
 * An error kind and the answer that it maps to.
 *
 * @property status HTTP status of the answer
 * @property execution what the answer states about the execution of the request
 * @property retryable whether the caller may send the same request again
 * @property message a fixed explanation for people
 */
enum class ErrorKind(
    val status: Int,
    val execution: Execution,
    val retryable: Boolean,
    val message: String
) {
    MALFORMED_REQUEST(400, Execution.NOT_RUN, false, "the request can't be parsed"),
    UNAUTHENTICATED(401, Execution.NOT_RUN, false, "the bearer key belongs to no customer"),
    BUDGET_EXHAUSTED(402, Execution.NOT_RUN, true, "the prepaid budget doesn't cover the request"),
    ROUTE_FORBIDDEN(403, Execution.NOT_RUN, false, "the contract doesn't include this route"),
    UNKNOWN_ROUTE(404, Execution.NOT_RUN, false, "no route has this name or path"),
    METHOD_NOT_ALLOWED(405, Execution.NOT_RUN, false, "the route doesn't accept this method"),
    REQUEST_TIMEOUT(408, Execution.NOT_RUN, true, "the request wasn't sent in time"),
    KEY_IN_USE(409, Execution.UNKNOWN, true, "a request with this idempotency key is running"),
    OUTCOME_UNKNOWN(
        409,
        Execution.UNKNOWN,
        false,
        "an earlier attempt of this call may have run; its outcome isn't known"
    ),
    REQUEST_TOO_LARGE(413, Execution.NOT_RUN, false, "the request is over a size limit"),
    KEY_REUSED(
        422,
        Execution.NOT_RUN,
        false,
        "the idempotency key was used for different content"
    ),
    SUSPECT_REQUEST(
        422,
        Execution.UNKNOWN,
        false,
        "endpoints crashed while they ran this content; it isn't tried again"
    ),
    RATE_LIMITED(429, Execution.NOT_RUN, true, "the contract's request rate is used up"),
    TOO_MANY_REQUESTS(429, Execution.NOT_RUN, true, "the contract's concurrency is used up"),
    INTERNAL(500, Execution.UNKNOWN, false, "the router failed; the outcome isn't known"),
    ENDPOINT_FAILED(502, Execution.UNKNOWN, true, "the endpoint failed"),
    ANSWER_INTERRUPTED(502, Execution.RAN, true, "the answer broke off before its end"),
    BUDGET_UNREACHABLE(
        503,
        Execution.NOT_RUN,
        true,
        "no tokens of this budget can be reached from here at present"
    ),
    STORE_UNAVAILABLE(
        503,
        Execution.NOT_RUN,
        true,
        "the call needs a durable record and the store can't be reached"
    ),
    NO_ENDPOINT(503, Execution.NOT_RUN, true, "no endpoint for the route accepts work"),
    OVERLOADED(503, Execution.NOT_RUN, true, "the request waited past its class's deadline"),
    NO_ROOM(503, Execution.NOT_RUN, true, "other request bodies leave no room for this one"),
    SUSPECT_NOT_RUN(
        503,
        Execution.NOT_RUN,
        true,
        "endpoints crashed while they ran this content; it wasn't sent to another"
    ),
    ROUTER_STOPPING(503, Execution.NOT_RUN, true, "this router is shutting down"),
    NOT_CONFIGURED(503, Execution.NOT_RUN, true, "this router has no configuration yet"),
    ENDPOINT_TIMEOUT(504, Execution.UNKNOWN, true, "the endpoint didn't answer in time")
    ;

    /** The stable code in answers and logs, such as `budget-exhausted`. */
    val code: String get() = name.lowercase().replace('_', '-')
}
