/*
 * The two deployments of section 1.3 as the routing benchmark models them. Rates and sizes are
 * assumptions of the benchmark; the page gives counts, delays and kinds of work only.
 */
package org.hemlockpond.bench

import java.util.Random
import kotlin.math.ln
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.RequestClass
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouteConfig
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.RouteKind
import org.hemlockpond.core.VersionId
import org.hemlockpond.core.routing.RoutingRequest

/**
 * @property longPrompt the range of prompt tokens of long requests
 * @property longRate long requests a second in normal operation; [quickRate] likewise
 * @property floodRate long requests a second during the flood
 * @property prefixes distinct shared prefixes, such as system prompts and dossiers
 */
internal class RoutingDeployment(
    val name: String,
    val domains: Int,
    val routers: Int,
    val runners: Int,
    val memoryTokens: Long,
    val longPrompt: IntRange,
    val longRate: Double,
    val quickRate: Double,
    val floodRate: Double,
    val prefixes: Int
) {
    fun domain(index: Int) = FailureDomain("d${index % domains}")

    val config = FleetConfig(
        domains = List(domains) { domain(it) },
        classes = listOf(
            RequestClass("quick", 1_000, queueMillis = 10_000, weight = 4),
            RequestClass("long", 100_000, queueMillis = 300_000)
        ),
        routes = listOf(RouteConfig(ROUTE, RouteKind.MODEL, VERSION)),
        endpoints = List(runners) {
            val id = EndpointId("e$it")
            EndpointConfig(id, ROUTE, VERSION, domain(it), "127.0.0.1", 1, memoryTokens)
        }
    )

    companion object {
        val ROUTE = RouteId("advisor")
        val VERSION = VersionId("1")

        val all = listOf(
            RoutingDeployment(
                "Authority", domains = 3, routers = 7, runners = 8, memoryTokens = 160_000,
                longPrompt = 8_000..24_000, longRate = 0.4, quickRate = 8.0, floodRate = 4.0,
                prefixes = 40
            ),
            RoutingDeployment(
                "Ingabo", domains = 4, routers = 8, runners = 8, memoryTokens = 160_000,
                longPrompt = 3_000..10_000, longRate = 1.0, quickRate = 10.0, floodRate = 10.0,
                prefixes = 60
            )
        )
    }
}

/**
 * A request of the workload.
 *
 * @property actualPrompt tokens that the engine counts; the router only estimates them
 * @property answer tokens that the engine will produce
 */
internal class Arrival(
    val at: Double,
    val work: RoutingRequest,
    val actualPrompt: Long,
    val answer: Int,
    val poison: Boolean = false
) {
    val isQuick: Boolean get() = work.requestClass == "quick"
}

/** Poisson arrivals with the rates of a deployment, from one seed. */
internal class Workload(private val deployment: RoutingDeployment, private val seed: Long) {
    private val random = Random(seed)
    private var count = 0

    fun arrivals(seconds: Double, flood: ClosedFloatingPointRange<Double>?): List<Arrival> {
        val list = ArrayList<Arrival>()
        stream(seconds, { deployment.quickRate }) { list += arrival(it, quick = true) }
        val rate = { time: Double ->
            if (flood != null && time in flood) deployment.floodRate else deployment.longRate
        }
        stream(seconds, rate) { list += arrival(it, quick = false) }
        return list.sortedBy { it.at }
    }

    /** The crashing request under a new key. */
    fun poison(at: Double, attempt: Int): Arrival {
        val work = work("poison-$attempt", true, 400, 300, "poison")
        return Arrival(at, work, 400, 300, poison = true)
    }

    private fun stream(seconds: Double, rate: (Double) -> Double, add: (Double) -> Unit) {
        var time = 0.0
        while (true) {
            time += -ln(1 - random.nextDouble()) / rate(time)
            if (time >= seconds) return
            add(time)
        }
    }

    private fun arrival(at: Double, quick: Boolean): Arrival {
        val range = deployment.longPrompt
        val prompt = if (quick) {
            200 + random.nextInt(600)
        } else {
            range.first + random.nextInt(range.last - range.first)
        }
        val most = if (quick) 256 else 1_024
        val answer = most / 4 + random.nextInt(most * 3 / 4)
        val id = "${if (quick) "q" else "l"}${count++}"
        val estimate = (prompt * (0.9 + 0.2 * random.nextDouble())).toLong()
        val work = work(id, quick, estimate, most.toLong(), id)
        return Arrival(at, work, prompt.toLong(), answer)
    }

    private fun work(
        id: String,
        quick: Boolean,
        prompt: Long,
        most: Long,
        content: String
    ): RoutingRequest {
        // Half of the prefixes are much used: the square of a uniform variable favours low numbers.
        val draw = random.nextDouble()
        val prefix = (draw * draw * deployment.prefixes).toInt()
        return RoutingRequest(
            RequestId("$seed-$id"),
            CustomerId("c"),
            RoutingDeployment.ROUTE,
            requestClass = if (quick) "quick" else "long",
            promptTokens = prompt,
            maxAnswerTokens = most,
            prefixDigest = "$quick-$prefix",
            contentDigest = content,
            priority = if (quick) 1 else 0
        )
    }
}
