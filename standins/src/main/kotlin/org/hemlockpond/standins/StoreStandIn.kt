/*
 * Stand-in for the platform's key-value service: the parts of the etcd v3 JSON gateway that
 * hemlockpond uses, held in memory, with faults that tests switch on (`POST /faults`).
 */
package org.hemlockpond.standins

import java.util.TreeMap
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import org.hemlockpond.store.EtcdHeader
import org.hemlockpond.store.EtcdJson
import org.hemlockpond.store.EtcdKeyValue
import org.hemlockpond.store.LeaseGrantRequest
import org.hemlockpond.store.LeaseGrantResponse
import org.hemlockpond.store.LeaseKeepAliveRequest
import org.hemlockpond.store.LeaseKeepAliveResponse
import org.hemlockpond.store.PutResponse
import org.hemlockpond.store.RangeRequest
import org.hemlockpond.store.RangeResponse
import org.hemlockpond.store.RequestOp
import org.hemlockpond.store.ResponseOp
import org.hemlockpond.store.TxnRequest
import org.hemlockpond.store.TxnResponse
import org.hemlockpond.store.WatchEvent
import org.hemlockpond.store.WatchRequest
import org.hemlockpond.store.WatchResponse
import org.hemlockpond.store.WatchResult
import org.hemlockpond.store.decodeText

/** Faults of the stand-in store. */
@Serializable
internal data class StoreFaults(
    /** Every connection is closed before the call takes effect. */
    val down: Boolean = false,
    /** Every answer waits this long, in milliseconds. */
    val delayMillis: Long = 0,
    /** This many writes take effect without an answer. */
    val loseAnswers: Int = 0
)

/** Calls since the start. */
@Serializable
internal data class StoreStats(val reads: Long, val writes: Long, val watches: Int)

/** The store's state. One network thread uses it. */
internal class StoreStandIn(port: Int) : AutoCloseable {
    private class Watch(val from: String, val until: String, val exchange: Exchange)

    private class Lease(val ttlSeconds: Long, var expiresAtNanos: Long)

    private val values = TreeMap<String, EtcdKeyValue>()
    private val history = ArrayDeque<WatchEvent>()
    private val watches = mutableListOf<Watch>()
    private val leases = mutableMapOf<String, Lease>()
    private var revision = 1L
    private var nextLease = 1L
    private var faults = StoreFaults()
    private var reads = 0L
    private var writes = 0L
    private val server = HttpStandIn(port, ::handle)

    val port: Int get() = server.port

    fun join() = server.join()

    override fun close() = server.close()

    private fun handle(exchange: Exchange) {
        when (exchange.path) {
            "/faults" -> setFaults(exchange)

            "/stats" -> exchange.answer(
                200,
                EtcdJson.encodeToString(
                    StoreStats.serializer(),
                    StoreStats(reads, writes, watches.size)
                )
            )

            else -> if (faults.down) exchange.close() else handleCall(exchange)
        }
    }

    private fun setFaults(exchange: Exchange) {
        faults = EtcdJson.decodeFromString(StoreFaults.serializer(), exchange.body)
        if (faults.down) {
            watches.toList().forEach { it.exchange.close() }
            watches.clear()
        }
        exchange.answer(200, "{}")
    }

    private fun handleCall(exchange: Exchange) {
        expireLeases()
        when (exchange.path) {
            "/v3/kv/range" -> {
                reads++
                val request = decode(RangeRequest.serializer(), exchange)
                reply(exchange, RangeResponse.serializer(), range(request))
            }

            "/v3/kv/txn" -> {
                writes++
                val response = txn(decode(TxnRequest.serializer(), exchange))
                if (faults.loseAnswers > 0) {
                    faults = faults.copy(loseAnswers = faults.loseAnswers - 1)
                    exchange.close()
                } else {
                    reply(exchange, TxnResponse.serializer(), response)
                }
            }

            "/v3/lease/grant" -> {
                writes++
                grantLease(exchange)
            }

            "/v3/lease/keepalive" -> {
                writes++
                keepLease(exchange)
            }

            "/v3/watch" -> startWatch(exchange)

            else -> exchange.answer(404, """{"error":"no such path"}""")
        }
    }

    private fun <T> decode(type: KSerializer<T>, exchange: Exchange): T =
        EtcdJson.decodeFromString(type, exchange.body)

    private fun <T> reply(exchange: Exchange, type: KSerializer<T>, response: T) {
        val json = EtcdJson.encodeToString(type, response)
        if (faults.delayMillis == 0L) {
            exchange.answer(200, json)
        } else {
            exchange.schedule(faults.delayMillis) { exchange.answer(200, json) }
        }
    }

