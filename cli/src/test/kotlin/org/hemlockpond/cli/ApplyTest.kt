package org.hemlockpond.cli

import java.nio.file.Files
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonPrimitive
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.budget.BudgetRecord
import org.hemlockpond.store.ConditionalWrite

class ApplyTest {
    private val environment = FakeEnvironment()
    private val store = environment.store
    private val fleetKey = "hemlockpond/config/fleet"
    private val contractKey = "hemlockpond/config/contracts/embu-artisans"
    private val budget = "hemlockpond/budgets/embu-artisans"

    private fun apply(vararg options: String, directory: Any = authority) =
        environment.run("apply", "$directory", *options)

    private fun conflicts(directory: Any = authority): List<String> =
        environment.json("apply", "$directory").getValue("conflicts").jsonArray
            .map { it.jsonPrimitive.content }

    /** Guards against entries that aren't written together, and against a second payment. */
    @Test
    fun appliesInOneTransactionAndOnce() {
        assertEquals(0, apply())
        assertEquals(11, store.transactions.first().size)
        assertEquals(21, store.values.size)
        val count = store.transactions.size
        assertEquals(0, apply())
        assertEquals(count, store.transactions.size)
        val record = Json.decodeFromString<BudgetRecord>(store.values.getValue(budget).value)
        assertEquals(mapOf("2026-q4-invoice-124" to 1_500_000L), record.payments)
    }

    /** Guards against a diff that hides a change or names the wrong endpoint. */
    @Test
    fun showsChangedPaths() {
        apply()
        val copy = copyOfAuthority()
        copy.replace("fleet.json", "\"maxRequests\": 48", "\"maxRequests\": 40")
        copy.replace("contracts/embu-artisans.json", "\"payments\": {", "\"payments\": {\"x\": 5, ")
        assertEquals(0, apply("--dry-run", directory = copy))
        val expected = listOf(
            "~ $contractKey",
            "    payments.x: none -> 5",
            "~ $fleetKey",
            "    endpoints[rib-advice-1].maxRequests: 48 -> 40",
            "2 entries differ; nothing was written"
        )
        assertEquals(expected, environment.out)
    }

    /** Guards against a changed order of request classes that counts as no change. */
    @Test
    fun orderOfItemsCounts() {
        val before = Json.parseToJsonElement("""{"classes": [{"name": "a"}, {"name": "b"}]}""")
        val after = Json.parseToJsonElement("""{"classes": [{"name": "b"}, {"name": "a"}]}""")
        store.put("k", before.toString())
        val details = diff(store.values, mapOf("k" to after)).single().details
        assertEquals(listOf("classes: changed order"), details)
        assertTrue(diff(store.values, mapOf("k" to before)).isEmpty())
    }

    /** Guards against a lost update when another operator writes between read and commit. */
    @Test
    fun conflictNamesTheKeyAndWritesNothing() {
        apply()
        val copy = copyOfAuthority()
        copy.replace("fleet.json", "\"maxRequests\": 48", "\"maxRequests\": 40")
        copy.replace("contracts/embu-artisans.json", "\"burst\": 8", "\"burst\": 9")
        val before = store.values.getValue(contractKey).value
        store.race = { it.put(fleetKey, "{}") }
        assertEquals(listOf(fleetKey), conflicts(copy))
        assertEquals(3, apply(directory = copy))
        assertEquals(before, store.values.getValue(contractKey).value)
        assertEquals("{}", store.values.getValue(fleetKey).value)
    }

    /** Guards against an entry that another operator created and this one overwrites. */
    @Test
    fun createdEntryIsAConflictToo() {
        store.race = { it.put(contractKey, "{}") }
        assertEquals(listOf(contractKey), conflicts())
        assertEquals(setOf(contractKey), store.values.keys)
    }

    /** Guards against a lost answer that is reported as a conflict with the command itself. */
    @Test
    fun lostAnswersAreResolvedByReadingBack() {
        store.faults += listOf(Fault.NOT_SENT, Fault.LOST_REQUEST, Fault.LOST_ANSWER)
        assertEquals(0, apply())
        assertEquals(21, store.values.size)
    }

    /** Guards against a report of success while the outcome isn't known. */
    @Test
    fun unresolvedOutcomeIsReported() {
        repeat(20) { store.faults += Fault.LOST_REQUEST }
        assertEquals(4, apply())
        store.faults.clear()
        store.down = true
        assertEquals(4, apply())
    }

    /** Guards against the wrong directory that removes every customer. */
    @Test
    fun removalNeedsTheOption() {
        apply()
        val copy = copyOfAuthority()
        Files.delete(copy.resolve("contracts/embu-artisans.json"))
        assertEquals(1, apply(directory = copy))
        assertTrue(contractKey in store.values)
        assertEquals(0, apply("--delete", directory = copy))
        assertTrue(contractKey !in store.values && budget in store.values)
    }

    /** Guards against other entries below the prefix that apply would remove. */
    @Test
    fun otherEntriesStay() {
        store.put("hemlockpond/config/gone/authority-1/3f2a9c01", "{}")
        assertEquals(0, apply("--delete"))
        assertTrue("hemlockpond/config/gone/authority-1/3f2a9c01" in store.values)
    }

    /** Guards against a payment whose amount was changed after it had been counted. */
    @Test
    fun changedPaymentIsAConflict() {
        apply()
        val copy = copyOfAuthority()
        copy.replace("contracts/embu-artisans.json", "1500000", "1500001")
        assertEquals(listOf(budget), conflicts(copy))
    }

    /** Guards against declarations with errors that reach the store. */
    @Test
    fun refusedDeclarationsAreNotSent() {
        val copy = copyOfAuthority()
        copy.replace("fleet.json", "\"model\"", "\"modell\"")
        assertEquals(2, apply(directory = copy))
        assertTrue(store.transactions.isEmpty())
    }

    /** Guards against transactions over the store's limits, and contracts before their routes. */
    @Test
    fun largeChangesAreSplit() {
        val contracts = (1..250).map {
            ConditionalWrite("hemlockpond/config/contracts/c$it", 0, "x")
        }
        val fleet = ConditionalWrite(fleetKey, 0, "y".repeat(900_000))
        val parts = transactions(contracts + fleet)
        assertEquals(listOf(100, 100, 51), parts.map { it.size })
        assertEquals(fleet, parts.first().first())
        val large = List(3) { ConditionalWrite("k$it", 0, "z".repeat(700_000)) }
        assertEquals(listOf(1, 1, 1), transactions(large).map { it.size })
    }

    /** Guards against payments that aren't made once the budget record is written concurrently. */
    @Test
    fun paymentsSurviveOtherWriters() {
        var others = 5
        store.race = { s ->
            if (others-- > 0) {
                val other = BudgetRecord(payments = mapOf("other" to 7L, "n$others" to 1L))
                s.put(budget, Json.encodeToString(BudgetRecord.serializer(), other))
            }
        }
        val result = Budgets(store, environment).pay(CustomerId("embu-artisans"), mapOf("p" to 5L))
        val record = (result as PaymentResult.Paid).record
        assertEquals(listOf(5L, 7L), listOf(result.tokens, record.payments["other"]))
    }
}
