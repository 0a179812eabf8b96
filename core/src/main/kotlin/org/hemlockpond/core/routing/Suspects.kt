/*
 * Verdicts about content that was running when an endpoint crashed, from the crashes observed by
 * all routers. Content is refused after the second crash, whichever routers observed the crashes.
 */
package org.hemlockpond.core.routing

import kotlin.time.Duration
import org.hemlockpond.core.RouterId

internal class Suspects(private val self: RouterId, private val settings: RoutingSettings) {
    class Entry {
        var verdict = Verdict.SUSPECT
        var updatedAt = Duration.ZERO
        val crashes = HashMap<RouterId, Int>(2)

        /** Claims of other routers, with their expiry times. */
        val claims = HashMap<RouterId, Pair<Claim, Duration>>(2)
    }

    private val entries = LinkedHashMap<String, Entry>()

    val isEmpty: Boolean get() = entries.isEmpty()

    fun verdict(content: String): Verdict? = entries[content]?.verdict

    /** Records that an endpoint crashed while this router ran the content on it. */
    fun recordCrash(content: String, now: Duration): Verdict {
        val entry = entryFor(content, now)
        // A crash after clearance starts a new count.
        if (entry.verdict == Verdict.CLEARED) {
            entry.verdict = Verdict.SUSPECT
            entry.crashes.clear()
        }
        entry.crashes.merge(self, 1, Int::plus)
        return updateVerdict(entry, now)
    }

    fun recordClearance(content: String, now: Duration) {
        val entry = entryFor(content, now)
        if (entry.verdict == Verdict.REFUSED) return
        entry.verdict = Verdict.CLEARED
        entry.crashes.clear()
        entry.updatedAt = now
    }

    fun recordRefusal(content: String, now: Duration) {
        val entry = entryFor(content, now)
        entry.verdict = Verdict.REFUSED
        entry.updatedAt = now
    }

    /**
     * Applies another router's verdict. A refusal is final, even if older messages arrive later.
     */
    fun receiveVerdict(from: RouterId, message: RoutingMessage.Suspect, now: Duration): Verdict {
        if (message.verdict == Verdict.CLEARED) {
            recordClearance(message.contentDigest, now)
            return entries.getValue(message.contentDigest).verdict
        }
        val entry = entryFor(message.contentDigest, now)
        if (entry.verdict == Verdict.REFUSED) return Verdict.REFUSED
        val isNews = message.crashes > (entry.crashes[from] ?: 0)
        if (!isNews && message.verdict == Verdict.SUSPECT) return entry.verdict
        entry.crashes[from] = message.crashes
        entry.verdict = message.verdict
        return updateVerdict(entry, now)
    }

    fun receiveClaim(from: RouterId, message: RoutingMessage.ClaimAttempt, now: Duration) {
        val claims = entryFor(message.contentDigest, now).claims
        if (message.claim == Claim.ENDED) {
            claims -= from
        } else {
            claims[from] = message.claim to now + settings.claimValidity
        }
    }

    /** Whether another router has priority for the isolated retry of [content]. */
    fun hasPriorClaim(content: String, running: Boolean, now: Duration): Boolean {
        val claims = entries[content]?.claims ?: return false
        return claims.any { (router, claim) ->
            val earlier = claim.first == Claim.RUNNING || router.value < self.value
            !running && claim.second > now && earlier
        }
    }

    fun verdictMessage(content: String): RoutingMessage.Suspect {
        val entry = entries.getValue(content)
        return RoutingMessage.Suspect(content, entry.verdict, entry.crashes[self] ?: 0)
    }

    /** Verdicts for a router that has just joined, the newest entries first. */
    fun verdictMessages(): List<RoutingMessage.Suspect> = entries.keys.toList().asReversed()
        .filter { entries.getValue(it).verdict != Verdict.CLEARED }
        .take(INTRODUCTION_LIMIT).map { verdictMessage(it) }

    fun tick(now: Duration) {
        val iterator = entries.values.iterator()
        while (iterator.hasNext()) {
            val entry = iterator.next()
            if (now - entry.updatedAt > settings.verdictRetention) iterator.remove()
        }
    }

    private fun updateVerdict(entry: Entry, now: Duration): Verdict {
        if (entry.crashes.values.sum() >= CRASH_LIMIT) entry.verdict = Verdict.REFUSED
        entry.updatedAt = now
        return entry.verdict
    }

    private fun entryFor(content: String, now: Duration): Entry {
        if (entries.size >= settings.maxVerdicts && content !in entries) {
            entries.remove(entries.keys.first())
        }
        return entries.getOrPut(content) { Entry().also { it.updatedAt = now } }
    }

    private companion object {
        /** Number of crashes after which content is refused (section 1.7). */
        const val CRASH_LIMIT = 2

        /** Maximum number of verdicts sent to a new router. */
        const val INTRODUCTION_LIMIT = 1_000
    }
}
