/*
 * Compares ways of spending prepaid budgets on the same seeds in virtual time, and measures what
 * the escrow costs for capacity planning.
 *
 *     mvn -o -q -pl core,bench package
 *     java -cp "bench/target/classes:$(find bench/target/lib -name '*.jar' | paste -sd:)" \
 *       org.hemlockpond.bench.BudgetBenchKt --seeds 3
 */
package org.hemlockpond.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long

internal class BudgetBench : CliktCommand(name = "budget-bench") {
    private val firstSeed by option("--seed", help = "first seed").long().default(1)
    private val seeds by option("--seeds", help = "number of seeds").int().default(3)
    private val minutes by option("--minutes", help = "virtual minutes of a run").int().default(20)
    private val prepaid by option("--prepaid", help = "percent of the demand paid at the start")
        .int().default(60)
    private val noSlopes by option("--no-slopes", help = "compare policies only").flag()

    override fun run() {
        echo(
            "| deployment | domains cut | policy | requests | overspend | false: cut domain |" +
                " false: connected | false: last 1% | false refusals | stranded tokens |" +
                " store reads/s | store writes/s | peer bytes/s |"
        )
        echo("|---|---|---|---|---|---|---|---|---|---|---|---|---|")
        for (base in listOf(budgetAuthority, budgetIngabo)) {
            val deployment = base.copy(minutes = minutes, prepaidPercent = prepaid)
            for (cuts in 0..2) {
                row(deployment, cuts, "static split") { StaticSplit(deployment) }
                row(deployment, cuts, "swap per request") { SwapPerRequest(deployment) }
                row(deployment, cuts, "escrow") { EscrowPolicy(deployment, it) }
            }
        }
        if (!noSlopes) BudgetSlopes(firstSeed, minutes).print { echo(it) }
    }

    private fun row(
        deployment: BudgetDeployment,
        cuts: Int,
        name: String,
        policy: (VirtualClock) -> BudgetPolicy
    ) {
        val results = List(seeds) { i ->
            BudgetRun(BudgetWorkload(deployment, firstSeed + i, cuts)).run(policy)
        }
        val requests = results.sumOf { it.requests }
        val seconds = deployment.millis / 1000.0 * seeds
        val wrong = results.sumOf { it.falseCut + it.falseConnected + it.falseEnd }
        val cells = listOf(
            deployment.name,
            cuts,
            name,
            requests,
            results.maxOf { it.overspend },
            results.sumOf { it.falseCut },
            results.sumOf { it.falseConnected },
            results.sumOf { it.falseEnd },
            "%d (%.3f%%)".format(wrong, 100.0 * wrong / requests),
            results.sumOf { it.stranded } / seeds,
            "%.2f".format(results.sumOf { it.cost.storeReads } / seconds),
            "%.2f".format(results.sumOf { it.cost.storeWrites } / seconds),
            "%.0f".format(results.sumOf { it.cost.peerBytes } / seconds)
        )
        echo(cells.joinToString(" | ", "| ", " |"))
    }
}

fun main(args: Array<String>) = BudgetBench().main(args)
