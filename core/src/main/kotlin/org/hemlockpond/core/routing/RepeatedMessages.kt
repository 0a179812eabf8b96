/*
 * Repeats messages that every router needs to receive, because single messages may be lost.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration

internal class RepeatedMessages(private val settings: RoutingSettings) {
    private class Repetition(val message: RoutingMessage, var nextAt: Duration, var remaining: Int)

    private val repetitions = LinkedHashMap<String, Repetition>()

    /** Sends [message] and repeats it, in place of an earlier message with the same [key]. */
    fun send(key: String, message: RoutingMessage, now: Duration, out: MutableList<RoutingAction>) {
        out += RoutingAction.SendToPeers(message)
        repetitions[key] = Repetition(message, now + settings.repeatInterval, settings.maxRepeats)
    }

    fun tick(now: Duration, out: MutableList<RoutingAction>) {
        val iterator = repetitions.values.iterator()
        while (iterator.hasNext()) {
            val repetition = iterator.next()
            if (now < repetition.nextAt) continue
            out += RoutingAction.SendToPeers(repetition.message)
            repetition.nextAt = now + settings.repeatInterval
            if (--repetition.remaining <= 0) iterator.remove()
        }
    }
}
