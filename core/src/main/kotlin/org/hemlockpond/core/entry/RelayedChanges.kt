/*
 * Passes small changes of the store from the reader of a failure domain to the other hosts, so that
 * these don't each read the store after every change.
 *
 * A part of the changes names the revision on which it is based and the one up to which it is complete. A
 * host that has applied everything up to the base, or more, has everything up to the end once it has
 * applied the part. Any other host reads the store. Load pattern: many small changes, each of
 * which every host needs, as when endpoints go down and come up in turn or crash.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.Serializable

/** One key's new value at [revision]; null if it was deleted. */
@Serializable
data class RelayedChange(val key: String, val value: String?, val revision: Long)

/**
 * All relevant changes under one prefix after the revision [base] up to [until], by revision. Only the
 * last change of each key is kept.
 */
@Serializable
data class RelayedChanges(val base: Long, val until: Long, val changes: List<RelayedChange>)

/**
 * The changes under one prefix that the reader of a domain sends to the others.
 *
 * @param maxBytes the most characters of keys and values in one part; a datagram has to fit the packet
 *   size of the links and the receiver's buffer of 2,048 bytes
 * @param maxParts the most parts that are kept; larger changes are read from the store
 * @param copies how often a part is sent, in case of a loss
 */
class ChangeRelay(
    private val maxBytes: Int = 900,
    private val maxParts: Int = 12,
    private val copies: Int = 2
) {
    private class Part(val content: RelayedChanges, var sent: Int = 0)

    private val parts = ArrayDeque<Part>()

    /** Everything that changed after [base] up to [until] is in [changes]. */
    fun changed(base: Long, until: Long, changes: List<RelayedChange>) {
        if (parts.isNotEmpty() && parts.last().content.until != base) parts.clear()
        val split = split(base, until, changes)
        if (split == null) parts.clear() else split.mapTo(parts) { Part(it) }
        while (parts.size > maxParts) parts.removeFirst()
    }

    /** Something has changed that isn't known change by change. */
    fun interrupted() = parts.clear()

    /** Returns the parts that the next message carries, the oldest first. */
    fun next(): List<RelayedChanges> {
        parts.removeAll { it.sent >= copies }
        return parts.map {
            it.sent++
            it.content
        }
    }

    /** Returns null if the changes are too large. Changes of one revision stay together. */
    private fun split(
        base: Long,
        until: Long,
        changes: List<RelayedChange>
    ): List<RelayedChanges>? {
        val last = changes.associateBy { it.key }.values.groupBy { it.revision }.toSortedMap()
        val result = ArrayList<RelayedChanges>()
        var from = base
        var open = emptyList<RelayedChange>()
        for ((_, next) in last) {
            if (size(next) > maxBytes) return null
            if (size(open) + size(next) > maxBytes) {
                result += RelayedChanges(from, open.last().revision, open)
                from = open.last().revision
                open = emptyList()
            }
            open = open + next
        }
        result += RelayedChanges(from, until, open)
        return result.takeIf { it.size <= maxParts }
    }

    private fun size(changes: List<RelayedChange>) =
        changes.sumOf { it.key.length + (it.value?.length ?: 0) + OVERHEAD }

    private companion object {
        /** The names and numbers around a key and its value. */
        const val OVERHEAD = 40
    }
}

/**
 * The parts that a host has received and not applied.
 *
 * @param maxParts the most parts that are kept
 * @param gapLimit how long a host waits for a part that is missing before it reads the store; covers the
 *   second copy of a lost part
 */
class RelayInbox(
    private val maxParts: Int = 32,
    private val gapLimit: Duration = 300.milliseconds
) {
    private val parts = ArrayList<RelayedChanges>()
    private var gapSince: Duration? = null

    fun received(part: RelayedChanges) {
        if (part in parts) return
        if (parts.size == maxParts) parts.removeAt(0)
        parts += part
    }

    /** Returns and removes a part that a host can apply which has everything up to [revision]. */
    fun next(revision: Long): RelayedChanges? {
        parts.removeAll { it.until <= revision }
        val found = parts.firstOrNull { it.base <= revision } ?: return null
        parts -= found
        gapSince = null
        return found
    }

    /**
     * Returns when a host must read the store that has everything up to [revision] and was told of
     * [told]; at once unless parts were received that lack an earlier one.
     */
    fun readAt(revision: Long, told: Long, now: Duration): Duration {
        val isExpected = told > revision && parts.any { it.until >= told }
        if (!isExpected) {
            gapSince = null
            return now
        }
        return (gapSince ?: now.also { gapSince = it }) + gapLimit
    }

    fun clear() {
        parts.clear()
        gapSince = null
    }
}
