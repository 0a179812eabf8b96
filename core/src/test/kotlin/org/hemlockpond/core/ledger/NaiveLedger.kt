package org.hemlockpond.core.ledger

import org.hemlockpond.core.ErrorKind

/**
 * The single ledger that the fleet is compared with: it sees every call and every end of a call at
 * once, and bills a request when it first ends.
 */
internal object NaiveLedger {
    const val PROCEED = "proceed"

    /** The amounts that one bill of this request may have. */
    fun bills(caller: Caller): Set<Long> {
        val runs = caller.runs
        val ended = runs.mapNotNull { it.used }.toSet()
        // A retry that took a settled charge over and died leaves a provisional bill again, also if
        // it died between the copy of the take-over and the dispatch.
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

    /** The answers to [call] that fit some moment between its arrival and its answer. */
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
