package org.hemlockpond.cli

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonPrimitive
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.hemlockpond.core.budget.BudgetRecord

class TopUpTest {
    private val key = "hemlockpond/budgets/kla"

    private fun environment() = FakeEnvironment().apply {
        store.put("hemlockpond/config/contracts/kla", "{}")
    }

    private fun record(environment: FakeEnvironment) = environment.store.values[key]
        ?.let { Json.decodeFromString<BudgetRecord>(it.value) } ?: BudgetRecord()

    private fun topUp(environment: FakeEnvironment, tokens: Long, id: String) =
        environment.run("budget", "top-up", "kla", "$tokens", "--id", id)

    /**
     * Guards against a payment that counts twice or that is reported and missing, whatever answers
     * are lost and whatever routers write in between.
     */
    @Property(tries = 500, seed = "2026120404")
    fun paymentsCountOnceUnderFaults(@ForAll seed: Long) {
        val random = Random(seed)
        val environment = environment()
        val store = environment.store
        val reported = mutableSetOf<String>()
        store.race = { s ->
            if (random.nextInt(3) == 0) {
                val next = record(environment).let { it.copy(closedSpent = it.closedSpent + 1) }
                s.put(key, Json.encodeToString(BudgetRecord.serializer(), next))
            }
        }
        repeat(random.nextInt(1, 12)) {
            repeat(random.nextInt(6)) { store.faults += Fault.entries.random(random) }
            val id = "p${random.nextInt(3)}"
            if (topUp(environment, 100, id) == 0) reported += id
        }
        val paid = record(environment)
        assertTrue(paid.payments.keys.containsAll(reported))
        assertTrue(paid.payments.values.all { it == 100L })
        assertEquals(paid.payments.size * 100L, paid.paid)
    }

    /** Guards against a payment id that is used again for another payment. */
    @Test
    fun otherAmountIsAConflict() {
        val environment = environment()
        assertEquals(0, topUp(environment, 5, "p"))
        assertEquals(0, topUp(environment, 5, "p"))
        assertEquals(3, topUp(environment, 6, "p"))
        assertEquals(5, record(environment).paid)
    }

    /** Guards against a payment that is lost in the budget of a mistyped customer. */
    @Test
    fun customerWithoutContractIsRefused() {
        val environment = environment()
        assertEquals(1, environment.run("budget", "top-up", "kls", "5", "--id", "p"))
        assertEquals(1, environment.run("budget", "kls"))
        assertTrue(environment.store.transactions.isEmpty())
    }

    /** Guards against fields of a newer release that a rewrite would drop. */
    @Test
    fun recordOfANewerReleaseIsNotRewritten() {
        val environment = environment()
        environment.store.put(key, """{"payments": {}, "frozen": true}""")
        assertEquals(1, topUp(environment, 5, "p"))
        assertTrue(environment.store.transactions.isEmpty())
    }

    /** Guards against a sum of payments that overflows. */
    @Test
    fun sumOfPaymentsIsBounded() {
        val environment = environment()
        assertEquals(0, topUp(environment, (1L shl 53) - 2, "p"))
        assertEquals(1, topUp(environment, Long.MAX_VALUE, "q"))
        assertEquals(1, topUp(environment, 2, "r"))
        assertEquals(0, topUp(environment, 1, "s"))
    }

    /** Guards against a report that shows other numbers than the record holds. */
    @Test
    fun budgetIsShown() {
        val environment = environment()
        topUp(environment, 500, "p")
        val json = environment.json("budget", "kla")
        assertEquals("500", json.getValue("available").jsonPrimitive.content)
        assertEquals(0, environment.run("budget", "kla"))
        assertTrue(environment.out.any { it.startsWith("paid") && "500 in 1" in it })
        environment.store.down = true
        assertEquals(4, environment.run("budget", "kla"))
    }
}
