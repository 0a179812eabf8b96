/*
 * Lets the entry hosts of a failure domain share slices of the prepaid budgets.
 *
 * In a fleet of a hundred hosts, a slice for each host and customer covers no single large request,
 * and the slices' writes conflict. So one host in each failure domain, the customer's home, holds the
 * slice for its domain, and the others ask it to reserve tokens for each request. Hosts hear each
 * other while they have lost the store.
 *
 * A home charges a reservation in full unless it is told the use in time, so lost messages and lost
 * hosts never let a customer spend more than it paid. A host that gets no answer passes its home over,
 * asks the next one and finally uses a slice of its own. A home that has lost the store and has too few
 * tokens says so, and the next one is asked, which may still reach the store.
 *
 * If the domain lacks the tokens, they are reserved at a home of another domain (RemoteHomes), in the
 * slice that it holds; nobody calls the store for it.
 */
package org.hemlockpond.core.entry

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** @param random draws the first number of this run's asks, so that those of an earlier run differ */
class TokenBroker(
    private val self: HostName,
    private val settings: TokenBrokerSettings = TokenBrokerSettings(),
    random: Random = Random.Default
) {
    /** A reservation that this host needs; [home] is null while its own slice is asked. */
    private class Wanted(
        val request: RequestId,
        val customer: CustomerId,
        val tokens: Long,
        val neededUntil: Duration
    ) {
        var ask = 0L
        var home: HostName? = null
        val asked = HashSet<HostName>(1)
        var sends = 0
        var sentAt = Duration.ZERO
        var isReserved = false

        /** The search in other domains; null while the own domain is asked. */
        var search: RemoteSearch? = null
    }

    /** A use that a home hasn't confirmed. */
    private class Report(
        val home: HostName,
        val used: Long,
        val until: Duration,
        var sentAt: Duration
    )

    private data class HeldKey(val from: RouterId, val ask: Long)

    /** A reservation that this host holds for another one. */
    private class Held(val to: HostName, val tokens: Long, var until: Duration) {
        var isReserved = false
    }

    private val homes = TokenHomes(self, settings)
    private val remotes = RemoteHomes(settings)
    private val wanted = LinkedHashMap<RequestId, Wanted>()
    private val byAsk = HashMap<Long, Wanted>()
    private val reports = LinkedHashMap<Long, Report>()
    private val held = LinkedHashMap<HeldKey, Held>()
    private val heldByKey = HashMap<RequestId, HeldKey>()

    /** Reservations that have ended, with the time until which their messages may still arrive. */
    private val ended = LinkedHashMap<HeldKey, Duration>()
    private var lastAsk = random.nextLong()
    private var draining = false
    private val actions = ArrayList<TokenAction>()

    /** The other hosts of the failure domain that are known. */
    val hosts: Set<HostName> get() = homes.hosts

    /** What was asked of other failure domains. */
    val remoteCounts = RemoteCounts()

    /** The number of reservations that this host holds for others. */
    val heldCount: Int get() = held.size

    /** Adds a host of the failure domain; returns whether it is new. */
    fun hostFound(host: HostName): Boolean = homes.add(host)

    /** Adds a host of another failure domain; returns whether it is new. */
    fun remoteHostFound(host: HostName, domain: FailureDomain): Boolean =
        host !in homes.hosts && host != self && remotes.add(host, domain)

    fun isHome(customer: CustomerId, now: Duration): Boolean = homes.isHome(customer, now)

    /**
     * [request] needs up to [tokens], for no longer than [limit]. Answered by one
     * [TokenAction.Reserved] or [TokenAction.Refused].
     */
    fun reserve(
        request: RequestId,
        customer: CustomerId,
        tokens: Long,
        limit: Duration,
        now: Duration
    ): List<TokenAction> = collect {
        val next = Wanted(request, customer, tokens, now + limit)
        wanted[request] = next
        askNext(next, now)
    }

    /** [request] has ended and used [used] tokens; also withdraws a request that still waits. */
    fun settle(request: RequestId, used: Long, now: Duration): List<TokenAction> = collect {
        val ending = wanted.remove(request) ?: return@collect
        val home = ending.home
        if (home == null) {
            actions += TokenAction.SettleLocally(ownKey(request), used)
        } else {
            byAsk -= ending.ask
            report(ending, home, used, now)
        }
    }

    /** This host's slice has reserved the tokens of [key]. */
    fun reservedLocally(key: RequestId): List<TokenAction> = collect {
        val heldKey = heldByKey[key]
        if (heldKey == null) {
            ownRequest(key)?.let { request ->
                if (request in wanted) {
                    actions += TokenAction.Reserved(request)
                } else {
                    actions += TokenAction.SettleLocally(key, 0)
                }
            }
        } else {
            val reservation = held.getValue(heldKey)
            reservation.isReserved = true
            send(reservation.to, TokenMessage.Reserved(heldKey.ask))
        }
    }

    /**
     * This host's slice doesn't cover [key].
     *
     * @param isCutOff whether this host has lost the store
     * @param holders other hosts whose slices probably cover it, by the last record read
     */
    fun refusedLocally(
        key: RequestId,
        kind: ErrorKind,
        isCutOff: Boolean,
        now: Duration,
        holders: List<HostName> = emptyList()
    ): List<TokenAction> = collect {
        val heldKey = heldByKey.remove(key)
        if (heldKey == null) {
            ownRequest(key)?.let { wanted[it] }?.let { waiting ->
                if (waiting.search != null) {
                    searchOn(waiting, now)
                } else if (!askedAnother(waiting, kind, isCutOff, now)) {
                    search(waiting, TokenAction.Refused(waiting.request, kind), holders, now)
                }
            }
        } else {
            val reservation = held.remove(heldKey)!!
            ended[heldKey] = now + settings.holdMargin
            send(reservation.to, TokenMessage.Refused(heldKey.ask, kind, isCutOff, holders))
        }
    }

    /** Asks the next home if the last one lacked tokens because it has lost the store. */
    private fun askedAnother(
        waiting: Wanted,
        kind: ErrorKind,
        isCutOff: Boolean,
        now: Duration
    ): Boolean {
        val mayHelp = isCutOff && kind == ErrorKind.BUDGET_UNREACHABLE &&
            waiting.asked.size < settings.homesAsked &&
            homes.order(waiting.customer, now).any { it !in waiting.asked }
        if (mayHelp) askNext(waiting, now)
        return mayHelp
    }

    /**
     * Handles a message of the run [from] of the host [host].
     *
     * @param domain the failure domain of [host]; null if it is this host's own
     */
    fun received(
        host: HostName,
        from: RouterId,
        message: TokenMessage,
        now: Duration,
        domain: FailureDomain? = null
    ): List<TokenAction> = collect {
        if (domain == null) {
            homes.add(host)
            homes.heard(host)
        } else {
            remoteHostFound(host, domain)
            remotes.heard(host)
        }
        when (message) {
            is TokenMessage.Reserve ->
                hold(host, from, message, message.sliceOnly || domain != null, now)

            is TokenMessage.Settle -> release(host, from, message, now)

            is TokenMessage.Settled -> reports.remove(message.ask)

            is TokenMessage.Reserved -> reserved(host, message)

            is TokenMessage.Pending -> pending(host, message)

            is TokenMessage.Refused -> refused(host, message, now)
        }
    }

    private fun hold(
        host: HostName,
        from: RouterId,
        message: TokenMessage.Reserve,
        sliceOnly: Boolean,
        now: Duration
    ) {
        val key = HeldKey(from, message.ask)
        val known = held[key]
        when {
            // The answer to an earlier copy of the message may have been lost.
            known != null -> send(
                host,
                if (known.isReserved) {
                    TokenMessage.Reserved(message.ask)
                } else {
                    TokenMessage.Pending(message.ask)
                }
            )

            key in ended -> Unit

            draining || message.tokens < 0 ->
                send(host, TokenMessage.Refused(message.ask, ErrorKind.ROUTER_STOPPING))

            else -> {
                val limit = message.holdMillis.milliseconds.coerceIn(Duration.ZERO, MAX_HOLD)
                val until = now + limit + settings.holdMargin
                held[key] = Held(host, message.tokens, until)
                val local = RequestId("for/$from/${message.ask}")
                heldByKey[local] = key
                actions +=
                    TokenAction.ReserveLocally(local, message.customer, message.tokens, sliceOnly)
            }
        }
    }

    private fun release(
        host: HostName,
        from: RouterId,
        message: TokenMessage.Settle,
        now: Duration
    ) {
        val key = HeldKey(from, message.ask)
        val reservation = held[key]
        if (reservation != null) end(key, message.used.coerceIn(0, reservation.tokens), now)
        ended[key] = now + settings.holdMargin
        send(host, TokenMessage.Settled(message.ask))
    }

    private fun end(key: HeldKey, used: Long, now: Duration) {
        held -= key
        val local = RequestId("for/${key.from}/${key.ask}")
        heldByKey -= local
        ended[key] = now + settings.holdMargin
        actions += TokenAction.SettleLocally(local, used)
    }

    private fun reserved(host: HostName, message: TokenMessage.Reserved) {
        val waiting = byAsk[message.ask]
        if (waiting == null || waiting.home != host) {
            // The request has ended or was sent elsewhere; its report may have been lost.
            if (message.ask !in reports) send(host, TokenMessage.Settle(message.ask, 0))
            return
        }
        if (waiting.isReserved) return
        waiting.isReserved = true
        val isRemote = waiting.search != null
        if (isRemote) remoteCounts.reserved++
        actions += TokenAction.Reserved(waiting.request, host.takeIf { isRemote })
    }

    /** The home isn't silent: it answers repeated messages until it has decided. */
    private fun pending(host: HostName, message: TokenMessage.Pending) {
        val waiting = byAsk[message.ask] ?: return
        if (waiting.home == host) waiting.sends = 0
    }

    private fun refused(host: HostName, message: TokenMessage.Refused, now: Duration) {
        val waiting = byAsk[message.ask] ?: return
        if (waiting.home != host || waiting.isReserved) return
        byAsk -= message.ask
        if (waiting.search != null) {
            remoteCounts.refused++
            if (message.kind == ErrorKind.ROUTER_STOPPING) {
                remotes.stopping(host, now)
            } else {
                remotes.refused(host, waiting.customer, waiting.tokens, now)
            }
            searchOn(waiting, now)
        } else if (message.kind == ErrorKind.ROUTER_STOPPING) {
            homes.silent(host, now)
            askNext(waiting, now)
        } else if (!askedAnother(waiting, message.kind, message.isCutOff, now)) {
            val refusal =
                TokenAction.Refused(waiting.request, message.kind, host, message.ask)
            search(waiting, refusal, message.holders, now)
        }
    }

    /** Looks for the tokens of a request, which the own domain has refused, in other domains. */
    private fun search(
        waiting: Wanted,
        refusal: TokenAction.Refused,
        holders: List<HostName>,
        now: Duration
    ) {
        val candidates = if (refusal.kind in LACKS_TOKENS) {
            val known = holders.filter { it == self || it in homes.hosts || it in remotes }
            remotes.order(waiting.customer, waiting.tokens, known - waiting.asked, now)
        } else {
            emptyList()
        }
        waiting.search = RemoteSearch(refusal, candidates, now + settings.remoteTime)
        searchOn(waiting, now)
    }

    /** Asks the next host of the search, or refuses the request. */
    private fun searchOn(waiting: Wanted, now: Duration) {
        val search = waiting.search!!
        val host = search.next(now)
        if (host == null || !remotes.mayAsk(now)) {
            wanted -= waiting.request
            actions += search.refusal
            return
        }
        remoteCounts.asked++
        if (host == self) {
            waiting.home = null
            askOwnSlice(waiting, sliceOnly = true)
        } else {
            ask(waiting, host, now)
        }
    }

    /** A host of the search didn't answer in time. */
    private fun searchTimedOut(waiting: Wanted, host: HostName, now: Duration) {
        val isSilent = now - waiting.sentAt >= settings.answerTimeout &&
            waiting.sends >= settings.sendsPerHome
        if (isSilent) {
            remoteCounts.silent++
            if (host in homes.hosts) homes.silent(host, now)
            remotes.silent(host, now)?.let { actions += it }
        }
        byAsk -= waiting.ask
        report(waiting, host, used = 0, now)
        searchOn(waiting, now)
    }

    /** Asks the next home, or this host's slice if it is the home or enough others were silent. */
    private fun askNext(next: Wanted, now: Duration) {
        val home = homes.order(next.customer, now).firstOrNull { it !in next.asked }
        if (home == null || home == self || next.asked.size >= settings.homesAsked) {
            next.home = null
            next.asked += self
            askOwnSlice(next, sliceOnly = false)
            return
        }
        ask(next, home, now)
    }

    private fun askOwnSlice(next: Wanted, sliceOnly: Boolean) {
        val key = ownKey(next.request)
        actions += TokenAction.ReserveLocally(key, next.customer, next.tokens, sliceOnly)
    }

    private fun ask(next: Wanted, home: HostName, now: Duration) {
        next.home = home
        next.asked += home
        next.sends = 0
        next.ask = ++lastAsk
        byAsk[next.ask] = next
        sendReserve(next, home, now)
    }

    private fun sendReserve(next: Wanted, home: HostName, now: Duration) {
        next.sends++
        next.sentAt = now
        val hold = (next.neededUntil - now).inWholeMilliseconds
        val sliceOnly = next.search != null
        send(home, TokenMessage.Reserve(next.ask, next.customer, next.tokens, hold, sliceOnly))
    }

    private fun report(ending: Wanted, home: HostName, used: Long, now: Duration) {
        val until = ending.neededUntil + settings.holdMargin
        reports[ending.ask] = Report(home, used, until, now)
        send(home, TokenMessage.Settle(ending.ask, used))
    }

    /** Repeats lost messages and charges reservations whose use wasn't reported in time. */
    fun tick(now: Duration): List<TokenAction> = collect {
        for (waiting in byAsk.values.toList()) {
            val home = waiting.home ?: continue
            if (waiting.isReserved) continue
            val isOver = waiting.search?.let { now >= it.until } ?: false
            if (!isOver && now - waiting.sentAt < settings.answerTimeout) continue
            if (!isOver && waiting.sends < settings.sendsPerHome) {
                sendReserve(waiting, home, now)
            } else if (waiting.search != null) {
                searchTimedOut(waiting, home, now)
            } else {
                homes.silent(home, now)
                byAsk -= waiting.ask
                report(waiting, home, used = 0, now)
                askNext(waiting, now)
            }
        }
        reports.values.removeIf { it.until <= now }
        for ((ask, report) in reports) {
            if (now - report.sentAt < settings.settleInterval) continue
            report.sentAt = now
            send(report.home, TokenMessage.Settle(ask, report.used))
        }
        for (key in held.filterValues { it.until <= now }.keys) {
            end(key, held.getValue(key).tokens, now)
        }
        ended.values.removeIf { it <= now }
        remotes.tick(now)
    }

    /** The host stops: it refuses further reservations and charges open ones soon. */
    fun drain(now: Duration) {
        draining = true
        held.values.forEach { it.until = minOf(it.until, now + settings.drainTime) }
    }

    private fun send(to: HostName, message: TokenMessage) {
        actions += TokenAction.Send(to, message)
    }

    private fun ownKey(request: RequestId) = RequestId(OWN_PREFIX + request.value)

    private fun ownRequest(key: RequestId): RequestId? = if (key.value.startsWith(
            OWN_PREFIX
        )
    ) {
        RequestId(key.value.removePrefix(OWN_PREFIX))
    } else {
        null
    }

    private inline fun collect(block: () -> Unit): List<TokenAction> {
        block()
        return actions.toList().also { actions.clear() }
    }

    private companion object {
        /** Own reservations and those for other hosts have different keys whatever callers send. */
        const val OWN_PREFIX = "own/"

        /** The refusals after which another domain may have tokens. */
        val LACKS_TOKENS = setOf(ErrorKind.BUDGET_UNREACHABLE, ErrorKind.BUDGET_EXHAUSTED)

        /** A home keeps no reservation for longer, whatever another host asks. */
        val MAX_HOLD = 600.seconds
    }
}
