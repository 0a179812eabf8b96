/*
 * One run of a policy over a workload in virtual time, judged by a single counter that sees all.
 */
package org.hemlockpond.bench

import java.util.PriorityQueue

/** Runs tasks in the order of their virtual time, in milliseconds. */
internal class VirtualClock {
    private class Task(val at: Long, val order: Long, val run: () -> Unit)

    private val tasks = PriorityQueue<Task>(compareBy({ it.at }, { it.order }))
    private var order = 0L
    var time = 0L
        private set

    fun at(time: Long, run: () -> Unit) {
        tasks += Task(time, order++, run)
    }

    fun after(millis: Long, run: () -> Unit) = at(time + millis, run)

    fun runUntil(end: Long) {
        while (tasks.isNotEmpty() && tasks.peek().at <= end) {
            val task = tasks.poll()
            time = task.at
            task.run()
        }
        time = end
    }
}

/**
 * What a run measured.
 *
 * @property overspend tokens in use beyond the payments, at the worst moment
 * @property falseCut false refusals at routers of a partitioned domain
 * @property falseConnected other false refusals before the last 1% of a budget
 * @property falseEnd false refusals within the last 1% of a budget
 * @property stranded unused tokens, at the end, of customers that had a false refusal in the last
 *   tenth of the run
 */
internal class BudgetResult(
    val requests: Int,
    val overspend: Long,
    val falseCut: Int,
    val falseConnected: Int,
    val falseEnd: Int,
    val trueRefusals: Int,
    val stranded: Long,
    val cost: PolicyCost
)

internal class BudgetRun(private val load: BudgetWorkload) {
    private val clock = VirtualClock()
    private val customers = load.deployment.customers
    private val paid = LongArray(customers)
    private val inUse = LongArray(customers)
    private val starved = BooleanArray(customers)
    private var overspend = 0L
    private var falseCut = 0
    private var falseConnected = 0
    private var falseEnd = 0
    private var trueRefusals = 0

    fun run(policyOf: (VirtualClock) -> BudgetPolicy): BudgetResult {
        val policy = policyOf(clock)
        val end = load.deployment.millis
        for (payment in load.payments) {
            clock.at(payment.at) {
                paid[payment.customer] += payment.tokens
                policy.pay(payment)
            }
        }
        clock.at(load.cutFrom) { policy.partition(load.cutDomains) }
        clock.at(load.cutUntil) { policy.partition(emptySet()) }
        for ((id, request) in load.requests.withIndex()) {
            clock.at(request.at) { policy.reserve(id, request) { answer(policy, id, request, it) } }
        }
        clock.runUntil(end)
        val stranded = starved.indices.sumOf { if (starved[it]) paid[it] - inUse[it] else 0 }
        return BudgetResult(
            load.requests.size,
            overspend,
            falseCut,
            falseConnected,
            falseEnd,
            trueRefusals,
            stranded,
            policy.cost
        )
    }

    private fun answer(policy: BudgetPolicy, id: Int, request: Request, reserved: Boolean) {
        val c = request.customer
        if (!reserved) return refused(request)
        inUse[c] += request.tokens
        overspend = maxOf(overspend, inUse[c] - paid[c])
        clock.after(request.millis) {
            inUse[c] -= request.tokens - request.used
            policy.settle(id, request)
        }
    }

    private fun refused(request: Request) {
        val c = request.customer
        val free = paid[c] - inUse[c]
        val cut = clock.time in load.cutFrom..load.cutUntil &&
            load.deployment.domainOf(request.router) in load.cutDomains
        when {
            free < request.tokens -> {
                trueRefusals++
                return
            }

            free < paid[c] / 100 -> falseEnd++

            cut -> falseCut++

            else -> falseConnected++
        }
        if (clock.time > load.deployment.millis * 9 / 10) starved[c] = true
    }
}
