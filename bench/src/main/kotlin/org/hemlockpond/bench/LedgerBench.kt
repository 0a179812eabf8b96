/*
 * Measures the request ledger in paused time: processor time and message bytes for each request,
 * memory for each entry, and store calls for run records against the rate of calls.
 */
package org.hemlockpond.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import java.lang.management.ManagementFactory
import java.util.PriorityQueue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.ledger.LedgerAction
import org.hemlockpond.core.ledger.LedgerEvent
import org.hemlockpond.core.ledger.LedgerMessage
import org.hemlockpond.core.ledger.Peer
import org.hemlockpond.core.ledger.RequestLedger
import org.hemlockpond.core.ledger.RunWriteOutcome

private const val TICK_MILLIS = 5L
private const val STORE_MILLIS = 4L
private const val RUN_MILLIS = 200L
private const val MILLIS = 1_000L

/** A connected fleet in paused time; every message takes 1 ms. */
@OptIn(ExperimentalSerializationApi::class)
private class BenchFleet(routers: Int, private val encode: Boolean) {
    private class Due(val at: Long, val order: Long, val run: () -> Unit)

    private val queue = PriorityQueue<Due>(compareBy({ it.at }, { it.order }))
    private val threads = ManagementFactory.getThreadMXBean()
    private val cbor = Cbor { }
    private val ids = (0 until routers).map { RouterId("ke-central-$it-7f3a") }
    private val domains = ids.indices.map { FailureDomain("ke-central-${it % 2}") }
    private val ledgers = ids.indices.map { RequestLedger(ids[it], domains[it]) }
    private var order = 0L
    private var time = 0L
    var cpuNanos = 0L
        private set
    var messages = 0L
        private set
    var bytes = 0L
        private set
    var storeCalls = 0L
        private set
    var proceeded = 0L
        private set
    val entries: Int get() = ledgers.sumOf { it.entryCount }

    init {
        for (i in ids.indices) {
            val peers = ids.indices.filter { it != i }.map { Peer(ids[it], domains[it]) }
            deliver(i, LedgerEvent.PeersChanged(peers))
            tick(i)
        }
    }

    private fun tick(i: Int) {
        deliver(i, LedgerEvent.Tick)
        after(TICK_MILLIS) { tick(i) }
    }

    private fun after(delay: Long, run: () -> Unit) {
        queue += Due(time + delay, order++, run)
    }

    fun advanceTo(until: Long) {
        while (queue.peek().at <= until) {
            val due = queue.poll()
            time = due.at
            due.run()
        }
        time = until
    }

    fun begin(number: Int, idempotent: Boolean) {
        // A digest in hex, as the router makes request ids from keys.
        val request = RequestId(number.toString().padStart(64, 'a'))
        val event = LedgerEvent.Begin(
            request,
            CustomerId("organisation-${number % 10}"),
            "d".repeat(64),
            idempotent,
            1_000
        )
        deliver(number % ids.size, event)
    }

    private fun deliver(i: Int, event: LedgerEvent) {
        val now = Now(time.milliseconds, Instant.fromEpochMilliseconds(time))
        val start = threads.currentThreadCpuTime
        val actions = ledgers[i].handle(event, now)
        cpuNanos += threads.currentThreadCpuTime - start
        for (action in actions) perform(i, action)
    }

    private fun perform(i: Int, action: LedgerAction) {
        when (action) {
            is LedgerAction.SendToPeer -> {
                messages++
                if (encode) {
                    val serializer = LedgerMessage.serializer()
                    bytes += cbor.encodeToByteArray(serializer, action.message).size
                }
                val to = ids.indexOf(action.to)
                after(1) { deliver(to, LedgerEvent.PeerReceived(ids[i], action.message)) }
            }

            is LedgerAction.Proceed -> {
                proceeded++
                after(RUN_MILLIS) { deliver(i, LedgerEvent.Finish(action.request, 800)) }
            }

            is LedgerAction.WriteRunRecords -> {
                storeCalls++
                val outcomes = action.writes.associate {
                    it.request to RunWriteOutcome.Applied(it.expectedRevision + 1)
                }
                after(STORE_MILLIS) {
                    deliver(i, LedgerEvent.RunRecordsWritten(action.number, outcomes))
                }
            }

            is LedgerAction.ReadRunRecord -> storeCalls++

            else -> Unit
        }
    }
}

/** Prints the measured costs of the ledger. */
internal class LedgerBench : CliktCommand(name = "ledger-bench") {
    private val routers by option(help = "routers in two failure domains").int().default(8)
    private val rate by option(help = "requests a second over all routers").int().default(300)
    private val seconds by option(help = "simulated seconds").int().default(60)

    override fun run() {
        drive(BenchFleet(routers, encode = false), rate, seconds, idempotent = true)
        val before = usedHeap()
        val fleet = BenchFleet(routers, encode = false)
        drive(fleet, rate, seconds, idempotent = true)
        val used = usedHeap() - before
        val requests = fleet.proceeded
        val encoded = BenchFleet(routers, encode = true)
        drive(encoded, rate, seconds, idempotent = true)
        val idle = BenchFleet(routers, encode = true)
        idle.advanceTo(seconds * MILLIS)
        echo("routers $routers, requests $requests at $rate/s over $seconds s")
        echo("processor time for each request: ${fleet.cpuNanos / requests / 1000.0} us")
        echo("memory for each entry: ${used / fleet.entries} bytes, ${fleet.entries} entries")
        echo("messages for each request: ${encoded.messages.toDouble() / requests}")
        echo("message bytes for each request: ${encoded.bytes / requests}")
        echo("idle message bytes for each router and second: ${idle.bytes / routers / seconds}")
        for (calls in listOf(10, 100, 500, 2_000)) {
            val store = BenchFleet(routers, encode = false)
            drive(store, calls, RECORD_SECONDS, idempotent = false)
            val perSecond = store.storeCalls / RECORD_SECONDS
            echo("calls with run records: $calls/s, store calls: $perSecond/s")
        }
    }

    private fun drive(fleet: BenchFleet, rate: Int, seconds: Int, idempotent: Boolean) {
        repeat(rate * seconds) { number ->
            fleet.advanceTo(number * MILLIS / rate)
            fleet.begin(number, idempotent)
        }
        fleet.advanceTo(seconds * MILLIS + MILLIS)
    }

    private fun usedHeap(): Long {
        // Explicit collections, because the figure is the memory that stays reachable.
        repeat(GC_ROUNDS) { System.gc() }
        return Runtime.getRuntime().run { totalMemory() - freeMemory() }
    }

    private companion object {
        const val RECORD_SECONDS = 10
        const val GC_ROUNDS = 3
    }
}

/** Runs the benchmark; see `--help`. */
fun main(args: Array<String>) = LedgerBench().main(args)
