/*
 * The messages in which the reader of a failure domain tells the others what has changed.
 */
package org.hemlockpond.router.entry

import org.hemlockpond.core.entry.RelayedChanges
import org.hemlockpond.core.entry.StoreRevisions

/**
 * Returns the messages after [last] that tell [next] and carry the given parts, at most one of each
 * prefix in a message. Only the last one tells the new revisions, so that a host which has the
 * parts before it doesn't read.
 */
internal fun relayMessages(
    last: StoreRevisions,
    next: StoreRevisions,
    endpoints: List<RelayedChanges>,
    shared: List<RelayedChanges>
): List<StoreRevisions> {
    val earlier = endpoints.dropLast(1).map { last.copy(endpointChanges = it) } +
        shared.dropLast(1).map { last.copy(sharedChanges = it) }
    // Parts of both in one message could exceed a packet.
    val isLarge = endpoints.isNotEmpty() && shared.isNotEmpty()
    val alone = if (isLarge) listOf(last.copy(endpointChanges = endpoints.last())) else emptyList()
    return earlier + alone + next.copy(
        endpointChanges = endpoints.lastOrNull().takeIf { !isLarge },
        sharedChanges = shared.lastOrNull()
    )
}