    private fun header() = EtcdHeader(revision.toString())

    private fun range(request: RangeRequest): RangeResponse {
        val from = decodeText(request.key)
        val until = request.rangeEnd?.let { decodeText(it) }
        val found = when (until) {
            null -> listOfNotNull(values[from])
            else -> values.subMap(from, until).values.toList()
        }
        return RangeResponse(header(), found)
    }

    private fun txn(request: TxnRequest): TxnResponse {
        val holds = request.compare.all {
            (values[decodeText(it.key)]?.modRevision ?: "0") == it.modRevision
        }
        val operations = if (holds) request.success else request.failure
        if (operations.any { it.put != null || it.delete != null }) revision++
        val responses = operations.map { execute(it) }
        return TxnResponse(header(), holds, responses)
    }

    private fun execute(operation: RequestOp): ResponseOp {
        operation.range?.let { return ResponseOp(range = range(it)) }
        operation.txn?.let { return ResponseOp(txn = txn(it)) }
        operation.put?.let {
            val stored =
                EtcdKeyValue(it.key, it.value, revision.toString(), it.lease ?: "0")
            values[decodeText(it.key)] = stored
            publish(WatchEvent(kv = stored))
            return ResponseOp(put = PutResponse(header()))
        }
        operation.delete?.let { delete(decodeText(it.key), it.key) }
        return ResponseOp(delete = PutResponse(header()))
    }

    private fun delete(key: String, encodedKey: String) {
        values.remove(key) ?: return
        publish(WatchEvent("DELETE", EtcdKeyValue(encodedKey, modRevision = revision.toString())))
    }

    private fun publish(event: WatchEvent) {
        history.addLast(event)
        if (history.size > MAX_HISTORY) history.removeFirst()
        watches.removeIf { !it.exchange.channel.isActive }
        watches.filter { covers(it, event) }.forEach { send(it, listOf(event)) }
    }

    private fun covers(watch: Watch, event: WatchEvent): Boolean {
        val key = decodeText(event.kv.key)
        return key >= watch.from && key < watch.until
    }

    private fun send(watch: Watch, events: List<WatchEvent>) {
        val response = WatchResponse(WatchResult(header(), events = events))
        watch.exchange.send(EtcdJson.encodeToString(WatchResponse.serializer(), response) + "\n")
    }

    private fun startWatch(exchange: Exchange) {
        val create = decode(WatchRequest.serializer(), exchange).create
        val watch = Watch(decodeText(create.key), decodeText(create.rangeEnd), exchange)
        exchange.startStream("application/json")
        val created = WatchResponse(WatchResult(header(), created = true))
        exchange.send(EtcdJson.encodeToString(WatchResponse.serializer(), created) + "\n")
        val start = create.startRevision?.toLong() ?: (revision + 1)
        val missed = history.filter { it.kv.modRevision.toLong() >= start && covers(watch, it) }
        if (missed.isNotEmpty()) send(watch, missed)
        watches += watch
    }

    private fun grantLease(exchange: Exchange) {
        val ttl = decode(LeaseGrantRequest.serializer(), exchange).ttl.toLong()
        val id = (nextLease++).toString()
        leases[id] = Lease(ttl, System.nanoTime() + ttl * NANOS_PER_SECOND)
        val response = LeaseGrantResponse(id, ttl.toString())
        reply(exchange, LeaseGrantResponse.serializer(), response)
    }

    private fun keepLease(exchange: Exchange) {
        val id = decode(LeaseKeepAliveRequest.serializer(), exchange).id
        val lease = leases[id]
        lease?.expiresAtNanos = System.nanoTime() + (lease?.ttlSeconds ?: 0) * NANOS_PER_SECOND
        val response = LeaseGrantResponse(id, (lease?.ttlSeconds ?: 0).toString())
        reply(
            exchange,
            LeaseKeepAliveResponse.serializer(),
            LeaseKeepAliveResponse(response)
        )
    }

    private fun expireLeases() {
        val now = System.nanoTime()
        val lapsed = leases.filterValues { it.expiresAtNanos - now < 0 }.keys
        if (lapsed.isEmpty()) return
        leases -= lapsed
        val keys = values.filterValues { it.lease in lapsed }
        if (keys.isNotEmpty()) revision++
        keys.forEach { (key, value) -> delete(key, value.key) }
    }

    private companion object {
        const val MAX_HISTORY = 10_000
        const val NANOS_PER_SECOND = 1_000_000_000L
    }
}
