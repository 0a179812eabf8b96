/*
 * The regions whose endpoints may get a request, by the lists of its route and its organisation.
 */
package org.hemlockpond.core.entry

import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouteId

internal class AllowedRegions(private val regions: Map<FailureDomain, RegionId>) {
    private var byRoute: Map<RouteId, Set<RegionId>> = emptyMap()
    private var byCustomer: Map<CustomerId, Set<RegionId>> = emptyMap()

    fun configChanged(config: EntryConfig) {
        byRoute = config.routes.filter { it.allowedRegions.isNotEmpty() }
            .associate { it.id to it.allowedRegions }
        byCustomer = config.customers.filter { it.allowedRegions.isNotEmpty() }
            .associate { it.id to it.allowedRegions }
    }

    fun isRestricted(request: EntryRequest): Boolean = request.route.allowedRegions.isNotEmpty() ||
        request.route.id in byRoute || request.customer in byCustomer

    /** Whether an endpoint in [domain] may get [request]; both the earlier and the newer list apply. */
    fun allow(request: EntryRequest, domain: FailureDomain): Boolean {
        if (!isRestricted(request)) return true
        val region = regions[domain] ?: return false
        val ofRoute = request.route.allowedRegions
        return (ofRoute.isEmpty() || region in ofRoute) &&
            byRoute[request.route.id]?.contains(region) != false &&
            byCustomer[request.customer]?.contains(region) != false
    }
}
