/*
 * Readers at phone speed beside fast ones: what pausing the engine, holding the answer and
 * cancelling and resuming cost in router memory, engine memory and the wait of others.
 */
package org.hemlockpond.bench

import java.util.Random
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.routing.AttemptOutcome
import org.hemlockpond.core.routing.Dispatcher
import org.hemlockpond.core.routing.RoutingAction
import org.hemlockpond.core.routing.RoutingEvent
import org.hemlockpond.core.routing.RoutingRequest
import org.hemlockpond.core.routing.RoutingSettings
import org.hemlockpond.core.routing.StreamAction
import org.hemlockpond.core.routing.StreamSettings
import org.hemlockpond.core.routing.StreamWindow

internal class SlowReaderResult {
    var highest = 0L
    var highestShared = 0L
    var engineTokens = 0.0
    var steps = 0
    var resumes = 0
    var prefilledAgain = 0L
    var finished = 0
    var errors = 0
    val fastWaits = ArrayList<Double>()
    val slowTimes = ArrayList<Double>()
}

internal class SlowReaderScenario(private val seeds: Int) {
    private class Variant(val label: String, val settings: StreamSettings)

    private val unbounded = StreamSettings(Int.MAX_VALUE, Long.MAX_VALUE)

    private val variants = listOf(
        Variant("hold everything (naive)", unbounded),
        Variant("pause, 64 KiB", window(64, Duration.INFINITE)),
        Variant("pause, 16 KiB", window(16, Duration.INFINITE)),
        Variant("cancel after 2 s, 64 KiB", window(64, 2.seconds)),
        Variant("cancel after 500 ms, 64 KiB", window(64, 500.milliseconds)),
        Variant("cancel after 2 s, 32 KiB", window(32, 2.seconds)),
        Variant("cancel after 500 ms, 32 KiB", window(32, 500.milliseconds)),
        Variant("cancel after 500 ms, 32 KiB, pieces of 1 KiB", window(32, 500.milliseconds, 1)),
        Variant("cancel after 500 ms, 24 KiB, pieces of 1 KiB", window(24, 500.milliseconds, 1)),
        Variant("cancel after 500 ms, 16 KiB, pieces of 1 KiB", window(16, 500.milliseconds, 1)),
        Variant("cancel after 100 ms, 16 KiB, pieces of 1 KiB", window(16, 100.milliseconds, 1))
    )

    private fun window(kilobytes: Int, stall: Duration, piece: Int = 4) =
        StreamSettings(kilobytes * 1024, pieceBytes = piece * 1024, stallTimeout = stall)

    fun tables(): List<String> {
        val lines = arrayListOf(
            "### Slow readers: 960 readers at 1 to 4 KB/s beside fast ones, one router, 8 runners\n",
            "| policy | bytes for one reader, at most | bytes in all, at most | engine tokens, " +
                "mean | fast wait p95 | p99 | slow answer p95 | resumes | tokens prefilled again | finished | errors |",
            "|---|---|---|---|---|---|---|---|---|---|---|"
        )
        for (variant in variants) {
            val results = (1L..seeds).map { SlowReaderRun(variant.settings, it).run() }
            val waits = results.flatMap { it.fastWaits }.sorted()
            val slow = results.flatMap { it.slowTimes }.sorted()
            lines += "| ${variant.label} | ${results.maxOf { it.highest }} | " +
                "${results.maxOf { it.highestShared }} | " +
                "${results.map { it.engineTokens / it.steps }.average().toLong()} | " +
                "${waits.percentile(95)} | ${waits.percentile(99)} | ${slow.percentile(95)} | " +
                "${results.sumOf {
                    it.resumes
                }} | ${results.sumOf { it.prefilledAgain }} | ${results.sumOf { it.finished }} | " +
                "${results.sumOf { it.errors }} |"
        }
        return lines + ""
    }
}

/** One run of 120 s of arrivals; ends when every request has ended. */
internal class SlowReaderRun(private val settings: StreamSettings, seed: Long) {
    private class Reader(val arrival: Arrival, val bytesPerSecond: Double, val isSlow: Boolean) {
        var sequence: Sequence? = null
        var reading = false
        var delivered = 0L
        var taken = 0L
        var credit = 0.0
        var started = false
        val total: Long get() = arrival.answer * TOKEN_BYTES
    }

    private val deployment = RoutingDeployment.all.first { it.name == "Ingabo" }
    private val random = Random(seed)
    private val router = RouterId("r")
    private val dispatcher = Dispatcher(
        router,
        FailureDomain("d0"),
        RoutingSettings(routersPerDomain = 1, routersElsewhere = 0, remoteShare = 0.0)
    )
    private val config = deployment.config.copy(
        endpoints = deployment.config.endpoints.map {
            it.copy(domain = FailureDomain("d0"), memoryTokens = 30_000)
        }
    )
    private val window = StreamWindow(settings)
    private val engines = config.endpoints.associate { it.id to EngineModel(it) }
    private val readers = LinkedHashMap<RequestId, Reader>()
    private val result = SlowReaderResult()
    private var time = 0.0
    private var count = 0

    private fun now() = Now(time.seconds, Instant.fromEpochSeconds(0) + time.seconds)

