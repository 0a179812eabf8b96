/*
 * The ways of spending a budget that the benchmark compares, with the two naive ones.
 */
package org.hemlockpond.bench

/** Counts what a policy costs. */
internal class PolicyCost {
    var storeReads = 0L
    var storeWrites = 0L
    var peerBytes = 0L
    var events = 0L
    var nanos = 0L
}

/** A way of spending a budget, driven in virtual time. */
internal interface BudgetPolicy {
    val cost: PolicyCost

    /** Calls [answer] once, now or later, with whether the tokens are reserved. */
    fun reserve(id: Int, request: Request, answer: (Boolean) -> Unit)

    fun settle(id: Int, request: Request)

    fun pay(payment: Payment)

    fun partition(domains: Set<Int>)

    fun finish() = Unit
}

/** Splits every payment equally among the routers; a partitioned router hears of it later. */
internal class StaticSplit(private val deployment: BudgetDeployment) : BudgetPolicy {
    override val cost = PolicyCost()
    private val free = Array(deployment.customers) { LongArray(deployment.routers) }
    private val late = Array(deployment.customers) { LongArray(deployment.routers) }
    private var cut = emptySet<Int>()

    override fun reserve(id: Int, request: Request, answer: (Boolean) -> Unit) {
        val slices = free[request.customer]
        val fits = request.tokens <= slices[request.router]
        if (fits) slices[request.router] -= request.tokens
        answer(fits)
    }

    override fun settle(id: Int, request: Request) {
        free[request.customer][request.router] += request.tokens - request.used
    }

    override fun pay(payment: Payment) {
        cost.storeWrites++
        for (router in 0 until deployment.routers) {
            val isCut = deployment.domainOf(router) in cut
            val slices = if (isCut) late else free
            slices[payment.customer][router] += payment.tokens / deployment.routers
        }
    }

    override fun partition(domains: Set<Int>) {
        cut = domains
        for (customer in 0 until deployment.customers) {
            for (router in 0 until deployment.routers) {
                if (deployment.domainOf(router) in cut) continue
                free[customer][router] += late[customer][router]
                late[customer][router] = 0
            }
        }
    }
}

/** Reads and writes the record for each reservation and each settlement. */
internal class SwapPerRequest(private val deployment: BudgetDeployment) : BudgetPolicy {
    override val cost = PolicyCost()
    private val free = LongArray(deployment.customers)
    private val late = ArrayList<Request>()
    private var cut = emptySet<Int>()

    override fun reserve(id: Int, request: Request, answer: (Boolean) -> Unit) {
        if (deployment.domainOf(request.router) in cut) return answer(false)
        cost.storeReads++
        val fits = request.tokens <= free[request.customer]
        if (fits) {
            cost.storeWrites++
            free[request.customer] -= request.tokens
        }
        answer(fits)
    }

    override fun settle(id: Int, request: Request) {
        if (deployment.domainOf(request.router) in cut) {
            late += request
            return
        }
        cost.storeReads++
        cost.storeWrites++
        free[request.customer] += request.tokens - request.used
    }

    override fun pay(payment: Payment) {
        cost.storeReads++
        cost.storeWrites++
        free[payment.customer] += payment.tokens
    }

    override fun partition(domains: Set<Int>) {
        cut = domains
        val ready = late.filter { deployment.domainOf(it.router) !in cut }
        late.removeAll(ready.toSet())
        ready.forEach { settle(0, it) }
    }
}
