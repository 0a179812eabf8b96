/*
 * Messages of the etcd v3 JSON gateway, as far as hemlockpond uses them. Field names, base64 keys
 * and values, and 64-bit integers written as strings follow the published protobuf-to-JSON mapping
 * (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/).
 */
package org.hemlockpond.store

import java.util.Base64
import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** JSON settings for gateway messages: unknown fields are ignored, unset fields are left out. */
val EtcdJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}

/** Encodes a key or text value for the gateway. */
fun encodeText(text: String): String = Base64.getEncoder().encodeToString(text.toByteArray())

/** Decodes a key or text value of the gateway. */
fun decodeText(encoded: String): String = String(Base64.getDecoder().decode(encoded))

/** The end of the key range that holds every key with [prefix]. */
fun prefixEnd(prefix: String): String {
    require(prefix.isNotEmpty()) { "a key range needs a prefix" }
    val last = prefix.last()
    return prefix.dropLast(1) + (last + 1)
}

@Serializable
data class EtcdKeyValue(
    val key: String,
    val value: String = "",
    @SerialName("mod_revision") val modRevision: String = "0",
    val lease: String = "0"
)

@Serializable
data class RangeRequest(
    val key: String,
    @SerialName("range_end") val rangeEnd: String? = null,
    val limit: String? = null
)

@Serializable
data class RangeResponse(
    val header: EtcdHeader = EtcdHeader(),
    val kvs: List<EtcdKeyValue> = emptyList(),
    val more: Boolean = false
)

@Serializable
data class EtcdHeader(val revision: String = "0")

/** A comparison of a key's modification revision; 0 stands for an absent key. */
@Serializable
data class Compare(
    val key: String,
    @SerialName("mod_revision") val modRevision: String,
    @EncodeDefault val target: String = "MOD",
    @EncodeDefault val result: String = "EQUAL"
)

@Serializable
data class PutRequest(val key: String, val value: String, val lease: String? = null)

@Serializable
data class DeleteRequest(val key: String)

@Serializable
data class RequestOp(
    @SerialName("request_range") val range: RangeRequest? = null,
    @SerialName("request_put") val put: PutRequest? = null,
    @SerialName("request_delete_range") val delete: DeleteRequest? = null,
    @SerialName("request_txn") val txn: TxnRequest? = null
)

@Serializable
data class TxnRequest(
    val compare: List<Compare> = emptyList(),
    val success: List<RequestOp> = emptyList(),
    val failure: List<RequestOp> = emptyList()
)

@Serializable
data class ResponseOp(
    @SerialName("response_range") val range: RangeResponse? = null,
    @SerialName("response_put") val put: PutResponse? = null,
    @SerialName("response_delete_range") val delete: PutResponse? = null,
    @SerialName("response_txn") val txn: TxnResponse? = null
)

@Serializable
data class PutResponse(val header: EtcdHeader = EtcdHeader())

@Serializable
data class TxnResponse(
    val header: EtcdHeader = EtcdHeader(),
    val succeeded: Boolean = false,
    val responses: List<ResponseOp> = emptyList()
)

@Serializable
data class LeaseGrantRequest(@SerialName("TTL") val ttl: String)

@Serializable
data class LeaseGrantResponse(
    @SerialName("ID") val id: String = "0",
    @SerialName("TTL") val ttl: String = "0"
)

@Serializable
data class LeaseKeepAliveRequest(@SerialName("ID") val id: String)

@Serializable
data class LeaseKeepAliveResponse(val result: LeaseGrantResponse = LeaseGrantResponse())

@Serializable
data class WatchRequest(@SerialName("create_request") val create: WatchCreate)

@Serializable
data class WatchCreate(
    val key: String,
    @SerialName("range_end") val rangeEnd: String,
    @SerialName("start_revision") val startRevision: String? = null
)

@Serializable
data class WatchResponse(val result: WatchResult = WatchResult())

@Serializable
data class WatchResult(
    val header: EtcdHeader = EtcdHeader(),
    val created: Boolean = false,
    val events: List<WatchEvent> = emptyList()
)

/** A change of one key. The gateway leaves [type] out for a put. */
@Serializable
data class WatchEvent(val type: String = "PUT", val kv: EtcdKeyValue)
