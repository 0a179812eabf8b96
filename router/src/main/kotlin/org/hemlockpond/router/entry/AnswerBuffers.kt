/*
 * Counts the bytes of all answers that are kept until an event or the answer is complete. Each answer
 * has a limit of its own, but many faulty endpoints, or one with many connections, could together fill
 * the memory of the host.
 */
package org.hemlockpond.router.entry

/** @param limit the maximum number of bytes of all answers together */
internal class AnswerBuffers(private val limit: Int) {
    private val sizes = HashMap<EntryExchange, Int>()

    /** The bytes of all answers. */
    var total = 0
        private set

    /** The answer of [exchange] now takes [bytes]. */
    fun update(exchange: EntryExchange, bytes: Int) {
        val before = if (bytes == 0) sizes.remove(exchange) else sizes.put(exchange, bytes)
        total += bytes - (before ?: 0)
    }

    /**
     * The exchange whose answer takes most while the limit is exceeded; otherwise null. Complete events
     * and answers of sound endpoints don't stay, so the largest is one that doesn't end.
     */
    fun largestOverLimit(): EntryExchange? =
        if (total <= limit) null else sizes.maxByOrNull { it.value }?.key
}
