package org.hemlockpond.cli

import java.net.InetSocketAddress
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.ReadResult
import org.hemlockpond.store.StoredValue
import org.hemlockpond.store.WriteResult

internal enum class Fault { NONE, NOT_SENT, LOST_REQUEST, LOST_ANSWER }

/** A store in memory. [faults] are the faults of the next commits, in order. */
internal class FakeStore : Store {
    val values = sortedMapOf<String, StoredValue>()
    val faults = ArrayDeque<Fault>()
    val transactions = mutableListOf<List<ConditionalWrite>>()
    var down = false

    /** Called before each commit; another writer acts here. */
    var race: (FakeStore) -> Unit = {}
    private var revision = 1L

    override val attempts = 2

    fun put(key: String, value: String) {
        revision++
        values[key] = StoredValue(key, value, revision)
    }

    override fun read(key: String): ReadResult = readAll { it == key }

    override fun readPrefix(prefix: String): ReadResult = readAll { it.startsWith(prefix) }

    private fun readAll(accept: (String) -> Boolean): ReadResult = if (down) {
        ReadResult.Unavailable("the store is down")
    } else {
        ReadResult.Values(values.values.filter { accept(it.key) }, revision)
    }

    override fun commit(writes: List<ConditionalWrite>): WriteResult {
        race(this)
        transactions += writes
        if (down) return WriteResult.NotSent("the store is down")
        return when (faults.removeFirstOrNull() ?: Fault.NONE) {
            Fault.NONE -> apply(writes)

            Fault.NOT_SENT -> WriteResult.NotSent("refused")

            Fault.LOST_REQUEST -> WriteResult.Unknown("timeout")

            Fault.LOST_ANSWER -> {
                apply(writes)
                WriteResult.Unknown("timeout")
            }
        }
    }

    private fun apply(writes: List<ConditionalWrite>): WriteResult {
        if (writes.any { (values[it.key]?.revision ?: 0) != it.expectedRevision }) {
            return WriteResult.Conflict(writes.mapNotNull { values[it.key] })
        }
        revision++
        for (write in writes) {
            when (val value = write.value) {
                null -> values.remove(write.key)
                else -> values[write.key] = StoredValue(write.key, value, revision)
            }
        }
        return WriteResult.Applied(revision)
    }

    override fun close() = Unit
}

internal class FakeEnvironment(val store: FakeStore = FakeStore()) : Environment {
    val out = mutableListOf<String>()
    val err = mutableListOf<String>()
    var time = Instant.parse("2026-12-04T08:00:00Z")
    var slept: (FakeEnvironment) -> Unit = {}

    override fun now() = time

    override fun sleep(span: Duration) {
        time += span
        slept(this)
    }

    override fun randomBytes(count: Int) = ByteArray(count) { it.toByte() }

    override fun openStore(addresses: List<InetSocketAddress>): Store = store

    override fun out(line: String) {
        out += line
    }

    override fun err(line: String) {
        err += line
    }

    /** Runs a command line against the fake store and returns its exit code. */
    fun run(vararg args: String): Int {
        out.clear()
        err.clear()
        val remote = args.first() in setOf("apply", "budget", "move", "router")
        return run(args.toList() + if (remote) listOf("--store", "h:1") else emptyList(), this)
    }

    /** The same with `--json`; returns the object that was printed. */
    fun json(vararg args: String): JsonObject {
        val exit = run(*args, "--json")
        check(err.isEmpty()) { "--json printed to standard error: $err" }
        val json = Json.parseToJsonElement(out.joinToString("\n")).jsonObject
        check(json.getValue("exit").toString() == "$exit") { "exit $exit differs from $json" }
        return json
    }
}

internal val authority: Path = Path.of("../examples/authority")

/** A copy of the example declarations that a test may change. */
internal fun copyOfAuthority(): Path {
    val directory = Files.createTempDirectory("authority")
    authority.toFile().copyRecursively(directory.toFile(), overwrite = true)
    return directory
}

internal fun Path.replace(file: String, old: String, new: String) {
    val path = resolve(file)
    val text = Files.readString(path)
    check(old in text) { "$file lacks $old" }
    Files.writeString(path, text.replaceFirst(old, new))
}
