/*
 * What the escrow costs as requests, customers and domains grow: store writes, memory of a slice
 * and processor time of an event.
 */
package org.hemlockpond.bench

import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.budget.BudgetAction
import org.hemlockpond.core.budget.BudgetEvent
import org.hemlockpond.core.budget.BudgetHolder
import org.hemlockpond.core.budget.BudgetRecord
import org.hemlockpond.core.budget.Slice
import org.hemlockpond.core.budget.WriteOutcome

internal class BudgetSlopes(private val seed: Long, private val minutes: Int) {
    fun print(line: (String) -> Unit) {
        line("")
        line("| varied | value | store writes/s | store reads/s | processor us/event |")
        line("|---|---|---|---|---|")
        val base = budgetIngabo.copy(minutes = minutes)
        for (factor in listOf(1, 2, 4, 8)) {
            val rate = base.requestsPerSecond * factor
            measure("requests/s", rate, base.copy(requestsPerSecond = rate), line)
        }
        for (customers in listOf(10, 20, 40, 80)) {
            val rate = base.requestsPerSecond * customers / base.customers
            val varied = base.copy(customers = customers, requestsPerSecond = rate)
            measure("customers", customers, varied, line)
        }
        for (domains in listOf(1, 2, 4, 8)) {
            measure("domains, 8 routers", domains, base.copy(domains = domains), line)
        }
        for (routers in listOf(4, 8, 16, 32)) {
            measure("routers, 4 domains", routers, base.copy(routers = routers), line)
        }
        line("")
        for (slices in listOf(1, 8, 32)) {
            val bytes = bytesPerBudget(slices)
            line("memory of a budget with $slices slices in its record: $bytes bytes")
        }
    }

    private fun measure(
        name: String,
        value: Any,
        deployment: BudgetDeployment,
        line: (String) -> Unit
    ) {
        val load = BudgetWorkload(deployment, seed, cuts = 0)
        val cost = BudgetRun(load).run { EscrowPolicy(deployment, it) }.cost
        val seconds = deployment.millis / 1000.0
        val writes = cost.storeWrites / seconds
        val reads = cost.storeReads / seconds
        val micros = cost.nanos / 1000.0 / cost.events
        line("| %s | %s | %.2f | %.2f | %.2f |".format(name, value, writes, reads, micros))
    }

    /** Heap growth of a holder for each budget from which it has spent once. */
    private fun bytesPerBudget(slices: Int): Long {
        val holder = BudgetHolder(RouterId("router-0"), FailureDomain("domain-0"))
        val now = Now(1.seconds, Instant.fromEpochSeconds(1))
        holder.handle(BudgetEvent.LeaseRenewed(now), now)
        val before = usedHeap()
        for (i in 0 until BUDGETS) {
            val customer = CustomerId("customer-$i")
            val others = (1 until slices).associate {
                val domain = FailureDomain("domain-${it % 4}")
                RouterId("router-$it") to Slice(domain, 1_000)
            }
            val record = BudgetRecord(mapOf("payment-$i" to 1_000_000L), 0, others)
            val request = RequestId("request-$i")
            holder.handle(BudgetEvent.Reserve(request, customer, 100), now)
            val read = BudgetEvent.RecordRead(customer, now.elapsed, 1, record)
            val write = holder.handle(read, now)
                .filterIsInstance<BudgetAction.WriteRecord>().first()
            val applied = WriteOutcome.Applied(2)
            holder.handle(BudgetEvent.RecordWritten(customer, write.sequence, applied), now)
            holder.handle(BudgetEvent.Settle(request, 80), now)
        }
        val bytes = (usedHeap() - before) / BUDGETS
        holder.handle(BudgetEvent.Tick, now)
        return bytes
    }

    private fun usedHeap(): Long {
        repeat(3) {
            System.gc()
            Thread.sleep(50)
        }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }

    private companion object {
        const val BUDGETS = 20_000
    }
}
