/*
 * Reviews a configuration before the operator sends it: mistakes that the store accepts, entries that can
 * never match a request, limits that contradict each other, and the differences from the configuration in
 * force.
 */
package org.hemlockpond.core.entry

import org.hemlockpond.core.CustomerId

/** How much a [ConfigFinding] matters. */
enum class FindingLevel { ERROR, WARNING }

/**
 * Something wrong in a configuration.
 *
 * @property entry what it is about, such as `route r-1`; never holds an API key
 */
data class ConfigFinding(val level: FindingLevel, val entry: String, val text: String)

enum class ChangeKind(val sign: Char) { ADDED('+'), CHANGED('~'), REMOVED('-') }

/**
 * A difference from the configuration in force.
 *
 * @property details the changed fields with their old and new values; never hold an API key
 */
data class ConfigChange(
    val kind: ChangeKind,
    val entry: String,
    val details: List<String> = emptyList()
)

/** @property changes the differences from the configuration in force; empty if it isn't known */
data class ConfigReview(val findings: List<ConfigFinding>, val changes: List<ConfigChange>) {
    val hasErrors: Boolean get() = findings.any { it.level == FindingLevel.ERROR }
}

/** Reviews [next], which is to replace [inForce]; null if no configuration is in force. */
fun reviewConfig(next: EntryConfig, inForce: EntryConfig? = null): ConfigReview = ConfigReview(
    findings = ConfigChecks(next).run() + inForce?.let { checkSuccession(next, it) }.orEmpty(),
    changes = inForce?.let { compareConfigs(it, next) }.orEmpty()
)

/** Checks what is only wrong after [inForce]: versions and prepaid totals never decrease. */
private fun checkSuccession(next: EntryConfig, inForce: EntryConfig): List<ConfigFinding> =
    buildList {
        if (next.version <= inForce.version) {
            val text = "is ${next.version}, not above ${inForce.version}, which is in force"
            add(ConfigFinding(FindingLevel.ERROR, "version", text))
        }
        val paid = inForce.customers.associate { it.id to it.prepaidTokens }
        for (customer in next.customers) {
            val before = paid[customer.id] ?: continue
            val after = customer.prepaidTokens
            if (after != null && after >= before) continue
            val text = "prepaid total falls from $before to ${after ?: "none"}"
            add(ConfigFinding(FindingLevel.ERROR, "customer ${customer.id}", text))
        }
    }

private class ConfigChecks(private val config: EntryConfig) {
    private val findings = ArrayList<ConfigFinding>()

    fun run(): List<ConfigFinding> {
        checkMatches()
        config.routes.forEach(::checkTargets)
        config.routes.forEach(::checkTimes)
        config.services.values.forEach(::checkService)
        checkCustomers()
        checkLimits(config.limits)
        return findings
    }

    private fun error(entry: String, text: String) {
        findings += ConfigFinding(FindingLevel.ERROR, entry, text)
    }

    private fun warn(entry: String, text: String) {
        findings += ConfigFinding(FindingLevel.WARNING, entry, text)
    }

    private fun checkMatches() {
        for ((id, routes) in config.routes.groupBy { it.id }) {
            if (routes.size > 1) error("route $id", "is there ${routes.size} times")
        }
        val first = HashMap<Pair<String, String>, EntryRoute>()
        for (route in config.routes) {
            val entry = "route ${route.id}"
            val earlier = first.putIfAbsent(route.host.lowercase() to route.pathPrefix, route)
            if (earlier != null) {
                error(entry, "never matches: route ${earlier.id} has the same host and prefix")
            }
            val prefix = route.pathPrefix
            if (!prefix.startsWith('/') || !prefix.endsWith('/')) {
                error(entry, "never matches: prefix \"$prefix\" doesn't begin and end with a slash")
            }
            if (prefix.any { it == '?' || it == '#' || it.isWhitespace() }) {
                error(entry, "never matches: prefix \"$prefix\" has a character no path has")
            }
            if (route.host.isBlank()) error(entry, "never matches: it has no host")
            if (prefix.length + route.host.length > config.limits.maxHeaderBytes) {
                error(entry, "never matches: host and prefix exceed the limit of header bytes")
            }
        }
    }

