/*
 * Client of the platform's key-value service, which speaks the etcd v3 JSON gateway protocol over
 * HTTP. Calls go to one address at a time and move to the next address after a failure.
 */
package org.hemlockpond.store

import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.map
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.hemlockpond.core.decodeText

/**
 * The store behind the product's own interface.
 *
 * @param addresses the store's addresses, tried in turn
 * @param timeout how long one call may take before it counts as failed
 */
class EtcdStore(private val addresses: List<InetSocketAddress>, timeout: Duration = 2.seconds) :
    KeyValueStore {
    private val http = JsonHttpClient(timeout)
    private val current = AtomicInteger(0)

    init {
        require(addresses.isNotEmpty()) { "the platform store needs at least one address" }
    }

    override suspend fun read(key: String): ReadResult = readRange(RangeRequest(encodeText(key)))

    override suspend fun readPrefix(prefix: String): ReadResult =
        readRange(RangeRequest(encodeText(prefix), encodeText(prefixEnd(prefix))))

    private suspend fun readRange(request: RangeRequest): ReadResult {
        val result =
            call("/v3/kv/range", RangeRequest.serializer(), request, RangeResponse.serializer())
        return when (result) {
            is CallResult.Answer ->
                ReadResult.Values(
                    result.value.kvs.map { it.toStored() },
                    result.value.header.revision.toLong()
                )

            is CallResult.Failed -> ReadResult.Unavailable(result.cause)
        }
    }

    override suspend fun commit(writes: List<ConditionalWrite>): WriteResult {
        val result = callTxn(writes.toTxn())
        return when (result) {
            is CallResult.Answer -> result.value.toWriteResult()
            is CallResult.Failed -> result.toWriteResult()
        }
    }

    /**
     * Applies each of [writes] on its own in one call, and returns one result for each, in order.
     * Nested transactions make this one call against the store's rate.
     */
    suspend fun commitEach(writes: List<ConditionalWrite>): List<WriteResult> {
        val nested = TxnRequest(success = writes.map { RequestOp(txn = listOf(it).toTxn()) })
        return when (val result = callTxn(nested)) {
            is CallResult.Answer ->
                result.value.responses.map {
                    it.txn?.toWriteResult() ?: WriteResult.Unknown("the answer lacks a result")
                }

            is CallResult.Failed -> writes.map { result.toWriteResult() }
        }
    }

    override suspend fun grantLease(ttl: Duration): LeaseResult {
        val request = LeaseGrantRequest(ttl.inWholeSeconds.toString())
        val result = call(
            "/v3/lease/grant",
            LeaseGrantRequest.serializer(),
            request,
            LeaseGrantResponse.serializer()
        )
        return when (result) {
            is CallResult.Answer -> result.value.toLeaseResult()
            is CallResult.Failed -> LeaseResult.Unavailable(result.cause)
        }
    }

    override suspend fun keepAlive(lease: LeaseId): LeaseResult {
        val result = call(
            "/v3/lease/keepalive",
            LeaseKeepAliveRequest.serializer(),
            LeaseKeepAliveRequest(lease.value),
            LeaseKeepAliveResponse.serializer()
        )
        return when (result) {
            is CallResult.Answer -> result.value.result.toLeaseResult()
            is CallResult.Failed -> LeaseResult.Unavailable(result.cause)
        }
    }

    override fun watch(prefix: String, fromRevision: Long): Flow<List<StoreChange>> {
        val create = WatchCreate(
            encodeText(prefix),
            encodeText(prefixEnd(prefix)),
            fromRevision.toString()
        )
        val body = EtcdJson.encodeToString(WatchRequest.serializer(), WatchRequest(create))
        return http.stream(address(), "/v3/watch", body)
            .buffer(WATCH_BUFFER, BufferOverflow.SUSPEND)
            .map { text ->
                val result = EtcdJson.decodeText(WatchResponse.serializer(), text).result
                result.events.map { it.toChange() }
            }
    }

    override fun close() = http.close()

    private fun address(): InetSocketAddress =
        addresses[Math.floorMod(current.get(), addresses.size)]

    private suspend fun callTxn(request: TxnRequest): CallResult<TxnResponse> =
        call("/v3/kv/txn", TxnRequest.serializer(), request, TxnResponse.serializer())

    private suspend fun <A, B> call(
        path: String,
        requestType: KSerializer<A>,
        request: A,
        responseType: KSerializer<B>
    ): CallResult<B> {
        val body = EtcdJson.encodeToString(requestType, request)
        val answer = http.post(address(), path, body)
        if (answer is HttpResult.Failed) {
            current.incrementAndGet()
            return CallResult.Failed(answer.cause, answer.sent)
        }
        val ok = answer as HttpResult.Answer
        if (ok.status != HTTP_OK) {
            return CallResult.Failed("the store answered ${ok.status}: ${ok.body.take(200)}", true)
        }
        return try {
            CallResult.Answer(EtcdJson.decodeText(responseType, ok.body))
        } catch (e: SerializationException) {
            CallResult.Failed("the store's answer can't be decoded: ${e.message}", true)
        }
    }

    private sealed interface CallResult<out T> {
        data class Answer<T>(val value: T) : CallResult<T>

        data class Failed(val cause: String, val sent: Boolean) : CallResult<Nothing> {
            fun toWriteResult(): WriteResult =
                if (sent) WriteResult.Unknown(cause) else WriteResult.NotSent(cause)
        }
    }

    private companion object {
        const val HTTP_OK = 200
        const val WATCH_BUFFER = 256
    }
}

private fun EtcdKeyValue.toStored() =
    StoredValue(decodeText(key), decodeText(value), modRevision.toLong())

private fun WatchEvent.toChange(): StoreChange {
    val deleted = type == "DELETE"
    return StoreChange(
        key = decodeText(kv.key),
        value = if (deleted) null else decodeText(kv.value),
        revision = kv.modRevision.toLong()
    )
}

private fun LeaseGrantResponse.toLeaseResult(): LeaseResult =
    if (ttl.toLong() > 0) LeaseResult.Held(LeaseId(id), ttl.toLong()) else LeaseResult.Lapsed

private fun List<ConditionalWrite>.toTxn() = TxnRequest(
    compare = map { Compare(encodeText(it.key), it.expectedRevision.toString()) },
    success = map { write ->
        when (val value = write.value) {
            null -> RequestOp(delete = DeleteRequest(encodeText(write.key)))

            else -> RequestOp(
                put = PutRequest(encodeText(write.key), encodeText(value), write.lease?.value)
            )
        }
    },
    failure = map { RequestOp(range = RangeRequest(encodeText(it.key))) }
)

private fun TxnResponse.toWriteResult(): WriteResult {
    if (succeeded) return WriteResult.Applied(header.revision.toLong())
    return WriteResult.Conflict(
        responses.flatMap { it.range?.kvs.orEmpty() }.map { it.toStored() }
    )
}
