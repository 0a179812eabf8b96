/*
 * `hemlockpond apply`.
 */
package org.hemlockpond.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.help
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import org.hemlockpond.settings.loadDeclarations

internal class ApplyCommand(environment: Environment) :
    RemoteCommand(environment, "apply", "Sends declarations and payments to the store.") {
    private val directory by argument("DIR").path().help("the declarations")

    private val dryRun by option("--dry-run", help = "only show the difference").flag()

    private val delete by option("--delete", help = "remove contracts that aren't declared").flag()

    override fun execute(): Outcome {
        val declarations = valid(loadDeclarations(directory))
        return withStore { store ->
            val applier = Applier(store, environment)
            val diffs = applier.diff(declarations)
            val lines = diffs.flatMap { it.lines() }
            val json = jsonOf("diff" to diffs.map(::json))
            val removed = removedCustomers(diffs)
            val outcome = when {
                dryRun -> Outcome(
                    ExitCode.SUCCESS,
                    listOf("${diffs.size} entries differ; nothing was written")
                )

                // The wrong directory would otherwise remove every customer.
                removed.isNotEmpty() && !delete -> Outcome(
                    ExitCode.FAILED,
                    listOf(
                        "nothing was written: the declarations lack the contracts of " +
                            removed.joinToString() + "; use --delete to remove them"
                    )
                )

                else -> applier.apply(declarations, diffs)
            }
            val all: Map<String, JsonElement> = json + outcome.json
            outcome.copy(lines = lines + outcome.lines, json = JsonObject(all))
        }
    }

    private fun json(diff: EntryDiff) = jsonOf(
        "key" to diff.key,
        "change" to diff.change.name.lowercase(),
        "details" to diff.details
    )
}
