/*
 * Slopes of the version-move component for capacity planning.
 */
package org.hemlockpond.bench

import java.util.Locale
import java.util.SplittableRandom
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.hemlockpond.core.Now
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.moves.MoveEvent
import org.hemlockpond.core.moves.MoveFollower
import org.hemlockpond.core.moves.MoveMessage
import org.hemlockpond.core.moves.OutcomeResult
import org.hemlockpond.core.moves.RecordChange
import org.hemlockpond.core.moves.startMove

/** Messages, memory and processor time of a good move of [length] seconds. */
internal fun moveSlopes(length: Double, seed: Long): String = buildString {
    appendLine("| deployment | message bytes/s sent by one router to one peer | reports/s |")
    appendLine("|---|---|---|")
    for (deployment in listOf(moveAuthority, moveIngabo)) {
        var bytes = 0L
        var messages = 0L
        val world = MoveWorld(deployment, Scenario("good"), length, seed)
        world.run(
            FollowerPolicy(world) {
                bytes += size(it)
                messages++
            }
        )
        val seconds = world.time * deployment.routers
        appendLine(
            "| ${deployment.name} | ${"%.0f".format(Locale.ROOT, bytes / seconds)} " +
                "| ${"%.2f".format(Locale.ROOT, messages / seconds)} |"
        )
    }
    appendLine()
    appendLine("| outcomes counted | heap bytes for a move and router | CPU ns for each outcome |")
    appendLine("|---|---|---|")
    for (outcomes in listOf(10_000, 40_000, 160_000)) {
        val (heap, nanos) = measure(outcomes, length)
        appendLine("| $outcomes | $heap | $nanos |")
    }
}

@OptIn(ExperimentalSerializationApi::class)
private fun size(message: MoveMessage): Int =
    Cbor.encodeToByteArray(MoveMessage.serializer(), message).size

private fun usedHeap(): Long {
    repeat(3) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}

/** Feeds [outcomes] results, spread over a move of [length] seconds, to several followers. */
private fun measure(outcomes: Int, length: Double): Pair<Long, Long> {
    val count = 8
    feed(outcomes, length)
    val before = usedHeap()
    val start = System.nanoTime()
    val kept = List(count) { feed(outcomes, length) }
    val nanos = (System.nanoTime() - start) / (count.toLong() * outcomes)
    val heap = (usedHeap() - before) / count
    check(kept.none { it.isStopped(benchRoute) }) { "a good version was stopped" }
    return heap to nanos
}

private fun feed(outcomes: Int, length: Double): MoveFollower {
    val random = SplittableRandom(5)
    val epoch = Instant.fromEpochSeconds(1_800_000_000)
    val follower = MoveFollower(RouterId("router-0"), domainName(0))
    val started = startMove(
        null,
        benchRoute,
        oldVersion,
        newVersion,
        epoch,
        epoch + length.seconds
    )
    val record = (started as RecordChange.Write).record
    val read = MoveEvent.RecordRead(benchRoute, record, 1)
    follower.handle(read, Now(0.seconds, epoch))
    for (i in 0 until outcomes) {
        val time = (length * i / outcomes).seconds
        val version = if (random.nextInt(8) == 0) newVersion else oldVersion
        val domain = domainName(random.nextInt(3))
        val result = when (i % 3) {
            0 -> OutcomeResult.FirstToken((200 + random.nextInt(600)).milliseconds)
            1 -> OutcomeResult.TokenGap((30 + random.nextInt(30)).milliseconds)
            else -> OutcomeResult.Completed
        }
        val event = MoveEvent.Outcome(benchRoute, version, domain, 0.5, result)
        follower.handle(event, Now(time, epoch + time))
    }
    return follower
}
