/*
 * A small fleet of real router processes on loopback, with the stand-ins they need.
 */
package org.hemlockpond.standins

import java.io.File
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest
import java.util.HexFormat
import java.util.concurrent.TimeUnit
import kotlin.test.fail
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.hemlockpond.core.CallConfig
import org.hemlockpond.core.Contract
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.RequestClass
import org.hemlockpond.core.RouteConfig
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.RouteKind
import org.hemlockpond.core.VersionId
import org.hemlockpond.core.budget.BudgetRecord
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.EtcdStore
import org.hemlockpond.store.ReadResult
import org.hemlockpond.store.WriteResult

/** A router process. */
internal class RouterProcess(
    val name: String,
    val callers: Int,
    val operators: Int,
    private val settings: Path,
    private val log: File
) {
    private var process: Process? = null
    val url = "http://127.0.0.1:$callers"

    fun start() {
        process = ProcessBuilder(
            "java",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xmx128m",
            "-cp",
            System.getProperty("java.class.path"),
            "org.hemlockpond.router.MainKt",
            "run",
            settings.toString()
        ).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start()
    }

    fun signal(name: String) {
        val pid = checkNotNull(process).pid().toString()
        ProcessBuilder("kill", "-$name", pid).start().waitFor()
    }

    /** Waits for the process to end and returns its exit code. */
    fun awaitExit(limit: Duration = 30.seconds): Int {
        val ended = checkNotNull(process).waitFor(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        if (!ended) fail("router $name didn't end within $limit:\n${log.readText()}")
        return checkNotNull(process).exitValue()
    }

    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    val logText: String get() = log.readText()
}

/**
 * @param domains the failure domain of each router
 * @param timing the `timing` settings of the routers
 */
internal class TestFleet(
    domains: List<String>,
    engine: EngineBehaviour = EngineBehaviour(),
    payment: Long = 1_000_000,
    timing: String = "{}"
) : AutoCloseable {
    private val directory: Path = Files.createTempDirectory("hemlockpond-test")
    val store = StoreStandIn(0)
    val engines = List(2) { EngineStandIn(0, engine) }
    val service = ServiceStandIn(0, ServiceBehaviour())
    val client = EtcdStore(listOf(InetSocketAddress("127.0.0.1", store.port)))
    val customer = CustomerId("workshop")
    private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val ports = domains.map { List(3) { freePort() } }
    val routers: List<RouterProcess>

    init {
        Files.writeString(directory.resolve("secret"), "s".repeat(40))
        declare(domains.distinct(), payment)
        routers = domains.mapIndexed { i, domain -> router(i, domain, domains, timing) }
        routers.forEach { it.start() }
        routers.forEach { awaitReady(it) }
    }

    private fun declare(domains: List<String>, payment: Long) {
        val advisor = RouteId("advisor")
        val registry = RouteId("registry")
        val version = VersionId("v1")
        val runners = engines.mapIndexed { i, engine ->
            val domain = FailureDomain(domains[i % domains.size])
            endpoint("runner-$i", advisor, domain, engine.port).copy(memoryTokens = 200_000)
        }
        val desk = endpoint("registry-0", registry, FailureDomain(domains[0]), service.port)
        val calls = listOf(
            CallConfig("POST", "/certificates", idempotent = false, tokens = 10),
            CallConfig("GET", "/batches", idempotent = true)
        )
        val fleet = FleetConfig(
            domains = domains.map { FailureDomain(it) },
            classes = listOf(RequestClass("quick", 100_000, 5_000)),
            routes = listOf(
                RouteConfig(advisor, RouteKind.MODEL, version),
                RouteConfig(registry, RouteKind.SERVICE, version, calls)
            ),
            endpoints = runners + desk
        )
        val contract = Contract(
            customer,
            listOf(digest(KEY)),
            listOf(advisor, registry),
            requestsPerSecond = 1_000.0,
            burst = 1_000,
            concurrentRequests = 1_000
        )
        write("hemlockpond/config/fleet", Json.encodeToString(FleetConfig.serializer(), fleet))
        val key = "hemlockpond/config/contracts/$customer"
        write(key, Json.encodeToString(Contract.serializer(), contract))
        val budget = BudgetRecord(payments = mapOf("p" to payment))
        write(BUDGET_KEY, Json.encodeToString(BudgetRecord.serializer(), budget))
    }

    private fun endpoint(id: String, route: RouteId, domain: FailureDomain, port: Int) =
        EndpointConfig(EndpointId(id), route, VersionId("v1"), domain, "127.0.0.1", port)

    private fun write(key: String, value: String) = runBlocking {
        val result = client.commit(listOf(ConditionalWrite(key, 0, value)))
        check(result is WriteResult.Applied) { "can't write $key: $result" }
    }

    private fun router(
        i: Int,
        domain: String,
        domains: List<String>,
        timing: String
    ): RouterProcess {
        val peers = domains.indices.joinToString {
            """{"name":"r$it","domain":"${domains[it]}","address":"127.0.0.1:${ports[it][2]}"}"""
        }
        val (callers, operators, peer) = ports[i]
        val settings = directory.resolve("r$i.json")
        Files.writeString(
            settings,
            """
            {"router":"r$i","domain":"$domain",
             "listen":{"callers":"127.0.0.1:$callers","operators":"127.0.0.1:$operators",
                       "peers":"127.0.0.1:$peer"},
             "advertise":"127.0.0.1:$peer","peers":[$peers],
             "platform":{"stores":["127.0.0.1:${store.port}"],"timeout":"1s"},
             "peerSecretFile":"$directory/secret","operatorTokenFile":"$directory/secret",
             "timing":$timing}
            """.trimIndent()
        )
        val log = directory.resolve("r$i.log").toFile()
        return RouterProcess("r$i", callers, operators, settings, log)
    }

    fun peerPort(i: Int): Int = ports[i][2]

    fun awaitReady(router: RouterProcess) = eventually("router ${router.name} is ready", router) {
        runCatching { get("${router.url}/readyz").statusCode() == 200 }.getOrDefault(false)
    }

    /** Waits until [condition] holds; a bound far above the usual time keeps the verdict stable. */
    fun eventually(what: String, router: RouterProcess? = null, condition: () -> Boolean) {
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < LIMIT) {
            if (condition()) return
            Thread.sleep(50)
        }
        val logs = (listOfNotNull(router).ifEmpty { routers }).joinToString("\n") { it.logText }
        fail("not within $LIMIT: $what\n$logs")
    }

    fun budget(): BudgetRecord = runBlocking {
        val read = client.read(BUDGET_KEY) as ReadResult.Values
        Json { ignoreUnknownKeys = true }
            .decodeFromString(BudgetRecord.serializer(), read.values.single().value)
    }

    /** The ids of the routers whose leases stand. */
    fun registeredRouters(): List<String> = runBlocking {
        val prefix = "hemlockpond/routers/"
        val read = client.readPrefix(prefix) as ReadResult.Values
        read.values.map { it.key.removePrefix(prefix) }
    }

    fun setFaults(json: String) = post("http://127.0.0.1:${store.port}/faults", json, emptyMap())

    fun get(url: String): HttpResponse<String> = http.send(
        request(url, emptyMap()).GET().build(),
        HttpResponse.BodyHandlers.ofString()
    )

    fun post(url: String, body: String, headers: Map<String, String>): HttpResponse<String> =
        http.send(
            request(url, headers).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
            HttpResponse.BodyHandlers.ofString()
        )

    fun chat(router: RouterProcess, prompt: String, maxTokens: Int, key: String? = null) = post(
        "${router.url}/v1/chat/completions",
        chatBody(prompt, maxTokens, stream = false),
        headers(key)
    )

    /** Opens a streamed answer; lines arrive as they are read. */
    fun stream(
        router: RouterProcess,
        prompt: String,
        maxTokens: Int,
        headers: Map<String, String>
    ): HttpResponse<java.util.stream.Stream<String>> {
        val body = chatBody(prompt, maxTokens, stream = true)
        val all = headers + ("Authorization" to "Bearer $KEY")
        val request = request("${router.url}/v1/chat/completions", all)
            .POST(HttpRequest.BodyPublishers.ofString(body)).build()
        return http.send(request, HttpResponse.BodyHandlers.ofLines())
    }

    fun certificate(router: RouterProcess, key: String) =
        post("${router.url}/services/registry/certificates", """{"batch":"$key"}""", headers(key))

    fun runsOf(): Map<String, Int> {
        val stats = get("http://127.0.0.1:${service.port}/stats").body()
        return Json.decodeFromString(ServiceStats.serializer(), stats).runs
    }

    private fun headers(key: String?): Map<String, String> = buildMap {
        put("Authorization", "Bearer $KEY")
        if (key != null) put("Idempotency-Key", key)
    }

    private fun request(url: String, headers: Map<String, String>): HttpRequest.Builder {
        val builder = HttpRequest.newBuilder(URI(url))
            .timeout(java.time.Duration.ofSeconds(LIMIT.inWholeSeconds))
        headers.forEach { (name, value) -> builder.header(name, value) }
        return builder
    }

    override fun close() {
        routers.forEach { it.kill() }
        client.close()
        (engines + service + store).forEach { it.close() }
        directory.toFile().deleteRecursively()
    }

    companion object {
        const val KEY = "hp-test-key"
        private const val BUDGET_KEY = "hemlockpond/budgets/workshop"
        val LIMIT = 60.seconds

        fun chatBody(prompt: String, maxTokens: Int, stream: Boolean) =
            """{"model":"advisor","max_tokens":$maxTokens,"stream":$stream,
               "messages":[{"role":"user","content":"$prompt"}]}"""

        private fun digest(key: String): String = HexFormat.of()
            .formatHex(MessageDigest.getInstance("SHA-256").digest(key.toByteArray()))

        fun freePort(): Int = ServerSocket(0).use { it.localPort }
    }
}
