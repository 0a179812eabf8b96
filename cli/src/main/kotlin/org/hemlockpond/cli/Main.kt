/*
 * The command `hemlockpond`.
 */
package org.hemlockpond.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.PrintHelpMessage
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.versionOption
import kotlin.system.exitProcess

/** The version of the build in pom.xml. */
internal const val VERSION = "0.1.0"

fun main(args: Array<String>) {
    exitProcess(run(args.toList(), SystemEnvironment))
}

private class Hemlockpond : CliktCommand(name = "hemlockpond") {
    init {
        versionOption(VERSION)
    }

    override fun help(context: Context) = "Checks and applies the declarations of a router fleet."

    override fun run() = Unit
}

/** A command that only groups others. */
private class Group(name: String, private val summary: String) : CliktCommand(name = name) {
    override fun help(context: Context) = summary

    override fun run() = Unit
}

private fun hemlockpond(environment: Environment): CliktCommand = Hemlockpond().subcommands(
    CheckCommand(environment),
    Group("key", "Makes bearer keys.").subcommands(KeyNewCommand(environment)),
    ApplyCommand(environment),
    StatusCommand(environment),
    BudgetCommand(environment).subcommands(TopUpCommand(environment)),
    Group("move", "Starts and follows version moves.").subcommands(
        MoveStartCommand(environment),
        MoveStatusCommand(environment),
        MoveWaitCommand(environment),
        MoveTakeBackCommand(environment)
    ),
    Group("router", "Acts on routers.").subcommands(DeclareGoneCommand(environment))
)

/** Runs one command line and returns the exit code. */
internal fun run(args: List<String>, environment: Environment): Int {
    val command = hemlockpond(environment)
    return try {
        command.parse(args)
        ExitCode.SUCCESS.code
    } catch (e: ProgramResult) {
        e.statusCode
    } catch (e: CliktError) {
        report(command, e, "--json" in args, environment)
    }
}

private fun report(
    command: CliktCommand,
    error: CliktError,
    json: Boolean,
    environment: Environment
): Int {
    // A group without a subcommand prints its help, but with the status code of success.
    val missing = error is PrintHelpMessage && error.error
    val refused = missing || error is UsageError || error.statusCode != 0
    val text = command.getFormattedHelp(error) ?: error.message.orEmpty()
    val shown = if (error is PrintHelpMessage) text else text.trimEnd()
    when {
        !refused -> environment.out(shown)
        json -> environment.out(pretty(Outcome(ExitCode.REFUSED, listOf(shown)).toJson()))
        else -> environment.err(shown)
    }
    return if (refused) ExitCode.REFUSED.code else ExitCode.SUCCESS.code
}