    fun run(): SlowReaderResult {
        handle(RoutingEvent.ConfigChanged(config))
        var step = 0
        while (time < ARRIVAL_SECONDS || readers.isNotEmpty()) {
            time = ++step * STEP
            check(time < 3_600) { "requests don't end" }
            if (time < ARRIVAL_SECONDS) {
                if (step % SLOW_STEPS == 0) arrive(isSlow = true)
                if (step % FAST_STEPS == 0) arrive(isSlow = false)
            }
            engines.values.forEach { advance(it) }
            readers.values.toList().forEach { read(it) }
            if (step % 3 == 0) {
                handle(RoutingEvent.Tick)
                apply(window.tick(now()))
            }
            result.highestShared = max(result.highestShared, window.heldBytes)
            if (time < ARRIVAL_SECONDS) {
                result.engineTokens += engines.values.sumOf { it.held }
                result.steps++
            }
        }
        return result
    }

    private fun arrive(isSlow: Boolean) {
        val id = RequestId("${if (isSlow) "s" else "f"}${count++}")
        val prompt = 300L + random.nextInt(600)
        val answer = if (isSlow) 300 + random.nextInt(600) else 50 + random.nextInt(150)
        val work = RoutingRequest(
            id,
            org.hemlockpond.core.CustomerId("c"),
            RoutingDeployment.ROUTE,
            requestClass = if (isSlow) "long" else "quick",
            promptTokens = prompt,
            maxAnswerTokens = answer.toLong(),
            contentDigest = id.value
        )
        val speed = if (isSlow) 1_000.0 + random.nextInt(3_000) else 1e7
        readers[id] = Reader(Arrival(time, work, prompt, answer), speed, isSlow)
        apply(window.open(id, now()))
        handle(RoutingEvent.Submit(work))
    }

    private fun handle(event: RoutingEvent) {
        for (action in dispatcher.handle(event, now())) {
            when (action) {
                is RoutingAction.Dispatch -> {
                    val reader = readers[action.request] ?: continue
                    val produced = reader.delivered.toDouble() / TOKEN_BYTES
                    val sequence = Sequence(router, action.attempt, reader.arrival, produced)
                    reader.sequence = sequence
                    engines.getValue(action.endpoint).start(sequence)
                }

                is RoutingAction.CancelAttempt -> engines.getValue(action.endpoint).sequences
                    .removeIf { it.attempt == action.attempt }

                is RoutingAction.Reject -> {
                    result.errors++
                    readers.remove(action.request)
                    apply(window.close(action.request, now()))
                }

                else -> Unit
            }
        }
    }

    private fun apply(actions: List<StreamAction>) {
        for (action in actions) {
            val reader = readers[action.request] ?: continue
            reader.reading = action !is StreamAction.PauseReading &&
                action !is StreamAction.CancelAtEngine
            when (action) {
                is StreamAction.CancelAtEngine -> {
                    reader.sequence = null
                    handle(RoutingEvent.Cancelled(action.request))
                }

                is StreamAction.ResumeFrom -> resume(reader)

                else -> Unit
            }
        }
    }

    private fun resume(reader: Reader) {
        result.resumes++
        val tokens = reader.delivered / TOKEN_BYTES
        val work = reader.arrival.work
        result.prefilledAgain += work.promptTokens + tokens
        val rest = work.copy(
            promptTokens = work.promptTokens + tokens,
            maxAnswerTokens = work.maxAnswerTokens - tokens,
            priority = 4
        )
        handle(RoutingEvent.Submit(rest))
    }

    private fun advance(engine: EngineModel) {
        for (sequence in engine.sequences) {
            sequence.paused = readers[sequence.arrival.work.id]?.reading != true
        }
        check(engine.advance(STEP) == null) { "an engine crashed" }
        for (sequence in engine.sequences.toList()) {
            val reader = readers[sequence.arrival.work.id] ?: continue
            if (sequence.firstToken && !sequence.firstReported) {
                sequence.firstReported = true
                if (!reader.started &&
                    !reader.isSlow
                ) {
                    result.fastWaits += time - sequence.arrival.at
                }
                reader.started = true
                val id = sequence.arrival.work.id
                handle(RoutingEvent.FirstToken(sequence.attempt, id))
            }
            deliver(engine, reader, sequence)
        }
    }

    private fun deliver(engine: EngineModel, reader: Reader, sequence: Sequence) {
        val id = sequence.arrival.work.id
        val ready = (sequence.produced * TOKEN_BYTES).toLong() - reader.delivered
        if (ready <= 0 || !reader.reading) return
        val piece = minOf(ready, settings.pieceBytes.toLong()).toInt()
        reader.delivered += piece
        apply(window.received(id, piece, now()))
        if (reader.isSlow) result.highest = max(result.highest, window.heldBytes(id))
        if (reader.delivered < reader.total) return
        engine.sequences -= sequence
        val outcome = AttemptOutcome.Answered(sequence.arrival.answer.toLong())
        handle(RoutingEvent.Completed(sequence.attempt, id, outcome))
        apply(window.ended(id, now()))
    }

    private fun read(reader: Reader) {
        val id = reader.arrival.work.id
        reader.credit = minOf(reader.credit + reader.bytesPerSecond * STEP, reader.bytesPerSecond)
        val take = minOf(reader.credit.toLong(), reader.delivered - reader.taken).toInt()
        if (take > 0) {
            reader.credit -= take
            reader.taken += take
            apply(window.written(id, take, now()))
        }
        if (reader.taken < reader.total) return
        result.finished++
        if (reader.isSlow) result.slowTimes += time - reader.arrival.at
        readers.remove(id)
        apply(window.close(id, now()))
    }

    private companion object {
        const val STEP = 0.02
        const val ARRIVAL_SECONDS = 120.0

        /** Eight slow and ten fast requests a second. */
        const val SLOW_STEPS = 6
        const val FAST_STEPS = 5

        /** One token in a server-sent event of a chat-completion stream. */
        const val TOKEN_BYTES = 250L
    }
}
