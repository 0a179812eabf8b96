/*
 * The router's metrics, with one histogram for each customer and request class.
 */
package org.hemlockpond.router

import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration as JavaDuration
import kotlin.time.Duration
import kotlin.time.toJavaDuration
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind

/** Counters, gauges and histograms under names that start with `hemlockpond_`. */
internal class RouterMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    fun firstToken(customer: CustomerId, requestClass: String, after: Duration) =
        timer("hemlockpond.first.token", customer, requestClass).record(after.toJavaDuration())

    fun answered(customer: CustomerId, requestClass: String, after: Duration) =
        timer("hemlockpond.answer", customer, requestClass).record(after.toJavaDuration())

    fun billed(customer: CustomerId, tokens: Long) =
        registry.counter("hemlockpond.billed.tokens", "customer", customer.value)
            .increment(tokens.toDouble())

    /** [customer] is null before the caller is known. */
    fun refused(customer: CustomerId?, kind: ErrorKind) = registry.counter(
        "hemlockpond.refused",
        "customer",
        customer?.value ?: "unknown",
        "kind",
        kind.code
    ).increment()

    fun storeCall(purpose: String, outcome: String) = registry.counter(
        "hemlockpond.store.calls",
        "purpose",
        purpose,
        "outcome",
        outcome
    ).increment()

    fun partEnded(part: String) =
        registry.counter("hemlockpond.part.ends", "part", part).increment()

    fun gauge(name: String, value: () -> Number) {
        registry.gauge(name, value) { it().toDouble() }
        // The registry holds gauge functions weakly.
        gauges += value
    }

    private val gauges = mutableListOf<() -> Number>()

    /** The Prometheus text exposition. */
    fun scrape(): String = registry.scrape()

    @Suppress("SpreadOperator") // Micrometer takes the buckets as a vararg.
    private fun timer(name: String, customer: CustomerId, requestClass: String): Timer =
        Timer.builder(name)
            .tag("customer", customer.value)
            .tag("class", requestClass)
            .serviceLevelObjectives(*BUCKETS)
            .register(registry)

    private companion object {
        /** 1.8 s is the target for the first token at the 95th percentile. */
        val BUCKETS: Array<JavaDuration> = longArrayOf(
            5, 10, 25, 50, 100, 250, 500, 1_000, 1_800, 2_500, 5_000, 10_000, 30_000, 120_000
        ).map { JavaDuration.ofMillis(it) }.toTypedArray()
    }
}
