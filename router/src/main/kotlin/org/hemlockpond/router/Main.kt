/*
 * The command `hemlockpond-router`.
 */
package org.hemlockpond.router

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.path
import kotlin.concurrent.thread
import kotlin.system.exitProcess
import org.hemlockpond.settings.SettingsResult
import org.hemlockpond.settings.loadRouterSecrets
import org.hemlockpond.settings.loadRouterSettings
import org.slf4j.LoggerFactory

private const val VERSION = "0.1.0"
private const val EXIT_SETTINGS = 2
private const val EXIT_START = 1

private class RouterCommand : CliktCommand(name = "hemlockpond-router") {
    init {
        versionOption(VERSION)
    }

    override fun help(context: Context) = "Routes prepaid requests to model and service endpoints."

    override fun run() = Unit
}

private class CheckCommand : CliktCommand(name = "check") {
    private val file by argument(help = "router settings in JSON").path()

    override fun help(context: Context) = "Checks router settings without starting a router."

    override fun run() {
        valid(loadRouterSettings(file))
        echo("$file: valid")
    }
}

private class RunCommand : CliktCommand(name = "run") {
    private val file by argument(help = "router settings in JSON").path()

    override fun help(context: Context) = """Runs a router until it gets SIGTERM or SIGINT.

        Exit codes: 0 stopped cleanly, 1 failed to start, 2 settings refused, 5 fenced by another
        router.
    """.trimIndent()

    override fun run() {
        val settings = valid(loadRouterSettings(file))
        val secrets = valid(loadRouterSecrets(settings))
        (LoggerFactory.getLogger("hemlockpond") as Logger).level =
            Level.toLevel(settings.logLevel.name)
        // A fenced router must stop serving at once; a graceful end would go on spending.
        val router = Router(settings, secrets) { code ->
            flushLogs()
            Runtime.getRuntime().halt(code)
        }
        try {
            router.start()
        } catch (e: Exception) {
            echo("the router can't start: ${e.message}", err = true)
            exitProcess(EXIT_START)
        }
        Runtime.getRuntime().addShutdownHook(
            thread(start = false) {
                router.stop()
                flushLogs()
                // The JVM would report the signal as its exit code after a clean stop.
                Runtime.getRuntime().halt(0)
            }
        )
        Thread.currentThread().join()
    }
}

/** Logs are written by a thread of their own; what it still holds would be lost by a halt. */
private fun flushLogs() = (LoggerFactory.getILoggerFactory() as LoggerContext).stop()

private fun <T> CliktCommand.valid(result: SettingsResult<T>): T = when (result) {
    is SettingsResult.Valid -> result.value

    is SettingsResult.Invalid -> {
        result.errors.forEach { echo(it.toString(), err = true) }
        throw ProgramResult(EXIT_SETTINGS)
    }
}

fun main(args: Array<String>) = RouterCommand().subcommands(RunCommand(), CheckCommand()).main(args)
