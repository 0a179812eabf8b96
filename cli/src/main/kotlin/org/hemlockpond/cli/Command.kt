/*
 * The base of all commands: common options, the report and the exit code.
 */
package org.hemlockpond.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.path
import java.net.InetSocketAddress
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.hemlockpond.settings.RouterSettings
import org.hemlockpond.settings.SettingsError
import org.hemlockpond.settings.SettingsResult
import org.hemlockpond.settings.SocketAddress
import org.hemlockpond.settings.isName
import org.hemlockpond.settings.loadRouterSettings

private val prettyJson = Json { prettyPrint = true }

internal fun pretty(json: JsonObject): String =
    prettyJson.encodeToString(JsonObject.serializer(), json)

internal abstract class Command(
    protected val environment: Environment,
    name: String,
    private val summary: String
) : CliktCommand(name = name) {
    private val json by option("--json", help = "print one JSON object").flag()

    override fun help(context: Context) = summary

    /** Runs the command; a [CommandFailure] ends it early. */
    protected abstract fun execute(): Outcome

    override fun run() {
        val outcome = try {
            execute()
        } catch (e: CommandFailure) {
            e.outcome
        } catch (e: UsageError) {
            e.context = e.context ?: currentContext
            throw e
        }
        val ok = outcome.exit == ExitCode.SUCCESS
        when {
            json -> environment.out(pretty(outcome.toJson()))
            ok -> outcome.lines.forEach(environment::out)
            else -> outcome.lines.forEach(environment::err)
        }
        if (!ok) throw ProgramResult(outcome.exit.code)
    }
}

/** A command that finds the store or a router by options or in a router's settings file. */
internal abstract class RemoteCommand(environment: Environment, name: String, summary: String) :
    Command(environment, name, summary) {
    private val stores by option(
        "--store",
        help = "store address host:port; several with commas or repeated options",
        envvar = "HEMLOCKPOND_STORE"
    ).split(",").multiple()

    private val settingsFile by option(
        "--settings",
        help = "router settings file that names the store, the operator port and the token file",
        envvar = "HEMLOCKPOND_SETTINGS"
    ).path()

    protected val settings: RouterSettings? by lazy {
        settingsFile?.let { valid(loadRouterSettings(it)) }
    }

    protected fun <T> withStore(action: (Store) -> T): T {
        val named = stores.flatten().map { text ->
            SocketAddress.parse(text)
                ?: throw UsageError("--store $text isn't an address host:port")
        }
        val addresses = named.ifEmpty { settings?.platform?.stores.orEmpty() }
        if (addresses.isEmpty()) {
            throw UsageError("the store is missing; use --store, --settings or HEMLOCKPOND_STORE")
        }
        val sockets = addresses.map { InetSocketAddress(it.host, it.port) }
        return environment.openStore(sockets).use(action)
    }
}

/** [text] if it may be a name; otherwise it can't be part of a store key. */
internal fun named(what: String, text: String): String =
    if (isName(text)) text else throw UsageError("$text can't be the name of a $what")

/** The value, or the end of the command with every error. */
internal fun <T> valid(result: SettingsResult<T>): T = when (result) {
    is SettingsResult.Valid -> result.value
    is SettingsResult.Invalid -> throw CommandFailure(refused(result.errors))
}

internal fun refused(errors: List<SettingsError>): Outcome =
    Outcome(ExitCode.REFUSED, errors.map { it.toString() }, jsonOf("errors" to errorsJson(errors)))
