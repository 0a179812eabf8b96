package org.hemlockpond.core.routing

import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

class MemoryShareTest {
    private val routers = mapOf(
        "r1" to "a",
        "r2" to "a",
        "r3" to "a",
        "r4" to "b",
        "r5" to "b",
        "r6" to "c"
    )

    /** Guards against routers that together exceed an endpoint's memory, connected or not. */
    @Property(tries = 60, seed = "20261204")
    fun endpointIsNeverFilledPastItsMemory(
        @ForAll @LongRange(min = 1, max = 1_000_000) seed: Long
    ) {
        val random = Random(seed)
        val endpoints = fleet(endpoint("e1", "a", 60_000), endpoint("e2", "b", 40_000))
        val bed = RoutingBed(routers, endpoints, seed = seed, loss = 0.3)
        bed.serviceTime = { (100 + it.promptTokens).milliseconds }
        // Partitions change, so routers connect, lend memory and lose the connection again.
        if (random.nextBoolean()) bed.introduce()
        var cut = random.nextInt(8)
        bed.connected = { a, b -> (a.hashCode() xor b.hashCode()) and 7 != cut and 7 }
        var count = 0
        repeat(60) {
            if (random.nextInt(10) == 0) cut = random.nextInt(8)
            if (random.nextInt(10) == 0) bed.introduce()
            repeat(random.nextInt(12)) {
                val router = routers.keys.elementAt(random.nextInt(routers.size))
                val prompt = if (random.nextInt(4) == 0) 6_000L + random.nextInt(6_000) else 300L
                bed.submit(router, request("q${count++}", prompt))
            }
            bed.advance(100.milliseconds)
        }
        for (box in bed.boxes.values) {
            assertTrue(box.highest <= box.config.memoryTokens, "seed $seed: ${box.highest}")
            assertEquals(0, box.crashes)
        }
    }

    /** Guards against requests larger than one router's share that are refused in an idle fleet. */
    @Test
    fun unusedPartsAreLentForALargeRequest() {
        val bed = RoutingBed(routers.filterValues { it == "a" }, fleet(endpoint("e1")))
        bed.introduce()
        bed.submit("r1", request("large", prompt = 60_000))
        bed.advance(2.seconds)
        assertEquals(listOf(RequestId("large")), bed.completed.toList())
        // The loan has been returned, so another router can borrow the memory.
        bed.advance(2.seconds)
        bed.submit("r2", request("next", prompt = 60_000))
        bed.advance(2.seconds)
        assertEquals(2, bed.completed.size)
    }

    /** Guards against loans that are counted twice when messages are repeated or reordered. */
    @Test
    fun repeatedAndReorderedLoansCountOnce() {
        val lender = MemoryShare().apply { base = 100 }
        val borrower = MemoryShare().apply { base = 100 }
        val (a, b) = RouterId("a") to RouterId("b")
        val first = lender.lend(b, 10)
        val second = lender.lend(b, 20)
        for (total in listOf(second, first, second)) borrower.receiveLoan(a, total)
        assertEquals(130, borrower.limit)
        val half = borrower.returnLoans(15).getValue(a)
        val all = borrower.returnLoans(15).getValue(a)
        for (total in listOf(all, half, all)) lender.receiveReturn(b, total)
        assertEquals(100, lender.limit)
        assertEquals(100, borrower.limit)
    }

    /** Guards against loans that remain after the lender or the borrower has died. */
    @Test
    fun deathOfEitherRouterEndsALoan() {
        val share = MemoryShare().apply { base = 100 }
        share.lend(RouterId("b"), 40)
        share.receiveLoan(RouterId("c"), 30)
        assertEquals(90, share.limit)
        share.removeRouter(RouterId("b"))
        share.removeRouter(RouterId("c"))
        assertEquals(100, share.limit)
    }
}
