/*
 * Payments into budget records. A payment has an id and counts once, so a payment may be sent any
 * number of times, also after an outcome that isn't known.
 */
package org.hemlockpond.cli

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.budget.BudgetRecord
import org.hemlockpond.core.decodeText
import org.hemlockpond.store.ConditionalWrite

/** Token counts stay below 2^53, which every JSON reader keeps exactly. */
private const val MAX_PAID = (1L shl 53) - 1

/** Routers write the same record several times a second, so a conflict is usual. */
private const val PAYMENT_ATTEMPTS = 30
private val paymentPause = 20.milliseconds

/** Strict, because a record that is written back without unknown fields would lose them. */
private val recordJson = Json { encodeDefaults = true }

internal sealed interface PaymentResult {
    /** @property tokens the tokens added; 0 if every payment was there already */
    data class Paid(val record: BudgetRecord, val tokens: Long) : PaymentResult

    /** A payment id is in the record with another amount. */
    data class Contradicted(val id: String, val stored: Long) : PaymentResult

    data class Failed(val exit: ExitCode, val reason: String) : PaymentResult
}

internal class Budgets(private val store: Store, private val environment: Environment) {
    fun read(customer: CustomerId): BudgetRecord? =
        store.get(BudgetRecord.key(customer))?.let { decode(BudgetRecord.key(customer), it.value) }

    /** Adds [payments] that the record doesn't have yet. */
    fun pay(customer: CustomerId, payments: Map<String, Long>): PaymentResult {
        val key = BudgetRecord.key(customer)
        // Payments found after a write without an answer may be this command's own.
        var added = 0L
        repeat(PAYMENT_ATTEMPTS) { attempt ->
            if (attempt > 0) environment.sleep(paymentPause)
            val stored = store.get(key)
            val record = stored?.let { decode(key, it.value) } ?: BudgetRecord()
            val other = payments.entries.firstOrNull { (id, tokens) ->
                record.payments[id].let { it != null && it != tokens }
            }
            if (other != null) {
                return PaymentResult.Contradicted(other.key, record.payments.getValue(other.key))
            }
            val missing = record.missingTokens(payments)
            if (missing == 0L) return PaymentResult.Paid(record, added)
            if (record.paid > MAX_PAID - missing) {
                return PaymentResult.Failed(ExitCode.FAILED, "$key would exceed $MAX_PAID tokens")
            }
            added = missing
            val next = record.withPayments(payments)
            val text = recordJson.encodeToString(BudgetRecord.serializer(), next)
            val write = ConditionalWrite(key, stored?.revision ?: 0, text)
            when (val commit = store.commitResolved(listOf(write))) {
                is Commit.Applied -> return PaymentResult.Paid(next, missing)

                is Commit.Conflict -> added = 0

                is Commit.NotSent ->
                    return PaymentResult.Failed(ExitCode.UNREACHABLE, unreachable(commit.cause))

                is Commit.Unresolved ->
                    return PaymentResult.Failed(
                        ExitCode.UNREACHABLE,
                        "$key may or may not have the payment (${commit.cause}); send it again"
                    )
            }
        }
        return PaymentResult.Failed(ExitCode.CONFLICT, "$key changed at every attempt")
    }

    private fun decode(key: String, text: String): BudgetRecord = try {
        recordJson.decodeText(BudgetRecord.serializer(), text)
    } catch (e: SerializationException) {
        fail(ExitCode.FAILED, "$key can't be read by this release: ${e.message?.lines()?.first()}")
    }
}
