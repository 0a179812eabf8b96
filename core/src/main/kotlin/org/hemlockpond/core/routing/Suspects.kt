/*
 * Verdicts about content that was in flight when an endpoint crashed, with what this router and the
 * others observed. Content is refused for good after the second crash, whichever routers saw them.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import org.hemlockpond.core.RouterId

internal class Suspects(private val self: RouterId, private val settings: RoutingSettings) {
    class Entry {
        var verdict = Verdict.SUSPECT
        var at = Duration.ZERO
        val crashes = HashMap<RouterId, Int>(2)

        /** Claims of other routers, with the time at which each lapses. */
        val claims = HashMap<RouterId, Pair<Claim, Duration>>(2)
    }

    private val entries = LinkedHashMap<String, Entry>()

    val isEmpty: Boolean get() = entries.isEmpty()

    fun verdict(content: String): Verdict? = entries[content]?.verdict

    /** An endpoint crashed while this router ran the content there. */
    fun crashed(content: String, now: Duration): Verdict {
        val entry = entry(content, now)
        // A crash after clearance starts a new count.
        if (entry.verdict == Verdict.CLEARED) {
            entry.verdict = Verdict.SUSPECT
            entry.crashes.clear()
        }
        entry.crashes.merge(self, 1, Int::plus)
        return judge(entry, now)
    }

    fun cleared(content: String, now: Duration) {
        val entry = entry(content, now)
        if (entry.verdict == Verdict.REFUSED) return
        entry.verdict = Verdict.CLEARED
        entry.crashes.clear()
        entry.at = now
    }

    fun refused(content: String, now: Duration) {
        val entry = entry(content, now)
        entry.verdict = Verdict.REFUSED
        entry.at = now
    }

    /** Another router's verdict. Refusal is final, whatever older messages say. */
    fun received(from: RouterId, message: RoutingMessage.Suspect, now: Duration): Verdict {
        if (message.verdict == Verdict.CLEARED) {
            cleared(message.contentDigest, now)
            return entries.getValue(message.contentDigest).verdict
        }
        val entry = entry(message.contentDigest, now)
        if (entry.verdict == Verdict.REFUSED) return Verdict.REFUSED
        val news = message.crashes > (entry.crashes[from] ?: 0)
        if (!news && message.verdict == Verdict.SUSPECT) return entry.verdict
        entry.crashes[from] = message.crashes
        entry.verdict = message.verdict
        return judge(entry, now)
    }

    fun claimed(from: RouterId, message: RoutingMessage.ClaimAttempt, now: Duration) {
        val claims = entry(message.contentDigest, now).claims
        if (message.claim == Claim.ENDED) {
            claims -= from
        } else {
            claims[from] = message.claim to now + settings.statementLapse
        }
    }

    /** Whether another router comes before this one with the further attempt. */
    fun yields(content: String, running: Boolean, now: Duration): Boolean {
        val claims = entries[content]?.claims ?: return false
        return claims.any { (router, claim) ->
            val earlier = claim.first == Claim.RUNNING || router.value < self.value
            !running && claim.second > now && earlier
        }
    }

    fun message(content: String): RoutingMessage.Suspect {
        val entry = entries.getValue(content)
        return RoutingMessage.Suspect(content, entry.verdict, entry.crashes[self] ?: 0)
    }

    /** What a router that has just appeared has to know, the latest first. */
    fun messages(): List<RoutingMessage.Suspect> = entries.keys.toList().asReversed()
        .filter { entries.getValue(it).verdict != Verdict.CLEARED }
        .take(INTRODUCTION_LIMIT).map { message(it) }

    fun tick(now: Duration) {
        val iterator = entries.values.iterator()
        while (iterator.hasNext()) {
            val entry = iterator.next()
            if (now - entry.at > settings.suspectMemory) iterator.remove()
        }
    }

    private fun judge(entry: Entry, now: Duration): Verdict {
        if (entry.crashes.values.sum() >= CRASH_LIMIT) entry.verdict = Verdict.REFUSED
        entry.at = now
        return entry.verdict
    }

    private fun entry(content: String, now: Duration): Entry {
        if (entries.size >= settings.suspectLimit && content !in entries) {
            entries.remove(entries.keys.first())
        }
        return entries.getOrPut(content) { Entry().also { it.at = now } }
    }

    private companion object {
        /** Endpoints that one content may crash (section 1.7). */
        const val CRASH_LIMIT = 2

        /** Bounds the burst of messages to a new router. */
        const val INTRODUCTION_LIMIT = 1_000
    }
}
