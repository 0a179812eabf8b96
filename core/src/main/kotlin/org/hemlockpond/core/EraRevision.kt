/*
 * Revisions of a store that can return from an older copy of itself. Its own revisions go back and are
 * used again; each return begins a new era. Here a revision carries its era in its upper bits, so that
 * revisions always increase and one of an earlier era never equals one of a later era. Without eras a
 * revision is the store's own one.
 */
package org.hemlockpond.core

object EraRevision {
    private const val REVISION_BITS = 44
    private const val REVISION_MASK = (1L shl REVISION_BITS) - 1

    /** The largest era that a revision can carry. */
    const val MAX_ERA: Long = Long.MAX_VALUE shr REVISION_BITS

    /** The revision [stored] of the store in its [era]; [stored] 0 stands for an absent key. */
    fun of(era: Long, stored: Long): Long = (era shl REVISION_BITS) or stored

    /** The era in which [revision] was read. */
    fun era(revision: Long): Long = revision shr REVISION_BITS

    /** The store's own number of [revision]. */
    fun stored(revision: Long): Long = revision and REVISION_MASK
}
