/*
 * Statements that every router has to know. Messages may be lost, so each is sent a few times.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration

internal class Statements(private val settings: RoutingSettings) {
    private class Repeat(val message: RoutingMessage, var next: Duration, var left: Int)

    private val repeats = LinkedHashMap<String, Repeat>()

    /** Sends [message]; it replaces an earlier statement under the same [key]. */
    fun send(key: String, message: RoutingMessage, now: Duration, out: MutableList<RoutingAction>) {
        out += RoutingAction.SendToPeers(message)
        repeats[key] = Repeat(message, now + settings.repeatInterval, settings.repeats)
    }

    fun tick(now: Duration, out: MutableList<RoutingAction>) {
        val iterator = repeats.values.iterator()
        while (iterator.hasNext()) {
            val repeat = iterator.next()
            if (now < repeat.next) continue
            out += RoutingAction.SendToPeers(repeat.message)
            repeat.next = now + settings.repeatInterval
            if (--repeat.left <= 0) iterator.remove()
        }
    }
}
