/*
 * Summarizes the calls of an entry router to the store for its log, by purpose and outcome. Each call
 * costs the operator, and after an incident the log is often all that is left of a host.
 */
package org.hemlockpond.router.entry

internal class StoreCallSummary {
    private val counts = sortedMapOf<String, Long>()

    fun called(purpose: String, outcome: String) {
        counts.merge("$purpose $outcome", 1, Long::plus)
    }

    /** Returns the calls since the last summary, the most frequent first; null if there were none. */
    fun next(): String? {
        if (counts.isEmpty()) return null
        val text = counts.entries.sortedByDescending { it.value }
            .joinToString { (call, count) -> "$call: $count" }
        counts.clear()
        return text
    }
}
