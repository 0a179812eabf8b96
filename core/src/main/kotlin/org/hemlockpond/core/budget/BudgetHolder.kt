/*
 * Reserves tokens from the slices of one router and adjusts the slices to demand.
 *
 * Every change of a record is computed from one read and written by compare-and-swap on the
 * revision of that read. At most one read and one write of a record are pending.
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
    private val sizing = SliceSizing(self, domain, settings)
    private val sliceWriter = SliceWriter(self, domain, settings, sizing)
    private val coverage = Coverage(self, settings, sizing)
    private val deadRouters = DeadRouters(settings)
    private val eraHold = EraHold(settings.restoreTime)
    private val spendMarks = settings.spendMarks?.let {
        SpendMarks(it, sizing::demandOver)
    }
    private val lending = Lending(domain, settings, sizing) { to, message ->
        actions += BudgetAction.SendToPeer(to, message)
    }
    private var storeReachable = true
    private var fenced = false
    private var draining = false
    private var drained = false
    private var now = Now(Duration.ZERO, kotlin.time.Instant.DISTANT_PAST)
    private val time: Duration get() = now.elapsed

    /** Applies [event] and returns the actions that the router has to take, in order. */
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
            is BudgetEvent.StoreReachable -> onStoreReachable(event.reachable)
            is BudgetEvent.StoreEra -> storeEra(event.era)
            is BudgetEvent.LeaseRenewed -> lease.onRenewed(event.sentAt)
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

    /** The current state of the budget of [customer] at this router. */
    fun state(customer: CustomerId): BudgetState = account(customer).let {
        BudgetState(
            free = it.free,
            spendable = spendable(it, time),
            availableInRecord = it.record.available,
            recordAge = time - it.recordAsOf,
            reserved = it.reserved,
            paid = it.record.paid,
            charged = it.record.closedSpent,
            freeElsewhere = it.record.slices.entries.sumOf { (holder, slice) ->
                if (holder == self) 0 else slice.free
            }
        )
    }

    private fun account(customer: CustomerId): Account = accounts.getOrPut(customer) {
        Account(customer, self, settings, time).also { eraHold.begin(it) }
    }

    private fun maySpend(): Boolean = !fenced && !draining && lease.isHeld(now)

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
        if (event.sliceOnly) {
            reserveFromSlice(event)
            return
        }
        val account = account(event.customer)
        account.want(time)
        account.requested(event.tokens)
        if (account.waiting.any { it.request == event.request }) return
        // During a store outage the slice can't grow, but a mark allows more as time passes.
        val cannotBeCovered = settings.hasNoPeers && !storeReachable &&
            event.tokens > spendable(account, time + settings.grantWait)
        val wait = if (cannotBeCovered) Duration.ZERO else settings.grantWait
        account.waiting += Waiter(event.request, event.tokens, time, time + wait)
        process(account)
    }

    /** Serves another domain's request, which has been counted as demand there. */
    private fun reserveFromSlice(event: BudgetEvent.Reserve) {
        val account = accounts[event.customer]
        val isCovered = account != null && maySpend() && event.tokens <=
            (if (storeReachable) account.free else spendable(account, time))
        if (account == null || !isCovered) {
            actions += BudgetAction.Refused(event.request, ErrorKind.BUDGET_UNREACHABLE)
            return
        }
        if (account.waiting.any { it.request == event.request }) return
        account.requested(event.tokens)
        val deadline = time + settings.grantWait
        account.waiting += Waiter(event.request, event.tokens, time, deadline, sliceOnly = true)
        process(account)
    }

    /** The routers whose slices have at least [tokens] of [customer] left, the largest first. */
    fun holdersWith(customer: CustomerId, tokens: Long): List<RouterId> {
        val slices = accounts[customer]?.record?.slices ?: return emptyList()
        return slices.entries.filter { it.key != self && it.value.free >= maxOf(1, tokens) }
            .sortedByDescending { it.value.free }
            .map { it.key }
    }

    private fun expect(customer: CustomerId) {
        val account = account(customer)
        val isNew = account.want(time)
        if (!isNew && account.recordAsOf > -Duration.INFINITE) return
        account.mustRead = true
        process(account)
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
        process(account)
        checkDrained()
    }

    private fun credit(event: BudgetEvent.Credit) {
        require(event.tokens >= 0) { "a credit of ${event.tokens} tokens" }
        val account = account(event.customer)
        account.spent -= event.tokens
        process(account)
    }

    private fun recordRead(event: BudgetEvent.RecordRead) {
        val account = accounts[event.customer] ?: return
        account.readAnswered(event.askedAt)
        if (account.recordAsOf == -Duration.INFINITE) {
            eraHold.firstRead(account, event.revision, event.record, time)
        }
        when (account.applyRead(event.revision, event.record, event.asOf)) {
            Observation.STALE -> account.mustRead = true

            Observation.FENCED -> fence()

            Observation.CURRENT -> {
                account.mustRead = false
                writeChanges(account)
            }
        }
        process(account)
        checkDrained()
    }

    private fun recordWritten(event: BudgetEvent.RecordWritten) {
        val account = accounts[event.customer] ?: return
        account.applyWriteOutcome(event.sequence, event.outcome)
        lending.sendCovered(account, maySpend())
        process(account)
        checkDrained()
    }

    private fun markWritten(event: BudgetEvent.MarkWritten) {
        spendMarks?.onWritten(event.sequence, event.applied)
        accounts.values.filter { it.waiting.isNotEmpty() }.forEach { process(it) }
    }

    private fun runEnded(event: BudgetEvent.RunEnded) {
        if (event.router == self) return
        deadRouters.onRunEnded(event.router, event.usedAtMost, time)
        event.usedAtMost.keys.forEach { account(it) }
        for (account in accounts.values) {
            val mayHaveSlice = account.customer in event.usedAtMost
            if (!mayHaveSlice && event.router !in account.record.slices) continue
            account.mustRead = true
            process(account)
        }
    }

    private fun storeEra(era: Long) {
        if (!eraHold.eraSeen(era, time)) return
        for (account in accounts.values) {
            eraHold.begin(account)
            account.mustRead = true
            process(account)
        }
    }

    private fun onStoreReachable(reachable: Boolean) {
        val hasReturned = reachable && !storeReachable
        storeReachable = reachable
        if (hasReturned) accounts.values.forEach { it.settlingSince = time }
        if (reachable) accounts.values.forEach { process(it) }
    }

    private fun peerReceived(from: RouterId, message: BudgetMessage) {
        when (message) {
            is BudgetMessage.LoanRequest -> {
                val account = accounts[message.customer]
                if (account == null) {
                    send(from, BudgetMessage.Loan(message.customer, 0))
                } else {
                    lending.lend(account, from, message, maySpend(), time)
                    process(account)
                }
            }

            is BudgetMessage.Loan -> {
                val account = accounts[message.customer] ?: return
                lending.receive(account, from, message)
                process(account)
            }

            is BudgetMessage.LentTotals -> if (deadRouters.recordLentTotals(from, message)) {
                send(from, BudgetMessage.LentTotalsNoted(message.totals, message.complete))
            }

            is BudgetMessage.LentTotalsNoted -> {
                lending.onTotalsConfirmed(from, message)
                message.totals.keys.forEach { customer ->
                    accounts[customer]?.let { lending.sendCovered(it, maySpend()) }
                }
            }
        }
    }

    private fun peersChanged(routers: Map<RouterId, FailureDomain>) {
        sizing.reachablePeers = (routers - self).size
        lending.peersChanged(routers - self, time)
    }

    private fun routerDied(event: BudgetEvent.RouterDied) {
        if (event.router == self) return
        deadRouters.onRouterDied(event.router, event.copies, time)
        lending.onRouterDied(event.router)
        event.copies?.keys?.forEach { account(it) }
        for (account in accounts.values) {
            val known = event.router in account.record.slices
            if (known || event.copies?.containsKey(account.customer) == true) {
                account.mustRead = true
                process(account)
            }
            lending.sendCovered(account, maySpend())
        }
    }

    private fun tick() {
        lending.tick(time)
        writeMarkIfDue(urgent = false)
        while (true) process(timers.takeDue(time) ?: break)
        checkDrained()
    }

    private fun drain() {
        draining = true
        for (account in accounts.values) {
            refuse(account, account.waiting.toList(), ErrorKind.ROUTER_STOPPING)
            lending.cancel(account)
            account.mustRead = true
            process(account)
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

    /** Serves waiting requests, starts the calls that are due for [account] and sets its timer. */
    private fun process(account: Account) {
        reserveForWaiting(account)
        if (isLimitedByMark(account)) writeMarkIfDue(urgent = true)
        refuseExpired(account)
        account.expireStoreCalls(time, settings.storeTimeout)
        eraHold.resume(account, time)
        if (readDue(account)) {
            account.pendingReadSentAt = time
            account.lastReadAt = time
            actions += BudgetAction.ReadRecord(account.customer, askedAt = time)
        }
        if (account.shortage > 0 && maySpend() && !recordLikelyCoversShortage(account)) {
            lending.requestLoan(account, time)
        }
        setTimer(account)
    }

    /** Tokens of the slice that may be reserved at time [at]. */
    private fun spendable(account: Account, at: Duration): Long =
        minOf(account.free, spendMarks?.allowance(account, at) ?: Long.MAX_VALUE)

    private fun writeMarkIfDue(urgent: Boolean) {
        if (spendMarks == null || !storeReachable || fenced) return
        if (spendMarks.isDue(urgent, time)) {
            spendMarks.createNext(accounts.values, time)?.let {
                actions +=
                    it
            }
        }
    }

    /**
     * Whether a request waits that the slice covers. Then only a spend mark delays it, or the
     * router may not spend, for example because it holds no lease.
     */
    private fun isLimitedByMark(account: Account): Boolean =
        account.waiting.any { it.tokens <= account.free }

    private fun reserveForWaiting(account: Account) {
        if (account.waiting.isEmpty() || !maySpend()) return
        val waiters = account.waiting.iterator()
        while (waiters.hasNext()) {
            val waiter = waiters.next()
            if (waiter.tokens > spendable(account, time)) continue
            waiters.remove()
            account.reserved += waiter.tokens
            reservations[waiter.request] = Reservation(account, waiter.tokens)
            actions += BudgetAction.Reserved(waiter.request)
        }
    }

    /** Refuses waiting requests that can't be covered or that reached their deadline. */
    private fun refuseExpired(account: Account) {
        if (account.waiting.isEmpty()) return
        val exhausted = account.waiting.filter { coverage.isExhausted(account, it) }
        refuse(account, exhausted, ErrorKind.BUDGET_EXHAUSTED)
        val late = account.waiting.filter {
            it.deadline <= time || coverage.isUnreachable(account, it) ||
                (it.sliceOnly && it.tokens > account.free)
        }
        refuse(account, late, ErrorKind.BUDGET_UNREACHABLE)
    }

    private fun refuse(account: Account, waiters: List<Waiter>, kind: ErrorKind) {
        if (waiters.isEmpty()) return
        account.waiting.removeAll(waiters)
        for (waiter in waiters) {
            if (!waiter.sliceOnly) account.demand.add(waiter.tokens, time)
            actions += BudgetAction.Refused(waiter.request, kind)
        }
    }

    private fun recordLikelyCoversShortage(account: Account): Boolean =
        storeReachable && coverage.recordLikelyCoversShortage(account, time)

    private fun readDue(account: Account): Boolean {
        if (!storeReachable || account.pendingReadSentAt != null ||
            account.pendingWrite != null
        ) {
            return false
        }
        if (fenced || account.isReturned) return false
        if (account.mustRead) return true
        if (eraHold.isHeld(account, time) && !draining) return false
        val age = time - account.lastReadAt
        return when {
            draining -> age >= settings.minReadInterval

            account.waitingForGrant.any { it.tokens <= account.remaining } ->
                age >=
                    settings.minReadInterval

            lease.isHeld(now) && deadRouters.hasClosableSlice(account.record, time) ->
                age >=
                    settings.minReadInterval

            age < settings.answerTtl -> false

            account.waitingForGrant.isNotEmpty() -> true

            account.record.available > 0 && sizing.isLow(account, time) -> true

            else -> sliceWriter.reportDue(account, time)
        }
    }

    private fun writeChanges(account: Account) {
        if (fenced || account.pendingWrite != null || !lease.isHeld(now)) return
        val isHeld = eraHold.isHeld(account, time)
        val closed = if (isHeld) {
            account.record
        } else {
            deadRouters.closeSlices(account.customer, account.record, time)
        }
        val change = if (isHeld && !draining) {
            RecordChange(closed, removesSlice = false)
        } else {
            sliceWriter.change(account, closed, draining, time)
        }
        if (change.record == account.storedRecord) return
        val write = account.registerWrite(change.record, change.removesSlice, time)
        actions += BudgetAction.WriteRecord(
            account.customer,
            write.expectedRevision,
            write.record,
            write.sequence
        )
    }

    private fun checkDrained() {
        if (!draining || drained || fenced) return
        drained = accounts.values.all { it.isReturned || sliceWriter.nothingToReturn(it) }
        if (drained) actions += BudgetAction.Drained
    }

    private fun setTimer(account: Account) {
        val dueAt = when {
            account.isReturned || fenced -> null

            account.waiting.isNotEmpty() || account.mustRead || draining -> time + MIN_TIMER_DELAY

            account.pendingReadSentAt != null || account.pendingWrite != null ->
                time +
                    MIN_TIMER_DELAY

            account.readsAfterHold -> account.heldUntil

            deadRouters.hasDeadSlice(account.record) -> time + settings.answerTtl

            else -> sliceWriter.nextReport(account, time)
        }
        // A timer that isn't in the future would fire again in the same tick.
        if (dueAt != null) timers.set(account, maxOf(dueAt, time + MIN_TIMER_DELAY), time)
    }

    private fun send(to: RouterId, message: BudgetMessage) {
        actions += BudgetAction.SendToPeer(to, message)
    }

    private companion object {
        // Any delay above zero moves a timer to a later tick.
        val MIN_TIMER_DELAY = 1.milliseconds
    }
}
