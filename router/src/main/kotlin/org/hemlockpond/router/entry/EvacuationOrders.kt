/*
 * The evacuations of failure domains that the operator has ordered. Each is a key of its own, which stands
 * for the domain until it is removed. The value isn't read: an order that can't be decoded would leave the
 * domain in use.
 */
package org.hemlockpond.router.entry

import org.hemlockpond.core.FailureDomain
import org.hemlockpond.store.StoreChange

/** @param changed receives all evacuated domains whenever they may have changed */
internal class EvacuationOrders(
    private val prefix: String,
    private val changed: (Set<FailureDomain>) -> Unit
) {
    private var domains: Set<FailureDomain> = emptySet()

    /** Whether [changed] has returned for [domains]. */
    private var isReported = false

    /** The domain that [key] evacuates; null if it is another key. */
    fun domainOf(key: String): FailureDomain? = key.takeIf { it.startsWith(prefix) }
        ?.removePrefix(prefix)?.takeIf { it.isNotEmpty() }?.let { FailureDomain(it) }

    fun isEvacuated(domain: FailureDomain): Boolean = domain in domains

    /** The domains are reported once more, as the last report may have been broken off. */
    fun watchBegins() {
        isReported = false
    }

    /** Applies [changes] of the operator's keys in their order. */
    fun apply(changes: List<StoreChange>) {
        val next = domains.toMutableSet()
        for (change in changes) {
            val domain = domainOf(change.key) ?: continue
            if (change.value == null) next -= domain else next += domain
        }
        replace(next)
    }

    /** All evacuations were read; returns whether they differ from those that were known. */
    fun replace(next: Set<FailureDomain>): Boolean {
        val isNew = next != domains
        if (isNew || !isReported) {
            domains = next
            isReported = false
            changed(next)
            isReported = true
        }
        return isNew
    }
}
