package org.hemlockpond.core.budget

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** Replays a session of two routers: grants, a loan, a top-up, a crash, slice closing and drain. */
class BudgetSessionTest {
    private val customer = CustomerId("lantern-works")
    private val domain = FailureDomain("domain-a")
    private val holders = listOf("router-1", "router-2").map { RouterId(it) }
        .associateWith { BudgetHolder(it, domain) }
    private val alive = holders.keys.toMutableSet()
    private val lines = ArrayList<String>()
    private var now = Now(Duration.ZERO, Instant.fromEpochSeconds(1_000))
    private var revision = 0L
    private var record = BudgetRecord()

    private fun deliver(router: RouterId, event: BudgetEvent) {
        if (router !in alive) return
        for (action in holders.getValue(router).handle(event, now)) act(router, action)
    }

    private fun act(router: RouterId, action: BudgetAction) {
        when (action) {
            is BudgetAction.ReadRecord ->
                deliver(router, BudgetEvent.RecordRead(customer, action.askedAt, revision, record))

            is BudgetAction.WriteRecord -> {
                assertEquals(revision, action.expectedRevision)
                record = action.record
                revision++
                log(router, "write", Json.encodeToString(BudgetRecord.serializer(), record))
                val applied = WriteOutcome.Applied(revision)
                deliver(router, BudgetEvent.RecordWritten(customer, action.sequence, applied))
            }

            is BudgetAction.SendToPeer -> {
                val text = Json.encodeToString(BudgetMessage.serializer(), action.message)
                log(router, "to ${action.to}", text)
                deliver(action.to, BudgetEvent.PeerReceived(router, action.message))
            }

            else -> log(router, "action", "\"$action\"")
        }
    }

    private fun log(router: RouterId, what: String, json: String) {
        lines += buildJsonObject {
            put("at", now.elapsed.inWholeMilliseconds)
            put("router", router.value)
            put(what, Json.parseToJsonElement(json))
        }.toString()
    }

    private fun tickUntil(end: Duration) {
        while (now.elapsed < end) {
            now += 50.milliseconds
            alive.toList().forEach { deliver(it, BudgetEvent.Tick) }
        }
    }

    private fun reserve(router: RouterId, request: String, tokens: Long) =
        deliver(router, BudgetEvent.Reserve(RequestId(request), customer, tokens))

    /** Guards against unintended changes of stored records, messages and decisions. */
    @Test
    fun sessionMatchesGoldenFile() {
        val (first, second) = holders.keys.toList()
        record = record.withPayment("payment-1", 1_000)
        revision++
        for (router in holders.keys) {
            deliver(router, BudgetEvent.LeaseRenewed(now))
            deliver(
                router,
                BudgetEvent.PeersChanged(
                    (holders.keys - router).associateWith {
                        domain
                    }
                )
            )
        }
        reserve(first, "request-1", 100)
        reserve(second, "request-2", 40)
        tickUntil(1.seconds)
        deliver(first, BudgetEvent.Settle(RequestId("request-1"), 80))
        deliver(second, BudgetEvent.StoreReachable(false))
        reserve(second, "request-3", 600)
        tickUntil(12.seconds)
        deliver(second, BudgetEvent.StoreReachable(true))
        record = record.withPayment("payment-2", 5_000)
        revision++
        reserve(second, "request-4", 600)
        tickUntil(25.seconds)
        alive -= second
        val copies = mapOf(customer to SpendCopy(settled = 0, reserved = 640))
        deliver(first, BudgetEvent.RouterDied(second, copies))
        tickUntil(30.seconds)
        deliver(first, BudgetEvent.Drain)
        tickUntil(32.seconds)
        val actual = lines.joinToString("\n", postfix = "\n")
        File("target/budget-session.jsonl").writeText(actual)
        val golden = checkNotNull(javaClass.getResource("budget-session.jsonl")) {
            "no golden file; review target/budget-session.jsonl and copy it to the test resources"
        }
        assertEquals(golden.readText(), actual)
    }
}
