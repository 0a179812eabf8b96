/*
 * `hemlockpond budget` and `hemlockpond budget top-up`.
 */
package org.hemlockpond.cli

import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.help
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.serialization.json.JsonObject
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.budget.BudgetRecord
import org.hemlockpond.settings.ConfigKeys
import org.hemlockpond.settings.isPaymentId

internal class BudgetCommand(environment: Environment) :
    RemoteCommand(environment, "budget", "Shows the budget of a customer.") {
    override val invokeWithoutSubcommand = true

    private val customer by argument().optional().help("the customer of the budget")

    override fun run() {
        if (currentContext.invokedSubcommand == null) super.run()
    }

    override fun execute(): Outcome {
        val name = named("customer", customer ?: throw UsageError("the customer is missing"))
        val record = withStore { Budgets(it, environment).read(CustomerId(name)) }
            ?: fail(ExitCode.FAILED, "customer $name has no budget record")
        return Outcome(ExitCode.SUCCESS, lines(name, record), recordJson(name, record))
    }

    private fun lines(name: String, record: BudgetRecord): List<String> = buildList {
        add("customer  $name")
        add("paid      ${record.paid} in ${record.payments.size} payments")
        add("closed    ${record.closedSpent} spent through closed slices")
        add("available ${record.available} not granted to any router")
        add("remaining ${record.remaining} at most, as last reported")
        for ((router, slice) in record.slices) {
            val counts = "granted ${slice.granted}, used ${slice.used}, free ${slice.free}"
            add("slice     $router in ${slice.domain}: $counts")
        }
    }
}

private fun recordJson(name: String, record: BudgetRecord): JsonObject = jsonOf(
    "customer" to name,
    "paid" to record.paid,
    "closedSpent" to record.closedSpent,
    "available" to record.available,
    "remaining" to record.remaining,
    "payments" to record.payments,
    "slices" to record.slices.map { (router, slice) ->
        jsonOf(
            "router" to router.value,
            "domain" to slice.domain.value,
            "granted" to slice.granted,
            "spent" to slice.spent,
            "lent" to slice.lent,
            "borrowed" to slice.borrowed
        )
    }
)

internal class TopUpCommand(environment: Environment) :
    RemoteCommand(environment, "top-up", "Adds a payment to the budget of a customer.") {
    private val customer by argument().help("the customer who paid")

    private val tokens by argument().long().restrictTo(min = 1).help("the tokens paid for")

    private val id by option("--id", help = "the id of the payment; it counts once").required()

    override fun execute(): Outcome {
        if (!isPaymentId(id)) throw UsageError("--id $id isn't a payment id of 1 to 63 characters")
        val name = CustomerId(named("customer", customer))
        return withStore { store ->
            // A budget of a mistyped customer would keep the payment from the one who paid.
            store.get(ConfigKeys.contract(name))
                ?: fail(ExitCode.FAILED, "customer $customer has no contract in the store")
            outcome(Budgets(store, environment).pay(name, mapOf(id to tokens)))
        }
    }

    private fun outcome(result: PaymentResult): Outcome = when (result) {
        is PaymentResult.Paid -> {
            val text =
                if (result.tokens == 0L) "payment $id was there already" else "payment $id added"
            Outcome(
                ExitCode.SUCCESS,
                listOf("$text; $customer has paid ${result.record.paid} tokens"),
                jsonOf("added" to result.tokens) + recordJson(customer, result.record)
            )
        }

        is PaymentResult.Contradicted -> Outcome(
            ExitCode.CONFLICT,
            listOf(contradiction(CustomerId(customer), result)),
            jsonOf("conflicts" to listOf(BudgetRecord.key(CustomerId(customer))))
        )

        is PaymentResult.Failed -> Outcome(result.exit, listOf(result.reason))
    }
}

internal fun contradiction(customer: CustomerId, result: PaymentResult.Contradicted): String =
    "conflict on ${BudgetRecord.key(
        customer
    )}: payment ${result.id} is there with ${result.stored} tokens"

private operator fun JsonObject.plus(other: JsonObject) =
    JsonObject(this as Map<String, kotlinx.serialization.json.JsonElement> + other)
