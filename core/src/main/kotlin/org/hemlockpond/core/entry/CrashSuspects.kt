/*
 * Finds out what crashes the endpoints of one service: the content of a request that its caller
 * repeats, or a prompt part that many different requests share. A crash accuses the content and the
 * parts of the requests that the endpoint hadn't answered. A suspect is cleared as soon as an endpoint
 * begins to answer a request with it, so sound requests clear the parts that they share with bad ones.
 *
 * Callers may use any host, so the hosts share crashes and clearances through the store.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** What requests that crash endpoints may have in common. */
sealed interface Suspect {
    /** A prompt part other than the last one, which belongs to a single request or session. */
    data class Part(val id: String) : Suspect

    /** The whole content of a request, which its caller repeats. */
    data class Content(val digest: Long) : Suspect
}

/**
 * How far the endpoint had come with a request when it crashed.
 *
 * @property weight how strongly this speaks against the request
 */
enum class CrashEvidence(val weight: Int) {
    /** No byte of the answer had arrived; the request may not have been running. */
    UNANSWERED(1),

    /** The answer's head had arrived, but no part of its content. */
    ANSWERING(2)
}

/**
 * What one host knows about a crash.
 *
 * @property suspects the suspects of the requests that the host had sent to the [crashed] process
 * @property earlier crashes after which an answer had begun before this one
 */
data class CrashReport(
    val service: ServiceId,
    val crashed: EndpointProcess,
    val suspects: Map<Suspect, CrashEvidence>,
    val earlier: Set<EndpointProcess> = emptySet()
)

/**
 * Settings of [CrashSuspects].
 *
 * @property contentLimit the number of crashes from which on content is refused
 * @property partLimit the total weight of the evidence from which on a prompt part is refused; a
 *   part is shared by many sound requests, which happen to wait at an endpoint that crashes
 * @property retention how long a crash counts
 */
data class CrashSettings(
    val contentLimit: Int = 2,
    val partLimit: Int = 3,
    val retention: Duration = 10.minutes
)

internal class CrashSuspects(private val settings: CrashSettings) {
    /** @property answersBefore the number of answers that had begun before the crash */
    private class Accusation(val at: Duration, val answersBefore: Long, var evidence: CrashEvidence)

    private val accusations = LinkedHashMap<Suspect, LinkedHashMap<EndpointProcess, Accusation>>()
    private var answers = 0L

    /** The number of answers that had begun before each crash. */
    private val answersBefore = LinkedHashMap<EndpointProcess, Long>()

    /**
     * Adds what this host or another one knows about a crash. A host may learn of a crash before it
     * learns of an earlier answer, so the order of crashes and answers comes from the report.
     */
    fun addCrash(report: CrashReport, now: Duration) {
        val crashed = report.crashed
        if (crashed !in answersBefore &&
            report.earlier.any { answersBefore[it] == answers }
        ) {
            answers++
        }
        val before = answersBefore.getOrPut(crashed) { answers }
        for ((suspect, evidence) in report.suspects) {
            val crashes = accusations.getOrPut(suspect) { LinkedHashMap(2) }
            val known = crashes.getOrPut(crashed) { Accusation(now, before, evidence) }
            if (evidence > known.evidence) known.evidence = evidence
        }
        while (accusations.size > MAX_SUSPECTS) accusations.remove(accusations.keys.first())
        while (answersBefore.size > MAX_CRASHES) answersBefore.remove(answersBefore.keys.first())
    }

    /** Returns the latest crashes after which an answer had begun before that of [crashed]. */
    fun earlierCrashes(crashed: EndpointProcess): Set<EndpointProcess> {
        val end = answersBefore[crashed] ?: answers
        return answersBefore.filterValues { it < end }.keys.toList().takeLast(MAX_EARLIER).toSet()
    }

    /**
     * Clears the [suspects] of a request whose answer has begun, and returns those that had been
     * accused.
     */
    fun answerBegan(suspects: List<Suspect>): List<Suspect> {
        answers++
        return suspects.filter { accusations.remove(it) != null }
    }

    /** Clears suspects for which an answer has begun at another host. */
    fun clear(suspects: Collection<Suspect>) {
        answers++
        accusations -= suspects.toSet()
    }

    /** Returns the first of [suspects] that is refused; null if the request may be sent. */
    fun refused(suspects: List<Suspect>, now: Duration): Suspect? {
        if (accusations.isEmpty()) return null
        return suspects.firstOrNull { isRefused(it, now) }
    }

    private fun isRefused(suspect: Suspect, now: Duration): Boolean {
        val crashes = accusations[suspect] ?: return false
        crashes.values.removeIf { now - it.at > settings.retention }
        return when (suspect) {
            is Suspect.Content -> crashes.size >= settings.contentLimit
            is Suspect.Part -> weight(crashes.values) >= settings.partLimit
        }
    }

    /**
     * Returns the total weight of [crashes]. Crashes between which no answer began count once:
     * several endpoints that fail together have another cause.
     */
    private fun weight(crashes: Collection<Accusation>): Int = crashes.groupBy {
        it.answersBefore
    }.values.sumOf { it.maxOf { one -> one.evidence.weight } }

    private companion object {
        /** Bounds memory; far above the number of crashes within the retention. */
        const val MAX_SUSPECTS = 10_000
        const val MAX_CRASHES = 1_000

        /** Bounds the size of a report; more than the endpoints that crash between two answers. */
        const val MAX_EARLIER = 16
    }
}
