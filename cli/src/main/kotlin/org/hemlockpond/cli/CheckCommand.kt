/*
 * `hemlockpond check`: reads declarations or router settings and reports every error.
 */
package org.hemlockpond.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.help
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.isDirectory
import org.hemlockpond.settings.Declarations
import org.hemlockpond.settings.RouterSettings
import org.hemlockpond.settings.SettingsError
import org.hemlockpond.settings.SettingsResult
import org.hemlockpond.settings.loadDeclarations
import org.hemlockpond.settings.loadRouterSecrets
import org.hemlockpond.settings.loadRouterSettings

internal class CheckCommand(environment: Environment) :
    Command(environment, "check", "Checks declarations or router settings.") {
    private val target by argument("DIR|FILE").path()
        .help("declarations, with router settings under routers/, or one router settings file")

    private val secrets by option("--secrets", help = "also read the secret files").flag()

    override fun execute(): Outcome = if (target.isDirectory()) {
        checkDirectory(target, secrets)
    } else {
        val errors = mutableListOf<SettingsError>()
        val settings = checkRouter(target, secrets, errors)
        if (settings == null || errors.isNotEmpty()) {
            refused(errors)
        } else {
            val line = "$target: router ${settings.router} in ${settings.domain}, no errors"
            val json =
                jsonOf("router" to settings.router, "domain" to settings.domain.value)
            Outcome(ExitCode.SUCCESS, listOf(line), json)
        }
    }
}

private fun checkRouter(
    file: Path,
    secrets: Boolean,
    errors: MutableList<SettingsError>
): RouterSettings? {
    val settings = loadRouterSettings(file).valueOr(errors) ?: return null
    if (secrets) loadRouterSecrets(settings).valueOr(errors)
    return settings
}

private fun <T> SettingsResult<T>.valueOr(errors: MutableList<SettingsError>): T? = when (this) {
    is SettingsResult.Valid -> value

    is SettingsResult.Invalid -> {
        errors += this.errors
        null
    }
}

private fun checkDirectory(directory: Path, secrets: Boolean): Outcome {
    val errors = mutableListOf<SettingsError>()
    val declarations = loadDeclarations(directory).valueOr(errors)
    val routers = routerFiles(directory).mapNotNull { file ->
        checkRouter(file, secrets, errors)?.let { file to it }
    }
    checkRouters(routers, declarations, errors)
    if (declarations == null || errors.isNotEmpty()) return refused(errors)
    val config = declarations.config
    val counts = listOf(
        "domains" to config.domains.size,
        "classes" to config.classes.size,
        "routes" to config.routes.size,
        "endpoints" to config.endpoints.size,
        "contracts" to config.contracts.size,
        "routers" to routers.size
    )
    val text = counts.joinToString { (name, count) -> "$count $name" }
    return Outcome(
        ExitCode.SUCCESS,
        listOf("$directory: $text, no errors"),
        jsonOf(counts.toMap())
    )
}

private fun routerFiles(directory: Path): List<Path> {
    val routers = directory.resolve("routers")
    if (!routers.isDirectory()) return emptyList()
    return Files.newDirectoryStream(routers, "*.json").use { it.sorted() }
}

/** Checks that concern several router files or router files and declarations. */
private fun checkRouters(
    routers: List<Pair<Path, RouterSettings>>,
    declarations: Declarations?,
    errors: MutableList<SettingsError>
) {
    val names = HashMap<String, Path>()
    val addresses = HashMap<String, Path>()
    val domains = declarations?.config?.domains?.toSet()
    for ((file, settings) in routers) {
        fun add(path: String, found: String, expected: String) {
            errors += SettingsError(file.toString(), 1, 1, path, found, expected)
        }
        if (domains != null && settings.domain !in domains) {
            add("$.domain", "\"${settings.domain}\"", "a domain that fleet.json declares")
        }
        names.putIfAbsent(settings.router, file)?.let {
            add("$.router", "\"${settings.router}\", as in $it", "a name of its own")
        }
        addresses.putIfAbsent(settings.advertise.toString(), file)?.let {
            add("$.advertise", "${settings.advertise}, as in $it", "an address of its own")
        }
    }
}
