/*
 * The differences between two configurations, by entry. Routes, services and customers are identified by
 * their names.
 */
package org.hemlockpond.core.entry

/** Returns how [after] differs from [before]. */
internal fun compareConfigs(before: EntryConfig, after: EntryConfig): List<ConfigChange> =
    compareEntries(
        "route",
        before.routes.associateBy {
            it.id
        },
        after.routes.associateBy { it.id }
    ) {
        fieldsOf(it)
    } +
        compareEntries("service", before.services, after.services) { fieldsOf(it) } +
        compareEntries(
            "customer",
            before.customers.associateBy { it.id },
            after.customers.associateBy { it.id }
        ) { fieldsOf(it) } +
        compareEntries("limits", mapOf("" to before.limits), mapOf("" to after.limits)) {
            fieldsOf(it)
        } + compareKeys(before, after)

private fun <K, V> compareEntries(
    kind: String,
    before: Map<K, V>,
    after: Map<K, V>,
    fields: (V) -> Map<String, Any?>
): List<ConfigChange> = (before.keys + after.keys).mapNotNull { id ->
    val old = before[id]
    val new = after[id]
    val entry = "$kind $id".trim()
    when {
        old == null -> ConfigChange(ChangeKind.ADDED, entry)

        new == null -> ConfigChange(ChangeKind.REMOVED, entry)

        else -> {
            val (from, to) = fields(old) to fields(new)
            val details = to.filter { (name, value) -> from[name] != value }
                .map { (name, value) -> "$name: ${from[name]} -> $value" }
            ConfigChange(ChangeKind.CHANGED, entry, details).takeIf { details.isNotEmpty() }
        }
    }
}

/** Counts the keys that customers gain and lose, as the keys themselves are secret. */
private fun compareKeys(before: EntryConfig, after: EntryConfig): List<ConfigChange> {
    val old = before.customers.associate { it.id to it.keys.toSet() }
    return after.customers.mapNotNull { customer ->
        val keys = old[customer.id] ?: return@mapNotNull null
        val added = (customer.keys.toSet() - keys).size
        val removed = (keys - customer.keys.toSet()).size
        if (added + removed == 0) return@mapNotNull null
        val details = listOf("keys: $added added, $removed removed")
        ConfigChange(ChangeKind.CHANGED, "keys of customer ${customer.id}", details)
    }
}

private fun fieldsOf(route: EntryRoute): Map<String, Any?> = mapOf(
    "host" to route.host,
    "prefix" to route.pathPrefix,
    "streaming" to route.streaming,
    "retries" to route.retrySafety,
    "timeout" to route.timeout,
    "goal" to route.goal,
    "goal between events" to route.eventGapGoal,
    "rank" to route.rank,
    "services" to route.targets.joinToString { "${it.service} ${it.weight}" },
    "attempts" to route.maxAttempts,
    "without key" to route.allowsAnonymous
)

private fun fieldsOf(service: EntryService): Map<String, Any?> = mapOf(
    "health path" to service.healthPath,
    "connections" to service.maxConnections,
    "engine" to service.engine
)

private fun fieldsOf(customer: EntryCustomer): Map<String, Any?> = mapOf(
    "rank" to customer.rank,
    "prepaid" to customer.prepaidTokens
)

private fun fieldsOf(limits: CallerLimits): Map<String, Any?> = mapOf(
    "header bytes" to limits.maxHeaderBytes,
    "body bytes" to limits.maxBodyBytes,
    "header timeout" to limits.headerTimeout,
    "idle timeout" to limits.idleTimeout
)
