/*
 * Applies declarations to the store: the entries by compare-and-swap, then the payments. Payments
 * come last, so that a conflict in the entries changes nothing.
 */
package org.hemlockpond.cli

import org.hemlockpond.core.Contract
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.budget.BudgetRecord
import org.hemlockpond.settings.ConfigKeys
import org.hemlockpond.settings.Declarations
import org.hemlockpond.store.ConditionalWrite

/** etcd takes at most 128 operations and 1.5 MiB in one transaction by default. */
internal const val MAX_TRANSACTION_WRITES = 100
private const val MAX_TRANSACTION_BYTES = 1_200_000

internal class Applier(private val store: Store, private val environment: Environment) {
    fun diff(declarations: Declarations): List<EntryDiff> {
        val stored = store.list(ConfigKeys.PREFIX)
            .filterKeys { it == ConfigKeys.FLEET || it.startsWith(ConfigKeys.CONTRACTS) }
        return diff(stored, declarations.entries)
    }

    fun apply(declarations: Declarations, diffs: List<EntryDiff>): Outcome {
        val written = mutableListOf<String>()
        var revision = 0L
        for (writes in transactions(diffs.map { it.toWrite() })) {
            when (val commit = store.commitResolved(writes)) {
                is Commit.Applied -> {
                    revision = commit.revision
                    written += writes.map { it.key }
                }

                is Commit.Conflict -> return conflict(commit.keys, written)

                is Commit.NotSent -> return Outcome(
                    ExitCode.UNREACHABLE,
                    listOf(unreachable(commit.cause)) + rest(written),
                    jsonOf("written" to written)
                )

                is Commit.Unresolved -> return unresolved(commit.cause, writes, written)
            }
        }
        return pay(declarations.config.contracts, written, revision)
    }

    private fun pay(contracts: List<Contract>, written: List<String>, revision: Long): Outcome {
        val lines = mutableListOf<String>()
        val paid = LinkedHashMap<String, Long>()
        var exit = ExitCode.SUCCESS
        val conflicts = mutableListOf<String>()
        for (contract in contracts.filter { it.payments.isNotEmpty() }) {
            val result = Budgets(store, environment).pay(contract.customer, contract.payments)
            when (result) {
                is PaymentResult.Paid ->
                    if (result.tokens > 0) paid[contract.customer.value] = result.tokens

                is PaymentResult.Contradicted -> {
                    exit = ExitCode.CONFLICT
                    conflicts += BudgetRecord.key(contract.customer)
                    lines += contradiction(contract.customer, result)
                }

                is PaymentResult.Failed -> {
                    exit = if (exit == ExitCode.SUCCESS) result.exit else exit
                    lines += result.reason
                }
            }
        }
        val place = if (written.isEmpty()) "" else " at revision $revision"
        lines += "${written.size} entries written$place, ${paid.values.sum()} tokens paid in" +
            " for ${paid.size} customers"
        val json = jsonOf(
            "written" to written,
            "revision" to revision.takeIf { written.isNotEmpty() },
            "paid" to paid,
            "conflicts" to conflicts
        )
        return Outcome(exit, lines, json)
    }

    private fun conflict(keys: List<String>, written: List<String>) = Outcome(
        ExitCode.CONFLICT,
        keys.map { "conflict on $it: it changed since it was read" } + rest(written),
        jsonOf("conflicts" to keys, "written" to written)
    )

    private fun unresolved(
        cause: String,
        writes: List<ConditionalWrite>,
        written: List<String>
    ): Outcome {
        val keys = writes.map { it.key }
        return Outcome(
            ExitCode.UNREACHABLE,
            listOf("${keys.size} entries may have been written or not: $cause") + rest(written),
            jsonOf("uncertain" to keys, "written" to written)
        )
    }

    private fun rest(written: List<String>): List<String> = if (written.isEmpty()) {
        listOf("no other entry was written; run the command again")
    } else {
        listOf("${written.size} entries were written before; run the command again")
    }
}

/** The writes in as few transactions as fit, the fleet entry first: contracts refer to it. */
internal fun transactions(writes: List<ConditionalWrite>): List<List<ConditionalWrite>> {
    val all = mutableListOf<MutableList<ConditionalWrite>>()
    var bytes = 0
    for (write in writes.sortedBy { it.key != ConfigKeys.FLEET }) {
        val size = write.key.length + (write.value?.toByteArray()?.size ?: 0)
        val last = all.lastOrNull()
        if (last == null || last.size == MAX_TRANSACTION_WRITES ||
            bytes + size > MAX_TRANSACTION_BYTES
        ) {
            all += mutableListOf(write)
            bytes = size
        } else {
            last += write
            bytes += size
        }
    }
    return all
}

/** The customers whose contract entries [diffs] remove. */
internal fun removedCustomers(diffs: List<EntryDiff>): List<CustomerId> =
    diffs.filter { it.change == EntryChange.REMOVED }
        .map { CustomerId(it.key.removePrefix(ConfigKeys.CONTRACTS)) }
