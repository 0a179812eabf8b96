/*
 * A request in the dispatcher, from its submission to its end, and one attempt to run it.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.RequestClass

/**
 * @property long whether the class is one of long requests, which can't fill an endpoint entirely
 * @property rank the place in the queue; a step of priority is worth a fixed time, so that no
 *   priority can starve another
 */
internal class Item(
    val work: Work,
    val requestClass: RequestClass,
    val long: Boolean,
    val sequence: Long,
    val arrival: Duration,
    val rank: Duration,
    var deadline: Duration
) {
    var attempts = 0

    /** Whether any attempt may have reached an endpoint. */
    var sent = false

    /** Answer tokens of the last attempt. */
    var answerTokens = 0L

    /** The error to report if there is no further attempt. */
    var failure: ErrorKind? = null
    var tried: List<EndpointId> = emptyList()
    var attempt: Attempt? = null
}

internal class Attempt(
    val id: AttemptId,
    val item: Item,
    val endpoint: EndpointState,
    val started: Duration,
    val isolated: Boolean
) {
    var firstToken = false
        private set

    /** The first token came, or the attempt ended without one. */
    fun prefilled() {
        if (firstToken) return
        firstToken = true
        endpoint.prefilled(item)
    }

    var stalled = false
}
