/*
 * Counts the endpoint crashes that each request content coincided with. Callers repeat a request
 * that crashes endpoints, and may send it to any host, so the hosts share the counts through the
 * store. Content is refused from the second crash on: two chance crashes under the same content are
 * unlikely.
 */
package org.hemlockpond.core.entry

/** @property crashLimit the number of crashes from which on content is refused */
internal class CrashSuspects(private val crashLimit: Int) {
    private val localCounts = LinkedHashMap<Long, Int>()
    private val storedCounts = HashMap<Long, Int>()

    /** Counts a crash that this host saw, and returns its count for [contentDigest]. */
    fun addCrash(contentDigest: Long): Int {
        val count = (localCounts[contentDigest] ?: 0) + 1
        localCounts[contentDigest] = count
        if (localCounts.size > MAX_DIGESTS) localCounts.remove(localCounts.keys.first())
        return count
    }

    /** Takes over the number of crashes that all hosts have recorded in the store. */
    fun mergeStoredCrashes(contentDigest: Long, crashes: Int) {
        if (storedCounts.size >= MAX_DIGESTS && contentDigest !in storedCounts) return
        storedCounts.merge(contentDigest, crashes, ::maxOf)
    }

    fun isRefused(contentDigest: Long): Boolean =
        maxOf(localCounts[contentDigest] ?: 0, storedCounts[contentDigest] ?: 0) >= crashLimit

    private companion object {
        /** Bounds memory; far above the number of crashes in an hour. */
        const val MAX_DIGESTS = 10_000
    }
}
