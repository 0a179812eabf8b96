package org.hemlockpond.core.ledger

import org.hemlockpond.core.ErrorKind

/**
 * The reference model for the fleet: a single ledger that sees the start and end of every call
 * immediately and bills a request when it first ends.
 */
internal object NaiveLedger {
    const val PROCEED = "proceed"

    /** The amounts that the request may be billed. */
    fun bills(caller: Caller): Set<Long> {
        val runs = caller.runs
        val ended = runs.mapNotNull { it.used }.toSet()
        // If a retry takes over a settled charge and its router dies, the bill is provisional
        // again, even if the router died between the copy of the take-over and the dispatch.
        val reopened = caller.calls.any {
            !it.node.isAlive && (it.takenOver > 0 || it.answeredAt == null)
        }
        val surviving = runs.any { it.used != null && it.node.isAlive } && !reopened
        return when {
            runs.isEmpty() && caller.calls.any { !it.node.isAlive } -> setOf(0L, RESERVED)
            runs.isEmpty() -> setOf(0L)
            surviving -> ended
            else -> ended + RESERVED
        }
    }

    /** The replies to [call] that are valid at some time between its arrival and its reply. */
    fun replies(caller: Caller, call: Call): Set<Any> {
        val until = call.answeredAt ?: Long.MAX_VALUE
        val others = caller.calls.filter { it !== call && it.at <= until }
        val replies = HashSet<Any>()
        val content = others.filter { it.digest == call.digest }
        val earlier = content.filter { it.proceeded || it.answeredAt == null || it.at == call.at }
        if (others.any { it.digest != call.digest }) replies += ErrorKind.KEY_REUSED
        if (others.none { it.digest != call.digest && it.proceeded && !it.abandoned }) {
            if (content.none { it.released && it.at < call.at }) replies += PROCEED
            if (content.any { it.used != null }) replies += PROCEED
        }
        if (earlier.isNotEmpty() || content.isNotEmpty()) replies += ErrorKind.KEY_IN_USE
        if (!caller.idempotent && content.any { it.proceeded }) {
            replies += ErrorKind.OUTCOME_UNKNOWN
        }
        replies.addAll(caller.answers)
        return replies
    }
}
