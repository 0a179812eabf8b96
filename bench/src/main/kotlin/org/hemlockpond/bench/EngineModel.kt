/*
 * A model runner with continuous batching: prompts are prefilled in order, all prefilled requests
 * decode together, prefixes are cached in limited memory, and the process dies when the requests
 * that it holds outgrow its memory.
 */
package org.hemlockpond.bench

import kotlin.math.min
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.routing.AttemptId

internal class Sequence(
    val router: RouterId,
    val attempt: AttemptId,
    val arrival: Arrival,
    val alreadyProduced: Double = 0.0
) {
    var prefill = 0.0
    var produced = alreadyProduced
    var firstToken = false
    var firstReported = false
    var age = 0.0

    /** Whether the router has stopped reading, which stops the decoding of this request. */
    var paused = false
    val held: Double get() = arrival.actualPrompt + produced
    val isDone: Boolean get() = produced >= arrival.answer
}

internal enum class CrashCause { CONTENT, MEMORY }

internal class EngineModel(val config: EndpointConfig) {
    val sequences = ArrayList<Sequence>()
    private val cache = LinkedHashMap<String, Unit>(16, 0.75f, true)
    var downUntil = 0.0
    var lookups = 0
    var hits = 0

    val held: Double get() = sequences.sumOf { it.held }

    fun isDown(time: Double): Boolean = time < downUntil

    fun start(sequence: Sequence) {
        val arrival = sequence.arrival
        var tokens = arrival.actualPrompt + sequence.alreadyProduced
        val prefix = arrival.work.prefixDigest
        if (prefix != null) {
            lookups++
            if (cache.get(prefix) != null) {
                hits++
                tokens -= arrival.actualPrompt / 2.0
            }
            cache[prefix] = Unit
            if (cache.size > CACHED_PREFIXES) cache.remove(cache.keys.first())
        }
        sequence.prefill = tokens
        sequences += sequence
    }

    /** Advances by [step] seconds; returns why the process dies, if it does. */
    fun advance(step: Double): CrashCause? {
        var budget = PREFILL_RATE * step
        val decoding = sequences.count { it.prefill <= 0 }
        val tokens = step / (TOKEN_SECONDS * (1 + decoding / BATCH_SLOWDOWN))
        for (sequence in sequences) {
            sequence.age += step
            if (sequence.prefill > 0) {
                val part = min(budget, sequence.prefill)
                sequence.prefill -= part
                budget -= part
                if (sequence.prefill <= 0) sequence.firstToken = true
            } else if (!sequence.paused) {
                sequence.produced = min(sequence.arrival.answer + 0.0, sequence.produced + tokens)
            }
        }
        if (sequences.any {
                it.arrival.poison && it.age >= POISON_SECONDS
            }
        ) {
            return CrashCause.CONTENT
        }
        return if (held > config.memoryTokens) CrashCause.MEMORY else null
    }

    fun crash(time: Double): List<Sequence> {
        downUntil = time + RESTART_SECONDS
        cache.clear()
        return ArrayList(sequences).also { sequences.clear() }
    }

    private companion object {
        const val PREFILL_RATE = 12_000.0
        const val TOKEN_SECONDS = 0.025
        const val BATCH_SLOWDOWN = 32.0
        const val CACHED_PREFIXES = 12
        const val POISON_SECONDS = 0.3
        const val RESTART_SECONDS = 30.0
    }
}
