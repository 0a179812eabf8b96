package org.hemlockpond.settings

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeBytes
import kotlin.random.Random
import kotlin.test.assertTrue
import net.jqwik.api.ForAll
import net.jqwik.api.Property

class MutationTest {
    private val fleet = Path.of("../examples/authority/fleet.json").readText()
    private val contract = Path.of("../examples/authority/contracts/embu-artisans.json").readText()
    private val router = Path.of("../examples/ingabo/routers/ingabo-1.json").readText()

    /** Guards against a crash of the parser, and against errors without a place or a text. */
    @Property(tries = 600, seed = "2026120401")
    fun mutatedRouterSettingsGiveValueOrErrors(@ForAll seed: Long) {
        val file = Files.createTempFile("router", ".json")
        val bytes = mutate(router, Random(seed))
        file.writeBytes(bytes)
        check(loadRouterSettings(file), lines(bytes))
        Files.delete(file)
    }

    /** As above for declarations, where the checks across files see partly read values. */
    @Property(tries = 600, seed = "2026120402")
    fun mutatedDeclarationsGiveValueOrErrors(@ForAll seed: Long) {
        val random = Random(seed)
        val directory = Files.createTempDirectory("declarations")
        val contracts = Files.createDirectory(directory.resolve("contracts"))
        val first = if (random.nextBoolean()) mutate(fleet, random) else fleet.toByteArray()
        val second = mutate(contract, random)
        directory.resolve("fleet.json").writeBytes(first)
        contracts.resolve("embu-artisans.json").writeBytes(second)
        check(loadDeclarations(directory), maxOf(lines(first), lines(second)))
        directory.toFile().deleteRecursively()
    }

    private fun lines(bytes: ByteArray) = bytes.count { it == '\n'.code.toByte() || it == CR } + 1

    private fun check(result: SettingsResult<*>, lines: Int) {
        if (result !is SettingsResult.Invalid) return
        assertTrue(result.errors.isNotEmpty())
        for (e in result.errors) {
            assertTrue(e.line in 1..lines && e.column >= 1, "$e")
            assertTrue(e.path.startsWith("$") && e.found.isNotBlank(), "$e")
            assertTrue(e.expected.isNotBlank(), "$e")
        }
    }

    /** Applies one to four changes of bytes or of whole tokens. */
    private fun mutate(text: String, random: Random): ByteArray {
        var current = text.toByteArray()
        repeat(random.nextInt(1, 5)) {
            current = if (random.nextBoolean()) {
                mutateBytes(current, random)
            } else {
                mutateTokens(String(current, Charsets.UTF_8), random).toByteArray()
            }
        }
        return current
    }

    private fun mutateBytes(bytes: ByteArray, random: Random): ByteArray {
        val at = random.nextInt(bytes.size + 1)
        val end = minOf(bytes.size, at + random.nextInt(20))
        val rest = bytes.copyOfRange(end, bytes.size)
        return when (random.nextInt(3)) {
            0 -> bytes.copyOf(at) + rest
            1 -> bytes.copyOf(at) + random.nextBytes(random.nextInt(4)) + rest
            else -> bytes.copyOf(end) + bytes.copyOfRange(at, bytes.size)
        }
    }

    private fun mutateTokens(text: String, random: Random): String {
        val tokens = token.findAll(text).toList()
        if (tokens.isEmpty()) return text
        val target = tokens.random(random)
        val replacement =
            if (random.nextBoolean()) values.random(random) else tokens.random(random).value
        return text.replaceRange(target.range, replacement)
    }

    private companion object {
        const val CR = '\r'.code.toByte()
        val token = Regex("\"[^\"]*\"|[0-9.]+|true|false|[{}\\[\\],:]")
        val values = listOf(
            "null", "[]", "{}", "-1", "0", "1e999", "99999999999999999999", "\"\"", "\"\\u0000\"",
            "\"\\ud800\"", "\"200 ms\"", "\"0.0.0.0:80\"", "true", "{\"\": {\"a b\": [null]}}"
        )
    }
}
