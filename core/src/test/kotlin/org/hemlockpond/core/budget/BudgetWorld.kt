/*
 * Simulates routers, a store and a network in virtual time from one seed. Faults are drawn at
 * random: partitions, crashes, pauses past the lease, lost store answers, writes that take effect
 * late, and messages that are lost, repeated or reordered.
 */
package org.hemlockpond.core.budget

import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

internal class BudgetWorld(
    seed: Long,
    private val faultFree: Boolean = false,
    private val settings: BudgetSettings = testSettings
) {
    private class Task(val at: Long, val order: Long, val run: () -> Unit)

    private val random = Random(seed)
    private val tasks = PriorityQueue<Task>(compareBy({ it.at }, { it.order }))
    private var order = 0L
    var time = 0L
        private set
    private val domains = List(random.nextInt(1, 4)) { FailureDomain("d$it") }
    val routers = ArrayList<Router>()
    private val store = HashMap<CustomerId, StoredRecord>()
    val reference = HashMap<CustomerId, ReferenceBudget>()
    private val loans = LoanTracker()
    private val cutFromStore = HashSet<FailureDomain>()
    private val cutPairs = HashSet<Set<FailureDomain>>()
    private val customers = List(random.nextInt(1, 3)) { CustomerId("c$it") }
    private var requests = 0
    private var incarnations = 0
    private var inBusyPhase = true
    var deaths = 0
        private set
    var reserved = 0
        private set
    var refused = 0
        private set

    fun record(customer: CustomerId): BudgetRecord = store.getValue(customer).record

    /** Runs a busy phase with faults, then restores all links, closes dead slices and drains. */
    fun run() {
        for (customer in customers) {
            store[customer] = StoredRecord()
            reference[customer] = ReferenceBudget()
            pay(customer)
        }
        repeat(random.nextInt(2, 5)) { start(domains[it % domains.size]) }
        nextRequest()
        if (!faultFree) nextFault()
        advanceTo(BUSY_MILLIS)
        inBusyPhase = false
        cutFromStore.clear()
        cutPairs.clear()
        connectionsChanged()
        routers.filter { it.paused }.forEach { resume(it) }
        advanceTo(BUSY_MILLIS + 5_000)
        routers.filter { it.alive }.forEach { deliver(it, BudgetEvent.Drain) }
        advanceTo(BUSY_MILLIS + 8_000)
        customers.forEach { checkEnd(it) }
    }

    private fun checkEnd(customer: CustomerId) {
        val record = record(customer)
        val expected = reference.getValue(customer)
        for (router in routers.filter { it.alive && !it.declaredDead }) {
            check(router.drained) { "${router.id} didn't drain" }
            check(router.id !in record.slices) { "${router.id} left its slice" }
            check(router.waiting.isEmpty()) { "${router.id} left requests without an answer" }
        }
        val charged = record.closedSpent + record.slices.values.sumOf { it.granted }
        check(charged >= expected.used) {
            "charged $charged of $customer but ${expected.used} were used"
        }
        check(charged <= expected.paid) { "charged $charged of ${expected.paid} paid by $customer" }
        check(record.paid == expected.paid) {
            "record shows ${record.paid} paid, not ${expected.paid}"
        }
        if (deaths == 0) {
            val stranded = loans.lost(customer)
            check(charged == expected.used + stranded) {
                "charged $charged of $customer, but ${expected.used} used and $stranded stranded"
            }
        }
    }

    private fun at(delay: Long, run: () -> Unit) {
        tasks += Task(time + delay, order++, run)
    }

    private fun advanceTo(end: Long) {
        while (tasks.isNotEmpty() && tasks.peek().at <= end) {
            val task = tasks.poll()
            time = task.at
            task.run()
        }
        time = end
    }

    private fun chance(percent: Int): Boolean = random.nextInt(100) < percent

    private fun fault(percent: Int): Boolean = !faultFree && chance(percent)

    private fun start(domain: FailureDomain) {
        val id = RouterId("r${incarnations++}")
        val router = Router(id, domain, BudgetHolder(id, domain, settings))
        routers += router
        connectionsChanged()
        renew(router)
        tick(router)
    }

    private fun tick(router: Router) {
        if (!router.alive) return
        if (!router.paused) deliver(router, BudgetEvent.Tick)
        at(100) { tick(router) }
    }

    private fun renew(router: Router) {
        if (!router.alive || router.declaredDead) return
        if (!router.paused && router.domain !in cutFromStore) {
            val sent = now(router)
            at(delay()) {
                if (!router.declaredDead) {
                    val renewal = time
                    router.lastRenewal = renewal
                    val lease = settings.routerLease.inWholeMilliseconds
                    at(lease) { if (router.lastRenewal == renewal && router.alive) expired(router) }
                    if (!fault(10)) {
                        at(delay()) { deliver(router, BudgetEvent.LeaseRenewed(sent)) }
                    }
                }
            }
        }
        at(500) { renew(router) }
    }

    private fun expired(router: Router) {
        if (router.drained) return
        declareDead(router)
    }

    private fun now(router: Router): Now = Now(
        (time - router.suspended).milliseconds,
        Instant.fromEpochMilliseconds(1_000_000 + time)
    )

    private fun delay(): Long = if (fault(4)) random.nextLong(20, 2_000) else random.nextLong(1, 5)

    private fun deliver(router: Router, event: BudgetEvent) {
        when {
            !router.alive -> Unit

            router.paused -> router.backlog += event

            else -> {
                val message = (event as? BudgetEvent.PeerReceived)?.message
                if (message is BudgetMessage.Loan) {
                    loans.received(message, event.from, router.id)
                }
                router.holder.handle(event, now(router)).forEach { act(router, it) }
            }
        }
    }

    private fun act(router: Router, action: BudgetAction) {
        when (action) {
            is BudgetAction.Reserved -> reserved(router, action.request)

            is BudgetAction.Refused -> refused(router, action)

            is BudgetAction.ReadRecord -> read(router, action)

            is BudgetAction.WriteRecord -> write(router, action)

            is BudgetAction.WriteMark -> error("unexpected mark: spend marks are off")

            is BudgetAction.SendToPeer -> send(router, action)

            BudgetAction.Fenced -> {
                check(router.declaredDead) { "${router.id} was fenced without being dead" }
                at(random.nextLong(0, 300)) { kill(router) }
            }

            BudgetAction.Drained -> router.drained = true
        }
    }

    private fun reserved(router: Router, request: RequestId) {
        val ask = checkNotNull(router.waiting.remove(request)) { "$request answered twice" }
        check(!router.declaredDead) { "${router.id} reserved $request after it was declared dead" }
        reference.getValue(ask.customer).reserve(ask.tokens)
        router.open[request] = ask
        reserved++
        at(random.nextLong(1, 600)) { settle(router, request, ask) }
    }

    private fun settle(router: Router, request: RequestId, ask: TestRequest) {
        if (!router.alive) return
        if (router.paused) {
            at(50) { settle(router, request, ask) }
            return
        }
        reference.getValue(ask.customer).settle(ask.tokens, ask.used)
        router.open -= request
        router.settled.merge(ask.customer, ask.used, Long::plus)
        deliver(router, BudgetEvent.Settle(request, ask.used))
    }

    private fun refused(router: Router, refusal: BudgetAction.Refused) {
        val ask = checkNotNull(router.waiting.remove(refusal.request)) { "answered twice" }
        refused++
        val expected = reference.getValue(ask.customer)
        if (refusal.kind == ErrorKind.BUDGET_EXHAUSTED) {
            noteUnreachable(ask.customer)
            val since = minOf(ask.at, time) - ANSWER_AGE_MILLIS - router.suspended
            check(expected.knownFree(since) < ask.tokens) {
                "${refusal.request} refused as exhausted, but ${expected.free} tokens were free"
            }
        } else if (faultFree && inBusyPhase) {
            check(expected.free < 2 * MAX_TOKENS) {
                "${refusal.request} of ${ask.tokens} refused with ${expected.free} of " +
                    "${expected.paid}"
            }
        }
    }

    private fun nextRequest() {
        if (!inBusyPhase) return
        val router = routers.filter { it.alive }.randomOrNull(random)
        if (router != null) {
            val tokens = random.nextLong(1, MAX_TOKENS)
            val ask =
                TestRequest(customers.random(random), tokens, random.nextLong(0, tokens + 1), time)
            val request = RequestId("q${requests++}")
            router.waiting[request] = ask
            deliver(router, BudgetEvent.Reserve(request, ask.customer, tokens))
        }
        at(random.nextLong(1, 120)) { nextRequest() }
    }

    private fun nextFault() {
        if (!inBusyPhase) return
        when (random.nextInt(9)) {
            0, 1 -> pay(customers.random(random))
            2, 3 -> cut(cutFromStore, domains.random(random))
            4, 5 -> cut(cutPairs, setOf(domains.random(random), domains.random(random)))
            6 -> routers.filter { it.alive }.randomOrNull(random)?.let { kill(it) }
            else -> routers.filter { it.alive && !it.paused }.randomOrNull(random)?.let(::pause)
        }
        at(random.nextLong(100, 2_000)) { nextFault() }
    }

    private fun pay(customer: CustomerId) {
        val tokens = if (faultFree) 3_000 else random.nextLong(200, 1_500)
        val stored = store.getValue(customer)
        val id = "p${stored.record.payments.size}"
        stored.record = stored.record.withPayment(id, tokens).withPayment(id, tokens + 1)
        stored.revision++
        reference.getValue(customer).pay(time, tokens)
    }

    private fun <T> cut(cuts: MutableSet<T>, link: T) {
        if (!cuts.add(link)) return
        connectionsChanged()
        at(random.nextLong(200, 5_000)) {
            cuts -= link
            connectionsChanged()
        }
    }

    private fun kill(router: Router) {
        if (!router.alive) return
        router.alive = false
        if (!router.declaredDead) declareDead(router)
        connectionsChanged()
        if (inBusyPhase) at(random.nextLong(100, 1_000)) { start(router.domain) }
    }

    private fun declareDead(router: Router) {
        router.declaredDead = true
        deaths++
        for (other in routers.filter { it !== router }) {
            at(random.nextLong(10, 500)) {
                val copies = if (other.domain == router.domain && chance(80)) {
                    router.copies()
                } else {
                    null
                }
                deliver(other, BudgetEvent.RouterDied(router.id, copies))
            }
        }
    }

    private fun pause(router: Router) {
        val started = time
        val suspend = chance(50)
        router.paused = true
        at(random.nextLong(50, 6_000)) {
            if (router.paused) {
                // The monotonic clock stops while the host is suspended.
                if (suspend) router.suspended += time - started
                resume(router)
            }
        }
    }

    private fun resume(router: Router) {
        router.paused = false
        val events = router.backlog.toList()
        router.backlog.clear()
        events.forEach { deliver(router, it) }
    }

    private fun linked(a: Router, b: Router): Boolean =
        a.alive && b.alive && setOf(a.domain, b.domain) !in cutPairs

    private fun connectionsChanged() {
        for (router in routers.filter { it.alive }) {
            at(random.nextLong(1, 100)) {
                val peers = routers.filter { it !== router && linked(router, it) }
                deliver(router, BudgetEvent.PeersChanged(peers.associate { it.id to it.domain }))
                deliver(router, BudgetEvent.StoreReachable(router.domain !in cutFromStore))
            }
        }
    }

    private fun send(from: Router, action: BudgetAction.SendToPeer) {
        val to = routers.first { it.id == action.to }
        val message = action.message
        if (message is BudgetMessage.Loan) {
            loans.sent(message, from.id, to.id)
        }
        if (!linked(from, to) || fault(5)) return
        repeat(if (fault(8)) 2 else 1) {
            at(delay()) { deliver(to, BudgetEvent.PeerReceived(from.id, action.message)) }
        }
    }

    private fun read(router: Router, action: BudgetAction.ReadRecord) {
        val customer = action.customer
        if (router.domain in cutFromStore || fault(4)) return
        at(delay()) {
            val stored = store.getValue(customer)
            val answer = BudgetEvent.RecordRead(
                customer,
                action.askedAt,
                stored.revision,
                stored.record
            )
            if (!fault(4)) at(delay()) { deliver(router, answer) }
        }
    }

    private fun write(router: Router, action: BudgetAction.WriteRecord) {
        var answered = false
        fun answer(outcome: WriteOutcome) {
            if (answered) return
            answered = true
            deliver(
                router,
                BudgetEvent.RecordWritten(action.customer, action.sequence, outcome)
            )
        }
        at(300) { answer(WriteOutcome.Unknown) }
        if (router.domain in cutFromStore || fault(4)) return
        val repeated = fault(4)
        at(delay()) {
            var outcome = swap(action)
            if (repeated) outcome = swap(action)
            if (!fault(8)) at(delay()) { answer(outcome) }
        }
    }

    private fun swap(action: BudgetAction.WriteRecord): WriteOutcome {
        val outcome = store.getValue(action.customer).swap(action)
        if (outcome is WriteOutcome.Applied) noteUnreachable(action.customer)
        return outcome
    }

    /** Notes the free tokens that no router can reach: lost loans and charges beyond the use. */
    private fun noteUnreachable(customer: CustomerId) {
        val record = record(customer)
        val free = reference.getValue(customer).free
        val reachable = routers.filter { !it.declaredDead || it.id in record.slices }.sumOf {
            val copy = it.copies()[customer] ?: SpendCopy(0, 0)
            loans.held(customer, it.id, record) - copy.settled - copy.reserved
        }
        reference.getValue(
            customer
        ).unreachable(time, free - reachable - maxOf(0, record.available))
    }

    private companion object {
        const val MAX_TOKENS = 60L
        const val BUSY_MILLIS = 10_000L
        const val ANSWER_AGE_MILLIS = 1_600L
    }
}
