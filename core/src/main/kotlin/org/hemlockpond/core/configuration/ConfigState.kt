/*
 * The configuration in force at a router. Entries arrive from the store's watch and from peers, in
 * any order and any number of times. For each key the highest store revision wins, including
 * deletions, so a delayed entry never replaces a newer one. After a deletion of the fleet entry the
 * last fleet configuration stays in force.
 */
package org.hemlockpond.core.configuration

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.hemlockpond.core.Contract
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.decodeText

/**
 * One configuration entry of the store.
 *
 * @property value the JSON text, or null if the key was deleted
 * @property revision the store revision of the change
 */
@Serializable
data class ConfigEntry(val key: String, val value: String?, val revision: Long)

/**
 * What a batch of entries changed.
 *
 * @property applied whether any entry was newer than the one in force
 * @property invalid keys whose new value can't be decoded; their last good value stays in force
 */
data class ConfigChange(val applied: Boolean, val invalid: List<String>)

/** The entries in force, including deletions, and the [FleetConfig] built from them. */
class ConfigState {
    private val entries = HashMap<String, ConfigEntry>()
    private val contracts = sortedMapOf<String, Contract>()
    private var fleet: FleetConfig? = null

    /** The highest revision applied; 0 before the first entry. */
    var revision: Long = 0
        private set

    /** The configuration in force; null until the fleet entry has arrived. */
    val config: FleetConfig?
        get() = fleet?.copy(contracts = contracts.values.toList())

    /** Routers whose hosts an operator declared gone. */
    val goneRouters: Set<RouterId>
        get() = entries.values.filter { it.value != null && it.key.startsWith(GONE_PREFIX) }
            .mapTo(HashSet()) { RouterId(it.key.removePrefix(GONE_PREFIX)) }

    /** Applies those of [batch] that are newer than the entries in force. */
    fun apply(batch: List<ConfigEntry>): ConfigChange {
        var applied = false
        val invalid = mutableListOf<String>()
        for (entry in batch) {
            val known = entries[entry.key]
            if (known != null && known.revision >= entry.revision) continue
            entries[entry.key] = entry
            revision = maxOf(revision, entry.revision)
            applied = true
            if (!decode(entry)) invalid += entry.key
        }
        return ConfigChange(applied, invalid)
    }

    /**
     * Replaces the state by a complete read of the store at [readRevision]. Keys absent from
     * [values] were deleted at or before this revision.
     */
    fun applySnapshot(values: List<ConfigEntry>, readRevision: Long): ConfigChange {
        val present = values.mapTo(HashSet()) { it.key }
        val deleted = entries.values
            .filter { it.value != null && it.key !in present && it.revision <= readRevision }
            .map { ConfigEntry(it.key, null, readRevision) }
        return apply(values + deleted)
    }

    /** The entries with a revision above [after], for a peer with an older configuration. */
    fun entriesSince(after: Long): List<ConfigEntry> = entries.values.filter { it.revision > after }

    private fun decode(entry: ConfigEntry): Boolean {
        try {
            when {
                entry.key == FLEET_KEY -> fleet = entry.value?.let { decodeFleet(it) } ?: fleet

                entry.key.startsWith(CONTRACT_PREFIX) -> {
                    val value = entry.value
                    if (value == null) {
                        contracts.remove(entry.key)
                    } else {
                        contracts[entry.key] = json.decodeText(Contract.serializer(), value)
                    }
                }
            }
            return true
        } catch (_: SerializationException) {
            return false
        } catch (_: IllegalArgumentException) {
            return false
        }
    }

    private fun decodeFleet(value: String): FleetConfig =
        json.decodeText(FleetConfig.serializer(), value)

    companion object {
        /** The prefix of all configuration keys in the store. */
        const val PREFIX = "hemlockpond/config/"
        private const val FLEET_KEY = PREFIX + "fleet"
        private const val CONTRACT_PREFIX = PREFIX + "contracts/"
        private const val GONE_PREFIX = PREFIX + "gone/"

        // During an upgrade, older routers have to accept entries with fields of a newer release.
        private val json = Json { ignoreUnknownKeys = true }
    }
}
