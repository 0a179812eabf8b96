/*
 * Compares version moves by MoveFollower with a naive version on the same seeds, in virtual time, and
 * prints Markdown tables.
 * Run it after `mvn package` with `bench/target/classes` and every jar of `bench/target/lib` on the
 * class path; the main class is `org.hemlockpond.bench.MoveBenchKt`.
 */
package org.hemlockpond.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import java.util.Locale
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** Summary of the runs of one policy in one scenario. */
internal class Summary(private val scenario: Scenario, private val results: List<RunResult>) {
    private fun percent(part: Double) = "%.1f%%".format(Locale.ROOT, 100 * part)

    private fun quantile(values: List<Double>, part: Double): String {
        if (values.isEmpty()) return "-"
        val sorted = values.sorted()
        return "%.1f".format(Locale.ROOT, sorted[((sorted.size - 1) * part).toInt()])
    }

    private fun part(test: (RunResult) -> Boolean) =
        percent(results.count(test).toDouble() / results.size)

    fun cells(): List<String> {
        if (scenario.badness == null) {
            return listOf(part { it.end == MoveEnd.DONE && it.inTime }) + List(6) { "-" }
        }
        val seconds = results.mapNotNull { run ->
            run.firstSign?.let { sign -> maxOf(0.0, (run.lastNew ?: sign) - sign) }
        }
        val share = results.map { it.newRequests / it.requests }
        val onset = results.map { it.newAfterOnset.toDouble() }
        val onsetShare = results.map { it.newAfterOnset / it.requests }
        return listOf(
            part { it.end == MoveEnd.ROLLED_BACK },
            percent(share.average()),
            percent(onsetShare.average()) + " / " + percent(onsetShare.max()),
            quantile(onset, 0.5) + " / " + quantile(onset, 1.0),
            quantile(seconds, 0.5) + " / " + quantile(seconds, 0.95) + " / " +
                quantile(seconds, 1.0),
            part { it.afterGrace == 0 },
            quantile(results.map { it.afterGrace.toDouble() }, 0.5)
        )
    }
}

internal class MoveBench : CliktCommand(name = "move-bench") {
    private val runs by option(help = "runs (seeds) for each row").int().default(100)
    private val seed by option(help = "first seed").long().default(1)
    private val minutes by option(help = "length of a move").int().default(30)
    private val threads by option(help = "worker threads").int().default(4)
    private val only by option(help = "only scenarios with this text in their name").default("")
    private val slopes by option(help = "print the slopes for capacity planning").flag()

    override fun run() {
        if (slopes) {
            echo(moveSlopes(minutes * 60.0, seed))
            return
        }
        val pool = Executors.newFixedThreadPool(threads)
        try {
            for (deployment in listOf(moveAuthority, moveIngabo)) {
                table(deployment) { jobs ->
                    pool.invokeAll(jobs.map { Callable { it() } }).map { it.get() }
                }
            }
        } finally {
            pool.shutdown()
        }
    }

    private fun table(
        deployment: MoveDeployment,
        runAll: (List<() -> RunResult>) -> List<RunResult>
    ) {
        echo("### ${deployment.name}: $runs moves of $minutes min for each row\n")
        echo(
            "| move | policy | done in time or rolled back | share of all requests (mean) " +
                "| share after onset (mean / max) | requests after onset (median / max) " +
                "| s from first sign to last request (median / 95% / max) " +
                "| runs with none 3 s after first sign | requests after that (median) |"
        )
        echo("|---|---|---|---|---|---|---|---|---|")
        for (scenario in scenarios.filter { only in it.name }) {
            for (naive in listOf(true, false)) {
                val results = runAll(
                    List(runs) { i ->
                        {
                            val world =
                                MoveWorld(deployment, scenario, minutes * 60.0, seed + i)
                            world.run(if (naive) NaivePolicy(world) else FollowerPolicy(world))
                        }
                    }
                )
                val cells = Summary(scenario, results).cells()
                val policy = if (naive) "naive" else "ours"
                echo("| ${scenario.name} | $policy | ${cells.joinToString(" | ")} |")
            }
        }
        echo("")
    }
}

fun main(args: Array<String>) = MoveBench().main(args)
