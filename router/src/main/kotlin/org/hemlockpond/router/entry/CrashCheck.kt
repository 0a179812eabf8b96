/*
 * Tells a crashed endpoint from a single lost connection: a crashed one refuses new connections. The
 * requests that lost their connections to one endpoint at the same time share one check.
 */
package org.hemlockpond.router.entry

import java.net.InetSocketAddress

internal class CrashCheck(private val pool: EndpointConnectionPool) {
    private val waiting = HashMap<InetSocketAddress, MutableList<(Boolean) -> Unit>>()

    /** Passes [done] whether the endpoint at [address] has crashed. */
    fun start(address: InetSocketAddress, done: (Boolean) -> Unit) {
        val others = waiting[address]
        if (others != null) {
            others += done
            return
        }
        waiting[address] = mutableListOf(done)
        pool.probe(address) { isListening ->
            waiting.remove(address).orEmpty().forEach { it(!isListening) }
        }
    }
}
