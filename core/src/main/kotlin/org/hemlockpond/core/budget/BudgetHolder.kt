/*
 * Spends from the slices that one router holds, and keeps the slices in step with demand.
 *
 * Every change of a record follows the same path: a read, a decision on that read alone, and a
 * compare-and-swap on its revision. At most one read and one write of a record are awaited.
 */
package org.hemlockpond.core.budget

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** The budget component of the router [self], which runs in [domain]. */
class BudgetHolder(
    private val self: RouterId,
    domain: FailureDomain,
    private val settings: BudgetSettings = BudgetSettings()
) {
    private class Reservation(val account: Account, val tokens: Long)

    private val actions = ArrayList<BudgetAction>()
    private val accounts = HashMap<CustomerId, Account>()
    private val reservations = HashMap<RequestId, Reservation>()
    private val timers = AccountTimers()
    private val lease = Lease(settings)
    private val placement = Placement(self, domain, settings)
    private val sliceWriter = SliceWriter(self, domain, settings, placement)
    private val coverage = Coverage(self, settings)
    private val dead = DeadRouters(settings)
    private val marks = settings.marks?.let { SpendMarks(it) }
    private val lending = Lending(domain, settings, placement) { to, message ->
        actions += BudgetAction.SendToPeer(to, message)
    }
    private var storeReachable = true
    private var fenced = false
    private var draining = false
    private var drained = false
    private var now = Now(Duration.ZERO, kotlin.time.Instant.DISTANT_PAST)
    private val time: Duration get() = now.elapsed

    /** Applies [event] and returns what the router has to do, in order. */
    fun handle(event: BudgetEvent, now: Now): List<BudgetAction> {
        this.now = now
        when (event) {
            is BudgetEvent.Reserve -> reserve(event)
            is BudgetEvent.Expect -> expect(event.customer)
            is BudgetEvent.Settle -> settle(event)
            is BudgetEvent.Credit -> credit(event)
            is BudgetEvent.RecordRead -> recordRead(event)
            is BudgetEvent.RecordWritten -> recordWritten(event)
            is BudgetEvent.MarkWritten -> markWritten(event)
            is BudgetEvent.RunEnded -> runEnded(event)
            is BudgetEvent.StoreReachable -> reachable(event.reachable)
            is BudgetEvent.LeaseRenewed -> lease.renewed(event.sent)
            is BudgetEvent.PeerReceived -> peerReceived(event.from, event.message)
            is BudgetEvent.PeersChanged -> peersChanged(event.routers)
            is BudgetEvent.RouterDied -> routerDied(event)
            BudgetEvent.Tick -> tick()
            BudgetEvent.Drain -> drain()
        }
        return actions.toList().also { actions.clear() }
    }

    /** The routers that hold a slice in a record that this router has read. */
    fun holders(): Set<RouterId> = accounts.values.flatMapTo(HashSet()) { it.record.slices.keys }

    /** What decides about requests of [customer] now. */
    fun state(customer: CustomerId): BudgetState = account(customer).let {
        BudgetState(
            free = it.free,
            allowed = allowed(it, time),
            recorded = it.record.available,
            recordAge = time - it.knownAt
        )
    }

    private fun account(customer: CustomerId): Account =
        accounts.getOrPut(customer) { Account(customer, self, settings, time) }

    private fun maySpend(): Boolean = !fenced && !draining && lease.held(now)

    private fun reserve(event: BudgetEvent.Reserve) {
        require(event.tokens >= 0) { "request ${event.request} reserves ${event.tokens} tokens" }
        if (event.request in reservations) {
            actions += BudgetAction.Reserved(event.request)
            return
        }
        if (fenced || draining) {
            actions += BudgetAction.Refused(event.request, ErrorKind.ROUTER_STOPPING)
            return
        }
        val account = account(event.customer)
        if (account.waiting.any { it.request == event.request }) return
        // Without the store no tokens can come, but a mark allows more as time passes.
        val hopeless = settings.peerless && !storeReachable &&
            event.tokens > allowed(account, time + settings.grantWait)
        val wait = if (hopeless) Duration.ZERO else settings.grantWait
        account.waiting += Waiter(event.request, event.tokens, time, time + wait)
        work(account)
    }

    private fun expect(customer: CustomerId) {
        val account = account(customer)
        if (account.knownAt > -Duration.INFINITE) return
        account.mustRead = true
        work(account)
    }

    private fun settle(event: BudgetEvent.Settle) {
        val reservation = reservations.remove(event.request)
        if (reservation == null) {
            accounts.values.forEach { account ->
                account.waiting.removeIf { it.request == event.request }
            }
            return
        }
        val account = reservation.account
        val used = event.used.coerceIn(0, reservation.tokens)
        account.reserved -= reservation.tokens
        account.spent += used
        account.demand.add(used, time)
        work(account)
        checkDrained()
    }

    private fun credit(event: BudgetEvent.Credit) {
        require(event.tokens >= 0) { "a credit of ${event.tokens} tokens" }
        val account = account(event.customer)
        account.spent -= event.tokens
        work(account)
    }

    private fun recordRead(event: BudgetEvent.RecordRead) {
        val account = accounts[event.customer] ?: return
        account.readAnswered(event.asked)
        when (account.observe(event.revision, event.record, event.asOf)) {
            Observation.STALE -> account.mustRead = true

            Observation.FENCED -> fence()

            Observation.CURRENT -> {
                account.mustRead = false
                decide(account)
            }
        }
        work(account)
        checkDrained()
    }

    private fun recordWritten(event: BudgetEvent.RecordWritten) {
        val account = accounts[event.customer] ?: return
        account.written(event.sequence, event.outcome)
        lending.release(account, maySpend())
        work(account)
        checkDrained()
    }

    private fun markWritten(event: BudgetEvent.MarkWritten) {
        marks?.written(event.sequence, event.applied)
        accounts.values.filter { it.waiting.isNotEmpty() }.forEach { work(it) }
    }

    private fun runEnded(event: BudgetEvent.RunEnded) {
        if (event.router == self) return
        dead.ended(event.router, event.usedAtMost, time)
        for (account in accounts.values) {
            if (event.router !in account.record.slices) continue
            account.mustRead = true
            work(account)
        }
    }

    private fun reachable(reachable: Boolean) {
        storeReachable = reachable
        if (reachable) accounts.values.forEach { work(it) }
    }

    private fun peerReceived(from: RouterId, message: BudgetMessage) {
        when (message) {
            is BudgetMessage.LoanRequest -> {
                val account = accounts[message.customer]
                if (account == null) {
                    send(from, BudgetMessage.Loan(message.customer, 0))
                } else {
                    lending.lend(account, from, message, maySpend(), time)
                    work(account)
                }
            }

            is BudgetMessage.Loan -> {
                val account = accounts[message.customer] ?: return
                lending.receive(account, from, message)
                work(account)
            }

            is BudgetMessage.LentTotals -> if (dead.note(from, message)) {
                send(from, BudgetMessage.LentTotalsNoted(message.totals, message.complete))
            }

            is BudgetMessage.LentTotalsNoted -> {
                lending.noted(from, message)
                message.totals.keys.forEach { customer ->
                    accounts[customer]?.let { lending.release(it, maySpend()) }
                }
            }
        }
    }

    private fun peersChanged(routers: Map<RouterId, FailureDomain>) {
        placement.peers = (routers - self).size
        lending.peersChanged(routers - self, time)
    }

    private fun routerDied(event: BudgetEvent.RouterDied) {
        if (event.router == self) return
        dead.died(event.router, event.copies, time)
        lending.died(event.router)
        event.copies?.keys?.forEach { account(it) }
        for (account in accounts.values) {
            val known = event.router in account.record.slices
            if (known || event.copies?.containsKey(account.customer) == true) {
                account.mustRead = true
                work(account)
            }
            lending.release(account, maySpend())
        }
    }

    private fun tick() {
        lending.tick(time)
        mark(urgent = false)
        while (true) work(timers.takeDue(time) ?: break)
        checkDrained()
    }

    private fun drain() {
        draining = true
        for (account in accounts.values) {
            refuse(account, account.waiting.toList(), ErrorKind.ROUTER_STOPPING)
            lending.cancel(account)
            account.mustRead = true
            work(account)
        }
        checkDrained()
    }

    private fun fence() {
        if (fenced) return
        fenced = true
        for (account in accounts.values) {
            refuse(account, account.waiting.toList(), ErrorKind.ROUTER_STOPPING)
        }
        actions += BudgetAction.Fenced
    }

    /** Does everything that can be done for [account] now, and sets its timer. */
    private fun work(account: Account) {
        serve(account)
        if (heldByMark(account)) mark(urgent = true)
        expire(account)
        account.expireCalls(time, settings.storeTimeout)
        if (readDue(account)) {
            account.reading = time
            account.lastRead = time
            actions += BudgetAction.ReadRecord(account.customer, asked = time)
        }
        if (account.shortage > 0 && maySpend() && !probablyStored(account)) {
            lending.ask(account, time)
        }
        setTimer(account)
    }

    /** Tokens of the slice that may be reserved [at] a time. */
    private fun allowed(account: Account, at: Duration): Long =
        minOf(account.free, marks?.allowance(account, at) ?: Long.MAX_VALUE)

    private fun mark(urgent: Boolean) {
        if (marks == null || !storeReachable || fenced) return
        if (marks.due(urgent, time)) marks.next(accounts.values, time)?.let { actions += it }
    }

    /** Only the last mark keeps a request waiting that the slice covers. */
    private fun heldByMark(account: Account): Boolean =
        account.waiting.any { it.tokens <= account.free }

    private fun serve(account: Account) {
        if (account.waiting.isEmpty() || !maySpend()) return
        val waiters = account.waiting.iterator()
        while (waiters.hasNext()) {
            val waiter = waiters.next()
            if (waiter.tokens > allowed(account, time)) continue
            waiters.remove()
            account.reserved += waiter.tokens
            reservations[waiter.request] = Reservation(account, waiter.tokens)
            actions += BudgetAction.Reserved(waiter.request)
        }
    }

    /** Refuses the requests that the whole budget doesn't cover and those that waited too long. */
    private fun expire(account: Account) {
        if (account.waiting.isEmpty()) return
        val exhausted = account.waiting.filter { coverage.exhausted(account, it) }
        refuse(account, exhausted, ErrorKind.BUDGET_EXHAUSTED)
        val late = account.waiting.filter {
            it.deadline <= time || coverage.unavailable(account, it)
        }
        refuse(account, late, ErrorKind.BUDGET_UNREACHABLE)
    }

    private fun refuse(account: Account, waiters: List<Waiter>, kind: ErrorKind) {
        if (waiters.isEmpty()) return
        account.waiting.removeAll(waiters)
        for (waiter in waiters) {
            account.demand.add(waiter.tokens, time)
            actions += BudgetAction.Refused(waiter.request, kind)
        }
    }

    private fun probablyStored(account: Account): Boolean =
        storeReachable && coverage.probablyStored(account, time)

    private fun readDue(account: Account): Boolean {
        if (!storeReachable || account.reading != null || account.writing != null) return false
        if (fenced || account.returned) return false
        if (account.mustRead) return true
        val age = time - account.lastRead
        return when {
            draining -> age >= settings.readInterval
            account.waiting.any { it.tokens <= account.remaining } -> age >= settings.readInterval
            lease.held(now) && dead.closable(account.record, time) -> age >= settings.readInterval
            age < settings.knownFor -> false
            account.waiting.isNotEmpty() -> true
            account.record.available > 0 && placement.low(account, time) -> true
            else -> sliceWriter.reportDue(account, time)
        }
    }

    private fun decide(account: Account) {
        if (fenced || account.writing != null || !lease.held(now)) return
        val closed = dead.close(account.customer, account.record, time)
        val change = sliceWriter.change(account, closed, draining, time)
        if (change.record == account.record) return
        val write = account.write(change.record, change.removal, time)
        actions += BudgetAction.WriteRecord(
            account.customer,
            write.expectedRevision,
            write.record,
            write.sequence
        )
    }

    private fun checkDrained() {
        if (!draining || drained || fenced) return
        drained = accounts.values.all { it.returned || sliceWriter.nothingToReturn(it) }
        if (drained) actions += BudgetAction.Drained
    }

    private fun setTimer(account: Account) {
        val wish = when {
            account.returned || fenced -> null
            account.waiting.isNotEmpty() || account.mustRead || draining -> time + SOON
            account.reading != null || account.writing != null -> time + SOON
            dead.present(account.record) -> time + settings.knownFor
            else -> sliceWriter.nextReport(account, time)
        }
        // A timer that isn't in the future would fire again within the same tick.
        if (wish != null) timers.set(account, maxOf(wish, time + SOON), time)
    }

    private fun send(to: RouterId, message: BudgetMessage) {
        actions += BudgetAction.SendToPeer(to, message)
    }

    private companion object {
        // Any later tick will do.
        val SOON = 1.milliseconds
    }
}
