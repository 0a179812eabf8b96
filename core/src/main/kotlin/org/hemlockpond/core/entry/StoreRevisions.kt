/*
 * The message by which the host that watches the store tells the others of its failure domain that
 * something has changed there.
 */
package org.hemlockpond.core.entry

import kotlinx.serialization.Serializable

/**
 * The store's revisions by which the reader saw the last change of what all hosts follow.
 *
 * @property operator revision of the configuration and the roll-out orders
 * @property endpoints revision of the endpoint list, apart from heartbeats
 * @property shared revision of the records that hosts write for each other
 * @property graceMillis how long entries may be missing from the endpoint list after an outage of the
 *   store, in milliseconds from now
 * @property endpointChanges changes of the endpoint list; null if the receiver has to read it
 * @property sharedChanges the same for the shared records
 */
@Serializable
data class StoreRevisions(
    val operator: Long,
    val endpoints: Long,
    val shared: Long,
    val graceMillis: Long = 0,
    val endpointChanges: RelayedChanges? = null,
    val sharedChanges: RelayedChanges? = null
)
