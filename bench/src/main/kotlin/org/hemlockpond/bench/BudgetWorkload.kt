/*
 * The load of the budget benchmark: requests, top-ups and partitions of one deployment, drawn from
 * a seed, so that every policy meets the same ones.
 */
package org.hemlockpond.bench

import kotlin.math.ln
import kotlin.random.Random

/**
 * The size of a run.
 *
 * @property requestsPerSecond over all customers and routers
 * @property longShare share of requests that carry a long document
 * @property minutes length of the run
 * @property prepaidPercent share of the demand of the run that is paid at the start
 */
internal data class BudgetDeployment(
    val name: String,
    val domains: Int,
    val routers: Int = 8,
    val customers: Int = 10,
    val requestsPerSecond: Double = 20.0,
    val longShare: Double = 0.1,
    val minutes: Int = 20,
    val prepaidPercent: Int = 60
) {
    val millis: Long get() = minutes * 60_000L

    fun domainOf(router: Int): Int = router % domains
}

internal val budgetAuthority = BudgetDeployment("Authority", domains = 3)
internal val budgetIngabo = BudgetDeployment("Ingabo", domains = 4, longShare = 0.02)

/** One request: it reserves [tokens], uses [used] and runs for [millis]. */
internal class Request(
    val at: Long,
    val customer: Int,
    val router: Int,
    val tokens: Long,
    val used: Long,
    val millis: Long
)

internal class Payment(val at: Long, val customer: Int, val id: String, val tokens: Long)

/** Everything that happens in a run; [cutDomains] are partitioned from [cutFrom] to [cutUntil]. */
internal class BudgetWorkload(val deployment: BudgetDeployment, seed: Long, cuts: Int) {
    private val random = Random(seed)
    val cutDomains: Set<Int> = (0 until deployment.domains).shuffled(random).take(cuts).toSet()
    val cutFrom: Long = deployment.millis / 4
    val cutUntil: Long = deployment.millis * 17 / 20
    val requests: List<Request> = requests()
    val payments: List<Payment> = payments()

    private fun requests(): List<Request> {
        // A few large customers: the share of the n-th is proportional to 1/n.
        val sizes = List(deployment.customers) { 1.0 / (it + 1) }
        // The demand of each customer differs between domains by up to a factor of six.
        val places = sizes.map { List(deployment.domains) { 1.0 + 5.0 * random.nextDouble() } }
        val result = ArrayList<Request>()
        var at = 0.0
        while (true) {
            at += -ln(1 - random.nextDouble()) * 1000 / deployment.requestsPerSecond
            if (at >= deployment.millis) return result
            val customer = pick(sizes)
            val domain = pick(places[customer])
            val routers = (0 until deployment.routers).filter { deployment.domainOf(it) == domain }
            val long = random.nextDouble() < deployment.longShare
            val tokens = if (long) random.nextLong(8_000, 32_000) else random.nextLong(200, 1_500)
            val used = (tokens * (0.4 + 0.6 * random.nextDouble())).toLong()
            val millis = if (long) random.nextLong(5_000, 30_000) else random.nextLong(300, 3_000)
            result += Request(at.toLong(), customer, routers.random(random), tokens, used, millis)
        }
    }

    /** Pays a part of the demand at the start and 37% of it during the partition. */
    private fun payments(): List<Payment> {
        val demand = LongArray(deployment.customers)
        requests.forEach { demand[it.customer] += it.used }
        return demand.indices.flatMap { c ->
            listOf(
                Payment(0, c, "start", demand[c] * deployment.prepaidPercent / 100 + 1),
                Payment(
                    deployment.millis * 2 / 5 + c * 1_000,
                    c,
                    "top-up",
                    demand[c] * 37 / 100 + 1
                )
            )
        }
    }

    private fun pick(weights: List<Double>): Int {
        var left = random.nextDouble() * weights.sum()
        for ((i, weight) in weights.withIndex()) {
            left -= weight
            if (left < 0) return i
        }
        return weights.size - 1
    }
}
