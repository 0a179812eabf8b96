package org.hemlockpond.router

import org.hemlockpond.core.RequestId
import org.hemlockpond.core.routing.AttemptId

/**
 * The open relays by request; used on the traffic thread. What they report goes to the control
 * thread.
 *
 * @param control runs a block on the control thread
 * @param flows the requests there; first asked for when a relay reports
 */
internal class RelayTable(
    private val control: (() -> Unit) -> Unit,
    private val flows: () -> RequestFlows
) : RelayListener,
    SlowReaders.StreamControl {
    private val open = HashMap<RequestId, AnswerRelay>()

    fun put(request: RequestId, relay: AnswerRelay) {
        open.putIfAbsent(request, relay)
    }

    override fun closed(request: RequestId, relay: AnswerRelay) {
        open.remove(request, relay)
    }

    override fun firstToken(attempt: AttemptId) = control { flows().firstToken(attempt) }

    override fun progress(attempt: AttemptId, answerTokens: Long) =
        control { flows().progress(attempt, answerTokens) }

    override fun cancelAtEngine(request: RequestId) {
        val relay = open[request] ?: return
        relay.cancelUpstream()
        val delivered = relay.delivered
        control { flows().cancelAtEngine(request, delivered) }
    }

    override fun resume(request: RequestId) = control { flows().resume(request) }
}