    private fun checkTargets(route: EntryRoute) {
        val entry = "route ${route.id}"
        if (route.targets.isEmpty()) error(entry, "has no service")
        for (target in route.targets) {
            if (target.service !in config.services) {
                error(entry, "names the unknown service ${target.service}")
            }
            if (target.weight < 0) error(entry, "${target.service} has a negative weight")
            if (target.weight == 0 && route.targets.size > 1) {
                warn(entry, "${target.service} has weight 0 and gets no request")
            }
        }
        if (route.targets.size > 1 && route.targets.all { it.weight == 0 }) {
            error(entry, "all weights are 0")
        }
    }

    private fun checkTimes(route: EntryRoute) {
        val entry = "route ${route.id}"
        if (!route.timeout.isPositive()) error(entry, "timeout isn't positive")
        if (!route.goal.isPositive()) error(entry, "goal isn't positive")
        if (route.goal > route.timeout) {
            error(entry, "goal ${route.goal} is longer than timeout ${route.timeout}")
        }
        val gap = route.eventGapGoal
        if (gap != null && gap > route.timeout) {
            error(entry, "goal between events $gap is longer than timeout ${route.timeout}")
        }
        if (route.maxAttempts < 1) error(entry, "allows ${route.maxAttempts} attempts")
        if (route.retrySafety == RetrySafety.UNSAFE && route.maxAttempts > 1) {
            warn(entry, "allows ${route.maxAttempts} attempts, but isn't idempotent and gets one")
        }
    }

    private fun checkService(service: EntryService) {
        val entry = "service ${service.id}"
        if (config.routes.none { route -> route.targets.any { it.service == service.id } }) {
            warn(entry, "gets no request: no route names it")
        }
        if (service.maxConnections < 1) error(entry, "accepts no connection")
        val engine = service.engine ?: return
        if (engine.batchSize < 1) error(entry, "engines run ${engine.batchSize} requests")
        if (engine.memoryTokens < 1) error(entry, "engines have memory for no token")
        if (engine.batchSize > service.maxConnections) {
            warn(
                entry,
                "engines run more requests (${engine.batchSize}) than they accept connections"
            )
        }
    }

    private fun checkCustomers() {
        for ((id, customers) in config.customers.groupBy { it.id }) {
            if (customers.size > 1) error("customer $id", "is there ${customers.size} times")
        }
        val holders = HashMap<String, CustomerId>()
        for (customer in config.customers) {
            val entry = "customer ${customer.id}"
            if (customer.keys.isEmpty()) warn(entry, "has no key and can't send a request")
            if (customer.keys.any { it.isBlank() }) error(entry, "has an empty key")
            for (key in customer.keys) {
                val other = holders.put(key, customer.id) ?: continue
                if (other != customer.id) error(entry, "has a key that customer $other has, too")
            }
            val prepaid = customer.prepaidTokens ?: continue
            if (prepaid < 0) error(entry, "has a negative prepaid total")
            if (prepaid == 0L) warn(entry, "has a prepaid total of 0: all requests are refused")
        }
        if (config.customers.isEmpty() && config.routes.any { !it.allowsAnonymous }) {
            warn("customers", "there are none, so no route needs a key")
        }
    }

    private fun checkLimits(limits: CallerLimits) {
        if (limits.maxHeaderBytes < 1) error("limits", "no header is allowed")
        if (limits.maxBodyBytes < 0) error("limits", "the limit of body bytes is negative")
        if (!limits.headerTimeout.isPositive()) error("limits", "header timeout isn't positive")
        if (!limits.idleTimeout.isPositive()) error("limits", "idle timeout isn't positive")
        if (limits.headerTimeout > limits.idleTimeout) {
            warn("limits", "header timeout is longer than idle timeout")
        }
    }
}
