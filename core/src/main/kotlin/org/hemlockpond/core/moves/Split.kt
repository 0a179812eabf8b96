/*
 * The traffic split. It depends on the request id and on the endpoints of the router's failure
 * domain alone, so a retry meets the same version through any router of the domain.
 */
package org.hemlockpond.core.moves

import kotlin.time.Instant
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.VersionId

/** The point of [request] in move [number], uniform in 0..1 and the same on every router. */
internal fun splitPoint(request: RequestId, number: Long): Double {
    // FNV-1a over the id, finished with the SplitMix64 mixer: FNV-1a alone leaves the high bits of
    // similar ids close together.
    var hash = -0x340d631b7bdddcdbL xor number
    for (char in request.value) {
        hash = (hash xor char.code.toLong()) * 0x100000001b3L
    }
    hash = (hash xor (hash ushr 30)) * -0x40a7b892e31b1a47L
    hash = (hash xor (hash ushr 27)) * -0x6b2fb644ecceee15L
    hash = hash xor (hash ushr 31)
    return (hash ushr 11).toDouble() / (1L shl 53)
}

/** The version that [endpoint] runs, as read back or else as declared. */
internal fun runningVersion(record: MoveRecord, endpoint: EndpointConfig): VersionId =
    record.reportedVersions[endpoint.id] ?: endpoint.version

/**
 * The [count] endpoints that run the new version first: those declared with it, then one failure
 * domain after the other in turn. Each domain keeps one old endpoint until [count] covers all, so
 * that the versions can be compared within every domain.
 */
internal fun endpointsToMove(
    record: MoveRecord,
    endpoints: List<EndpointConfig>,
    count: Int
): List<EndpointConfig> {
    if (count >= endpoints.size) return endpoints
    val byDomain = endpoints
        .sortedWith(compareBy({ it.version != record.to }, { it.id.value }))
        .groupBy { it.domain }
        .toSortedMap(compareBy { it.value })
    val rounds = byDomain.values.maxOfOrNull { it.size } ?: 0
    val turns = (0 until rounds).flatMap { round ->
        byDomain.values.mapNotNull { list -> list.dropLast(1).getOrNull(round) }
    }
    return turns.take(count)
}

/** The part of the endpoints of [domain] that run the new version. */
internal fun newVersionShare(
    record: MoveRecord,
    endpoints: List<EndpointConfig>,
    domain: FailureDomain
): Double {
    val own = endpoints.filter { it.domain == domain }
    if (own.isEmpty()) return 0.0
    return own.count { runningVersion(record, it) == record.to }.toDouble() / own.size
}

/**
 * The share of the traffic of [domain] that the new version gets at [wall]. New endpoints that the
 * course doesn't include yet get none.
 */
internal fun scheduledShare(
    record: MoveRecord,
    endpoints: List<EndpointConfig>,
    domain: FailureDomain,
    wall: Instant
): Double {
    val count = record.schedule.endpointCount(record.stepAt(wall), endpoints.size)
    val own = endpoints.count { it.domain == domain }
    if (own == 0) return 0.0
    val moved = endpointsToMove(record, endpoints, count)
        .count { it.domain == domain && runningVersion(record, it) == record.to }
    return moved.toDouble() / own
}
