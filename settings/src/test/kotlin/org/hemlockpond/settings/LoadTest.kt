package org.hemlockpond.settings

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.Json
import org.hemlockpond.core.Contract
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig

class LoadTest {
    private fun <T> valid(result: SettingsResult<T>): T = when (result) {
        is SettingsResult.Valid -> result.value
        is SettingsResult.Invalid -> error(result.errors.joinToString("\n"))
    }

    private fun temporary(text: String): Path =
        Files.createTempFile("settings", ".json").also { it.writeText(text) }

    private val minimal = """{"router": "entry-1", "domain": "a", "advertise": "10.0.0.1:8082",
        "platform": {"stores": ["10.0.0.9:2379"]}, "peerSecretFile": "s", "operatorTokenFile": "t"}"""

    /** Guards against a default that differs from the one documented in the class. */
    @Test
    fun absentValuesHaveDefaults() {
        val file = temporary(minimal)
        val settings = valid(loadRouterSettings(file))
        val expected = RouterSettings(
            router = "entry-1",
            domain = FailureDomain("a"),
            advertise = SocketAddress("10.0.0.1", 8082),
            platform = PlatformSettings(listOf(SocketAddress("10.0.0.9", 2379))),
            peerSecretFile = file.resolveSibling("s"),
            operatorTokenFile = file.resolveSibling("t")
        )
        assertEquals(expected, settings)
        assertEquals(6.hours, settings.timing.routerLease)
    }

    /** Guards against declared values that are read into another field or dropped. */
    @Test
    fun declaredValuesArriveInTheirFields() {
        val file = Path.of("../examples/ingabo/routers/ingabo-2.json")
        val settings = valid(loadRouterSettings(file))
        assertEquals(SocketAddress("127.0.0.1", 7502), settings.listen.operators)
        assertEquals(SocketAddress("127.0.0.1", 7602), settings.advertise)
        assertEquals(120.seconds, settings.limits.sendTimeout)
        assertEquals(32L * 1024 * 1024, settings.limits.totalReaderBytes)
        assertTrue(settings.peerSecretFile.endsWith("examples/ingabo/secrets/peer-secret"))
        assertFalse(settings.peers.any { it.name == "ingabo-2" })
        assertEquals(6, settings.peers.size)
    }

    /** Guards against examples that the reader refuses or that lost the deployments' sizes. */
    @Test
    fun examplesAreValidAndHaveTheDeploymentsSizes() {
        val sizes = mapOf("authority" to listOf(3, 8, 3, 8), "ingabo" to listOf(4, 8, 4, 7))
        for ((name, size) in sizes) {
            val directory = Path.of("../examples", name)
            val config = valid(loadDeclarations(directory)).config
            val models = config.endpoints.count { it.memoryTokens > 0 }
            val services = config.endpoints.size - models
            assertEquals(size.dropLast(1), listOf(config.domains.size, models, services))
            val hosts = size.last()
            assertEquals(10, config.contracts.size)
            assertTrue(config.routes.flatMap { it.calls }.any { !it.idempotent })
            val routers = directory.resolve("routers").listDirectoryEntries().sorted()
                .map { valid(loadRouterSettings(it)) }
            assertEquals(hosts, routers.size)
            assertTrue(routers.all { it.domain in config.domains && it.peers.size == hosts - 1 })
            val listens = routers.map { it.listen }
            val addresses = listens.flatMap { listOf(it.callers, it.operators, it.peers) } +
                config.endpoints.map { SocketAddress(it.host, it.port) }
            assertEquals(addresses.size, addresses.toSet().size)
            assertTrue(addresses.all { it.host == "127.0.0.1" })
        }
    }

    /** Guards against store entries that a router decodes to something else than was declared. */
    @Test
    fun entriesDecodeToTheDeclaredConfig() {
        val declarations = valid(loadDeclarations(Path.of("../examples/authority")))
        val entries = declarations.entries
        val contracts = entries.filterKeys { it.startsWith("hemlockpond/config/contracts/") }
            .map { (_, value) -> Json.decodeFromJsonElement(Contract.serializer(), value) }
        val fleet = Json.decodeFromJsonElement(
            FleetConfig.serializer(),
            entries.getValue("hemlockpond/config/fleet")
        )
        assertEquals(declarations.config, fleet.copy(contracts = contracts))
        assertEquals(11, entries.size)
        assertTrue("\"burst\"" in entries.getValue(contractKey).toString())
    }

    /** Guards against an entry over the store's limit that fails only when it is applied. */
    @Test
    fun entryOverTheStoresLimitIsRefused() {
        val endpoints = (1..6_000).joinToString(",") {
            """{"id": "endpoint-$it", "route": "m", "version": "v", "domain": "a",
                "address": "endpoint-$it.example:80", "memoryTokens": 1}"""
        }
        val directory = Files.createTempDirectory("large")
        directory.resolve("fleet.json").writeText(
            """{"domains": ["a"], "routes": [{"id": "m", "kind": "model", "version": "v"}],
                "endpoints": [$endpoints]}"""
        )
        val result = assertIs<SettingsResult.Invalid>(loadDeclarations(directory))
        assertTrue("hemlockpond/config/fleet" in result.errors.single().found)
        directory.toFile().deleteRecursively()
    }

    /** Guards against a short shared secret and against errors that show a secret. */
    @Test
    fun secretsAreBoundedAndNeverShown() {
        val settings = valid(loadRouterSettings(temporary(minimal)))
        fun load(secret: String, token: String): SettingsResult<RouterSecrets> = loadRouterSecrets(
            settings.copy(
                peerSecretFile = temporary(secret),
                operatorTokenFile = temporary(token)
            )
        )
        val long = "s".repeat(MIN_SECRET_BYTES)
        val loaded = valid(load("$long\n", "$long\r\n"))
        assertEquals(long, String(loaded.peerSecret))
        assertEquals(long, loaded.operatorToken)
        val short = assertIs<SettingsResult.Invalid>(load(long.drop(1) + "\n", "ü" + long))
        assertEquals(
            setOf("$.peerSecretFile", "$.operatorTokenFile"),
            short.errors.map { it.path }.toSet()
        )
        assertTrue(short.errors.none { "sss" in it.toString() } && "sss" !in "$loaded")
        assertIs<SettingsResult.Invalid>(loadRouterSecrets(settings))
    }

    private val contractKey = "hemlockpond/config/contracts/embu-artisans"
}
