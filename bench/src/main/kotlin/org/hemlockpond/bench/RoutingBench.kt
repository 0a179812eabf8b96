/*
 * Compares routing with naive versions on the same seeds and in virtual time, and measures the cost
 * of the dispatcher for capacity planning. Prints Markdown.
 */
package org.hemlockpond.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import kotlin.math.ceil
import org.hemlockpond.core.routing.RoutingSettings

internal class RoutingBench : CliktCommand(name = "routing-bench") {
    private val seeds by option(help = "number of seeds, from 1").int().default(5)
    private val seconds by option(help = "virtual seconds of arrivals").double().default(240.0)
    private val freeLoad by option(help = "load below which a cached prefix always wins").double()
        .default(RoutingSettings().freeLoad)
    private val loadBound by option(help = "load above the mean at which a prefix loses").double()
        .default(RoutingSettings().loadBound)
    private val longPrefills by option(help = "long prompts a router prefills at an endpoint").int()
        .default(RoutingSettings().maxLongPrefills)
    private val prefillWeight by option(help = "load of a prompt token before its first token")
        .double().default(RoutingSettings().prefillWeight)
    private val skipReaders by option("--skip-readers", help = "leave out slow readers").flag()
    private val skipSlopes by option("--skip-slopes", help = "leave out real-time cost").flag()

    override fun run() {
        echo("### Routing, seeds 1 to $seeds, $seconds virtual seconds each\n")
        echo(
            "| deployment | policy | crashes by content (worst seed) | crashes by memory | " +
                "quick wait p95 | p99 | long wait p95 | prefix hits | completed | errors |"
        )
        echo("|---|---|---|---|---|---|---|---|---|---|")
        for (deployment in RoutingDeployment.all) {
            for (kind in PolicyKind.entries) echo(row(deployment, kind))
        }
        echo("\nQuick and long waits run from submission to the first token, over a flood of long")
        echo("requests in the middle third. Errors are requests that ended without an answer.\n")
        if (!skipReaders) SlowReaderScenario(seeds).tables().forEach { echo(it) }
        if (!skipSlopes) RoutingSlopes().lines().forEach { echo(it) }
    }

    private fun row(deployment: RoutingDeployment, kind: PolicyKind): String {
        val settings = RoutingSettings(
            freeLoad = freeLoad,
            loadBound = loadBound,
            maxLongPrefills = longPrefills,
            prefillWeight = prefillWeight
        )
        val flood = seconds / 3..seconds * 2 / 3
        val floods = (1L..seeds).map {
            RoutingSimulation(deployment, kind, it, null, settings).run(seconds, flood)
        }
        val calm = (1L..seeds).map {
            RoutingSimulation(deployment, kind, it, 20.0, settings).run(seconds / 2, null)
        }
        val content = calm.map { it.crashes[CrashCause.CONTENT] ?: 0 }
        val memory = floods.sumOf { it.crashes[CrashCause.MEMORY] ?: 0 }
        val quick = floods.flatMap { it.quickWaits }.sorted()
        val long = floods.flatMap { it.longWaits }.sorted()
        val hits = 100.0 * calm.sumOf { it.hits } / calm.sumOf { it.lookups }
        val errors = floods.flatMap { it.rejected.entries }
            .groupBy({ it.key.code }, { it.value }).mapValues { it.value.sum() }
        return "| ${deployment.name} | ${kind.label} | ${content.average()} (${content.max()}) | " +
            "$memory | ${quick.percentile(95)} | ${quick.percentile(99)} | " +
            "${long.percentile(95)} | ${"%.1f".format(hits)}% | " +
            "${floods.sumOf { it.completed }} | $errors |"
    }
}

internal fun List<Double>.percentile(percent: Int): String {
    if (isEmpty()) return "none"
    val index = ceil(size * percent / 100.0).toInt() - 1
    return "%.2f s".format(this[index.coerceIn(indices)])
}

fun main(args: Array<String>) = RoutingBench().main(args)
