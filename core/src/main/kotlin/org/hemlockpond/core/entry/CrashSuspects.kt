/*
 * Content that endpoints crashed under. A request that crashes each endpoint that runs it comes
 * again, at any host; the counts are shared through the store. Content is refused from the second
 * crash on, because an endpoint seldom crashes twice under the same content by chance.
 */
package org.hemlockpond.core.entry

internal class CrashSuspects(private val crashLimit: Int) {
    private val localCounts = LinkedHashMap<Long, Int>()
    private val storedCounts = HashMap<Long, Int>()

    /** Returns the crashes that this host has seen under [contentDigest]. */
    fun addCrash(contentDigest: Long): Int {
        val count = (localCounts[contentDigest] ?: 0) + 1
        localCounts[contentDigest] = count
        if (localCounts.size > MAX_DIGESTS) localCounts.remove(localCounts.keys.first())
        return count
    }

    /** Crashes that all hosts have recorded in the store. */
    fun mergeStoredCrashes(contentDigest: Long, crashes: Int) {
        if (storedCounts.size >= MAX_DIGESTS && contentDigest !in storedCounts) return
        storedCounts.merge(contentDigest, crashes, ::maxOf)
    }

    fun isRefused(contentDigest: Long): Boolean =
        maxOf(localCounts[contentDigest] ?: 0, storedCounts[contentDigest] ?: 0) >= crashLimit

    private companion object {
        /** Bounds memory; far more than the crashes of an hour. */
        const val MAX_DIGESTS = 10_000
    }
}
