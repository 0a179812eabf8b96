/*
 * Starts one stand-in. Each prints its address once it accepts connections and runs until it is
 * ended.
 */
package org.hemlockpond.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long

private class StandIns : CliktCommand(name = "standins") {
    override fun run() = Unit
}

private class StoreCommand : CliktCommand(name = "store") {
    private val port by option(help = "TCP port; 0 picks a free one").int().default(0)

    override fun run() {
        val store = StoreStandIn(port)
        echo("store listening on 127.0.0.1:${store.port}")
        store.join()
    }
}

private class EngineCommand : CliktCommand(name = "engine") {
    private val port by option(help = "TCP port; 0 picks a free one").int().default(0)
    private val version by option(help = "version that the engine serves").default("v1")
    private val tokenMillis by option(help = "milliseconds between tokens").long().default(5)
    private val answerTokens by option(help = "tokens in each answer").int().default(16)

    override fun run() {
        val behaviour = EngineBehaviour(
            version = version,
            tokenMillis = tokenMillis,
            answerTokens = answerTokens
        )
        val engine = EngineStandIn(port, behaviour)
        echo("engine listening on 127.0.0.1:${engine.port}")
        engine.join()
    }
}

private class ServiceCommand : CliktCommand(name = "service") {
    private val port by option(help = "TCP port; 0 picks a free one").int().default(0)

    override fun run() {
        val service = ServiceStandIn(port, ServiceBehaviour())
        echo("service listening on 127.0.0.1:${service.port}")
        service.join()
    }
}

fun main(args: Array<String>) = StandIns()
    .subcommands(StoreCommand(), EngineCommand(), ServiceCommand(), CallCommand(), LoadCommand())
    .main(args)
