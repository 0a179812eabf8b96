/*
 * The deployments, the kinds of badness and the shared faults that MoveBench simulates.
 */
package org.hemlockpond.bench

import kotlin.math.exp
import kotlin.math.pow

/** A class of requests. Times are in seconds without load. */
internal data class RequestMix(val part: Double, val firstToken: Double, val tokens: Int)

/**
 * A deployment of section 1.3 of the design.
 *
 * @property rate requests a second. The design's scale gives 18,000 requests/s for 10,000 runners,
 *   which is 14.4 for eight runners
 */
internal data class MoveDeployment(
    val name: String,
    val domains: Int,
    val runners: Int,
    val routers: Int,
    val mix: List<RequestMix>,
    val rate: Double = 14.4
)

internal val moveAuthority = MoveDeployment(
    name = "Authority",
    domains = 3,
    runners = 8,
    routers = 8,
    mix = listOf(
        RequestMix(0.15, 1.2, 600),
        RequestMix(0.60, 0.3, 80),
        RequestMix(0.25, 0.2, 40)
    )
)

internal val moveIngabo = MoveDeployment(
    name = "Ingabo",
    domains = 4,
    runners = 8,
    routers = 8,
    mix = listOf(
        RequestMix(0.30, 0.6, 300),
        RequestMix(0.40, 0.3, 150),
        RequestMix(0.30, 0.2, 20)
    )
)

/** How a version is worse than the old one. */
internal data class Badness(
    val failures: Double = 0.0,
    val slowdown: Double = 1.0,
    val hangs: Boolean = false,
    val aboveLoad: Double = 0.0,
    val late: Boolean = false
)

/** A fault that hits both versions. */
internal enum class SharedFault { NONE, OVERLOAD, UNHEALTHY_DOMAIN, STORE_OUTAGE, PARTITION }

/**
 * One row of the table.
 *
 * @property rateFactor multiplies the deployment's rate of requests
 */
internal data class Scenario(
    val name: String,
    val badness: Badness? = null,
    val fault: SharedFault = SharedFault.NONE,
    val rateFactor: Double = 1.0
)

internal val scenarios = listOf(
    Scenario("good"),
    Scenario("good, overload", fault = SharedFault.OVERLOAD),
    Scenario("good, unhealthy domain", fault = SharedFault.UNHEALTHY_DOMAIN),
    Scenario("good, store outage", fault = SharedFault.STORE_OUTAGE),
    Scenario("good, partition", fault = SharedFault.PARTITION),
    Scenario("good, little traffic", rateFactor = 0.002),
    Scenario("fails always", Badness(failures = 1.0)),
    Scenario("fails 30%", Badness(failures = 0.3)),
    Scenario("fails 5%", Badness(failures = 0.05)),
    Scenario("hangs", Badness(hangs = true)),
    Scenario("slow by 2", Badness(slowdown = 2.0)),
    Scenario("fails 40% under load", Badness(failures = 0.4, aboveLoad = 0.3)),
    Scenario("fails 30% late", Badness(failures = 0.3, late = true)),
    Scenario("slow by 2 late", Badness(slowdown = 2.0, late = true)),
    Scenario(
        "fails 30% late, overload",
        Badness(failures = 0.3, late = true),
        SharedFault.OVERLOAD
    ),
    Scenario(
        "fails 30% late, unhealthy domain",
        Badness(failures = 0.3, late = true),
        SharedFault.UNHEALTHY_DOMAIN
    ),
    Scenario(
        "fails 30% late, store outage",
        Badness(failures = 0.3, late = true),
        SharedFault.STORE_OUTAGE
    ),
    Scenario(
        "fails 30% late, partition",
        Badness(failures = 0.3, late = true),
        SharedFault.PARTITION
    )
)

/** What an attempt does; times are in seconds since dispatch. */
internal data class Attempt(
    val firstToken: Double,
    val gap: Double,
    val end: Double,
    val failed: Boolean,
    val showsBadness: Boolean
)

/** Draws the course of one attempt. All draws come from [random], in a fixed order. */
internal fun drawAttempt(
    random: java.util.SplittableRandom,
    mix: List<RequestMix>,
    conditions: Conditions,
    badness: Badness?
): Attempt {
    val pick = random.nextDouble()
    val firstNoise = exp(FIRST_TOKEN_SIGMA * gaussian(random))
    val gapNoise = exp(GAP_SIGMA * gaussian(random))
    val commonFailure = random.nextDouble()
    val badFailure = random.nextDouble()
    var sum = 0.0
    val kind = mix.first { kind ->
        sum += kind.part
        pick < sum || kind === mix.last()
    }
    val load = conditions.load
    val active = badness != null && load >= badness.aboveLoad
    val slowdown = if (active) badness!!.slowdown else 1.0
    val first = kind.firstToken * firstNoise * conditions.slowness * slowdown *
        (1 + 2 * load.pow(3))
    val gap = BASE_GAP * gapNoise * conditions.slowness * slowdown * (1 + 0.8 * load)
    val overloaded = if (load > 1) OVERLOAD_FAILURES else 0.0
    val failsAnyway = commonFailure < BASE_FAILURES + conditions.failures + overloaded
    val failsBad = active && badFailure < badness!!.failures
    if (active && badness!!.hangs) {
        return Attempt(HANG_TIMEOUT, 0.0, HANG_TIMEOUT, failed = true, showsBadness = true)
    }
    val failed = failsAnyway || failsBad
    val end = if (failed) first else first + gap * kind.tokens
    return Attempt(first, gap, end, failed, failsBad || slowdown > 1)
}

/** The conditions that both versions meet at one endpoint. */
internal data class Conditions(val load: Double, val failures: Double, val slowness: Double)

internal fun gaussian(random: java.util.SplittableRandom): Double {
    // The sum of 12 uniform numbers needs a fixed number of draws, which rejection methods don't.
    var sum = 0.0
    repeat(12) { sum += random.nextDouble() }
    return sum - 6
}

/** The failures of a good version without any fault. */
internal const val BASE_FAILURES = 0.005
private const val OVERLOAD_FAILURES = 0.15
private const val BASE_GAP = 0.04
private const val FIRST_TOKEN_SIGMA = 0.4
private const val GAP_SIGMA = 0.25

/** Seconds after which a router gives up on an endpoint that doesn't answer. */
internal const val HANG_TIMEOUT = 30.0
