/*
 * The traffic split between two versions. It depends only on the request id, the move and the
 * endpoints of the router's failure domain, so a retry through any router of the domain gets the
 * same version.
 */
package org.hemlockpond.core.moves

import kotlin.time.Instant
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.VersionId

/**
 * Returns the position of [request] in the split of move [number]: uniform in 0..1 and the same on
 * every router.
 */
internal fun splitPoint(request: RequestId, number: Long): Double {
    // FNV-1a over the id, followed by the SplitMix64 mixer, because FNV-1a alone gives similar ids
    // similar high bits.
    var hash = -0x340d631b7bdddcdbL xor number
    for (char in request.value) {
        hash = (hash xor char.code.toLong()) * 0x100000001b3L
    }
    hash = (hash xor (hash ushr 30)) * -0x40a7b892e31b1a47L
    hash = (hash xor (hash ushr 27)) * -0x6b2fb644ecceee15L
    hash = hash xor (hash ushr 31)
    return (hash ushr 11).toDouble() / (1L shl 53)
}

/** Returns the version that [endpoint] last reported, or else its declared version. */
internal fun runningVersion(record: MoveRecord, endpoint: EndpointConfig): VersionId =
    record.reportedVersions[endpoint.id] ?: endpoint.version

/**
 * Returns at most [count] endpoints that run the new version first. They are taken from the failure
 * domains in turn; within a domain, endpoints declared with the new version come first. Each domain
 * keeps one old endpoint until [count] covers all, so that the versions can be compared within
 * every domain.
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

/** Returns the fraction (0 to 1) of the endpoints of [domain] that run the new version. */
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
 * Returns the fraction (0 to 1) of the traffic of [domain] that the new version gets at [wall].
 * Endpoints that already run the new version but aren't scheduled yet don't count.
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
