package org.hemlockpond.settings

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Compares the tables of docs/administration.md with the reader. */
class SettingsReferenceTest {
    private val page = Files.readString(Path.of("../docs/administration.md"))

    private val required = """"router": "r", "domain": "a", "advertise": "h:1",
        "platform": {"stores": ["h:2"]}, "peerSecretFile": "s", "operatorTokenFile": "t""""

    /** Each key of the table with its default as JSON; keys without a literal default are left out. */
    private fun defaults(): Map<String, String> =
        Regex("(?m)^\\| `([A-Za-z.]+)` \\| `?([^`|]+?)`? \\|").findAll(section())
            .map { it.groupValues[1] to it.groupValues[2] }
            .filter { (_, default) -> default !in setOf("required", "none", "listen.peers") }
            .associate { (key, default) ->
                key to if (Regex("[0-9]+|\\[]").matches(default)) default else "\"$default\""
            }

    private fun section() = page.substringAfter("## Router settings").substringBefore("\n## ")

    private fun load(text: String): SettingsResult<RouterSettings> {
        val file = Files.createTempFile("settings", ".json")
        file.writeText(text)
        return loadRouterSettings(file).also { Files.delete(file) }
    }

    /** Guards against a default in the reference that isn't the one in force. */
    @Test
    fun defaultsAreThoseOfTheReference() {
        val groups = defaults().entries.groupBy { it.key.substringBefore('.', "") }
        val members = groups.flatMap { (group, entries) ->
            val fields = entries.map { (k, v) -> "\"${k.substringAfter('.')}\": $v" }
            when (group) {
                "" -> fields
                "platform" -> emptyList()
                else -> listOf("\"$group\": {${fields.joinToString()}}")
            }
        }
        val explicit = load("{$required, ${members.joinToString()}}")
        val implicit = assertIs<SettingsResult.Valid<RouterSettings>>(load("{$required}"))
        val value = assertIs<SettingsResult.Valid<RouterSettings>>(explicit, "$explicit").value
        val file = value.peerSecretFile
        assertEquals(implicit.value.copy(peerSecretFile = file), value)
        val timeout = defaults().getValue("platform.timeout").trim('"')
        assertEquals(parseSpan(timeout), implicit.value.platform.timeout)
    }

    /** Guards against a key that the reader knows and the reference doesn't name. */
    @Test
    fun everyKeyIsInTheReference() {
        val bad = """{"?": 1, "listen": {"?": 1}, "platform": {"?": 1}, "tls": {"?": 1},
            "limits": {"?": 1}, "timing": {"?": 1}}"""
        val errors = assertIs<SettingsResult.Invalid>(load(bad)).errors
        val unknown = errors.filter { it.found.startsWith("the unknown key") }
        assertEquals(6, unknown.size)
        for (error in unknown) {
            val group = error.path.removePrefix("$").substringBefore("[").removePrefix(".")
            val keys = error.expected.removePrefix("one of the keys ").substringBefore(" (did")
            for (key in keys.split(", ")) {
                val path = if (group.isEmpty()) key else "$group.$key"
                assertTrue("`$path" in section(), path)
            }
        }
    }
}
