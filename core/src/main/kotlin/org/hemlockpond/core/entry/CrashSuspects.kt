/*
 * Content that endpoints crashed under. A request that crashes each endpoint that runs it comes
 * again, at any host; the counts are shared through the store. Content is refused from the second
 * crash on, because an endpoint seldom crashes twice under the same content by chance.
 */
package org.hemlockpond.core.entry

internal class CrashSuspects(private val limit: Int) {
    private val own = LinkedHashMap<Long, Int>()
    private val elsewhere = HashMap<Long, Int>()

    /** Returns the crashes that this host has seen under [content]. */
    fun crashed(content: Long): Int {
        val count = (own[content] ?: 0) + 1
        own[content] = count
        if (own.size > MAX_CONTENTS) own.remove(own.keys.first())
        return count
    }

    /** Crashes that all hosts have recorded in the store. */
    fun recorded(content: Long, crashes: Int) {
        if (elsewhere.size >= MAX_CONTENTS && content !in elsewhere) return
        elsewhere.merge(content, crashes, ::maxOf)
    }

    fun isRefused(content: Long): Boolean =
        maxOf(own[content] ?: 0, elsewhere[content] ?: 0) >= limit

    private companion object {
        /** Bounds memory; far more than the crashes of an hour. */
        const val MAX_CONTENTS = 10_000
    }
}
