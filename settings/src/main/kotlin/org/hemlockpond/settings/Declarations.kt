/*
 * The operators' declarations: a directory with fleet.json and one file for each contract under
 * contracts/. Other directories, such as routers/ with router settings, aren't read here.
 */
package org.hemlockpond.settings

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.name
import kotlin.io.path.nameWithoutExtension
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.hemlockpond.core.Contract
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.FleetConfig

/** The store keys of the configuration. */
object ConfigKeys {
    const val PREFIX = "hemlockpond/config/"
    const val FLEET = PREFIX + "fleet"
    const val CONTRACTS = PREFIX + "contracts/"

    fun contract(customer: CustomerId): String = CONTRACTS + customer.value
}

/** The largest value that the store holds, in bytes. */
const val MAX_STORE_VALUE_BYTES = 1_000_000

/**
 * Checked declarations.
 *
 * @property config all declarations, contracts included
 */
data class Declarations(val config: FleetConfig) {
    /**
     * The store's entries by key, sorted. `fleet` holds a [FleetConfig] without contracts, and each
     * contract key a [Contract]. Defaults are written out, so that a router of a later release
     * doesn't read other limits from an entry that was applied earlier.
     */
    val entries: Map<String, JsonElement>
        get() {
            val entries = sortedMapOf<String, JsonElement>()
            val fleet = config.copy(contracts = emptyList())
            entries[ConfigKeys.FLEET] = json.encodeToJsonElement(FleetConfig.serializer(), fleet)
            for (contract in config.contracts) {
                entries[ConfigKeys.contract(contract.customer)] =
                    json.encodeToJsonElement(Contract.serializer(), contract)
            }
            return entries
        }

    private companion object {
        val json = Json { encodeDefaults = true }
    }
}

private const val FLEET_FILE = "fleet.json"
private const val CONTRACTS_DIRECTORY = "contracts"

/** Reads and checks the declarations in [directory], or every error of all of its files. */
fun loadDeclarations(directory: Path): SettingsResult<Declarations> {
    val errors = mutableListOf<SettingsError>()
    if (!Files.isDirectory(directory)) {
        errors += SettingsError(directory.toString(), 1, 1, "$", "no directory", "a directory")
        return SettingsResult.Invalid(errors)
    }
    refuseStrayFiles(directory, errors)
    val fleet = read(directory.resolve(FLEET_FILE), errors) { node, decoder ->
        FleetReader(decoder).read(node)
    }
    val routes = fleet?.takeIf { it.complete }?.config?.routes?.map { it.id.value }?.toSet()
    val digests = HashMap<String, String>()
    val contracts = files(directory.resolve(CONTRACTS_DIRECTORY), errors).mapNotNull { file ->
        read(file, errors) { node, decoder ->
            ContractReader(decoder, file.nameWithoutExtension, routes, digests).read(node)
        }
    }
    val declarations = fleet?.let { Declarations(it.config.copy(contracts = contracts)) }
    if (errors.isEmpty() && declarations != null) checkSizes(directory, declarations, errors)
    return resultOf(declarations, errors)
}

private fun <T : Any> read(
    file: Path,
    errors: MutableList<SettingsError>,
    decode: (Node, Decoder) -> T?
): T? {
    val name = file.toString()
    val bytes = readBytes(file, name, errors) ?: return null
    val node = parseTree(name, bytes, errors) ?: return null
    return decode(node, Decoder(name, errors))
}

/** The `.json` files of a directory by name; none if the directory doesn't exist. */
private fun files(directory: Path, errors: MutableList<SettingsError>): List<Path> {
    if (!Files.isDirectory(directory)) return emptyList()
    return try {
        Files.newDirectoryStream(directory).use { entries ->
            val all = entries.sortedBy { it.name }.filterNot { it.name.startsWith(".") }
            for (other in all.filter { it.extension != "json" }) {
                errors += stray(other, "only files *.json with one contract each")
            }
            all.filter { it.extension == "json" }
        }
    } catch (e: IOException) {
        errors += stray(directory, "a readable directory", "an unreadable directory (${e.message})")
        emptyList()
    }
}

/** A contract that lies beside fleet.json by mistake would otherwise be ignored silently. */
private fun refuseStrayFiles(directory: Path, errors: MutableList<SettingsError>) {
    try {
        Files.newDirectoryStream(directory, "*.json").use { entries ->
            for (file in entries.filter { it.name != FLEET_FILE }) {
                errors += stray(file, "$FLEET_FILE or a file under $CONTRACTS_DIRECTORY/")
            }
        }
    } catch (e: IOException) {
        errors += stray(directory, "a readable directory", "an unreadable directory (${e.message})")
    }
}

private fun stray(file: Path, expected: String, found: String = "the file ${file.name}") =
    SettingsError(file.toString(), 1, 1, "$", found, expected)

private fun checkSizes(
    directory: Path,
    declarations: Declarations,
    errors: MutableList<SettingsError>
) {
    for ((key, value) in declarations.entries) {
        val size = value.toString().toByteArray().size
        if (size <= MAX_STORE_VALUE_BYTES) continue
        val found = "$size bytes for the store key $key"
        val expected = "at most $MAX_STORE_VALUE_BYTES bytes, which is what the store holds"
        errors += SettingsError(directory.toString(), 1, 1, "$", found, expected)
    }
}
