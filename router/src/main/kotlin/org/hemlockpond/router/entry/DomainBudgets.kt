/*
 * Reserves tokens for the requests of this host, from its own slices or from those of the customers'
 * homes, and keeps the slices of the customers whose home it is.
 */
package org.hemlockpond.router.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.entry.EntryConfig
import org.hemlockpond.core.entry.HostDiscovery
import org.hemlockpond.core.entry.HostName
import org.hemlockpond.core.entry.TokenAction
import org.hemlockpond.core.entry.TokenBroker
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.RouterClock
import org.hemlockpond.router.log

/** Finds the hosts of all failure domains, and carries messages to them. */
internal interface DomainHosts {
    /**
     * Starts to look for hosts; calls [found] with those of this domain and, by their domain, those of others
     * that were there before.
     */
    fun start(found: (Set<HostName>, Map<HostName, FailureDomain>) -> Unit)

    fun send(action: TokenAction.Send)

    /** Announces this host to those of its domain that are known. */
    fun announce()

    /** Announces this host to those of other domains that are known. */
    fun announceToOthers()
}

/**
 * @param domain this host's failure domain
 * @param createBudgets creates the component that keeps this host's slices
 * @param hosts null if this host knows no others; it then has a slice of each budget
 */
internal class DomainBudgets(
    private val domain: FailureDomain,
    private val broker: TokenBroker,
    private val hosts: DomainHosts?,
    private val clock: RouterClock,
    private val listener: BudgetListener,
    createBudgets: (BudgetListener) -> EntryBudgets
) {
    private val budgets = createBudgets(LocalEvents())

    /** What this host's slices were asked for and haven't answered. */
    private val pending = HashMap<RequestId, TokenAction.ReserveLocally>()

    /** Customers whose budget record this host reads ahead, as their home. */
    private val expected = HashSet<CustomerId>()
    private var customers: Set<CustomerId> = emptySet()

    /** When the hosts that started together have found each other; null until this host looked. */
    private var foundAt: Duration? = null
    private var nextCheckAt = Duration.ZERO
    private var nextAnnouncementAt = Duration.INFINITE
    private var hasAnnouncedToOthers = false

    /** How far the other hosts of this failure domain are known. */
    val discovery: HostDiscovery
        get() {
            val found = foundAt
            return when {
                hosts == null || found == null -> HostDiscovery.UNKNOWN
                now() - found < SETTLE_TIME -> HostDiscovery.FOUND
                else -> HostDiscovery.SETTLED
            }
        }

    val isStoreReachable: Boolean get() = budgets.isStoreReachable
    val storeCalls: Long get() = budgets.storeCalls

    private fun now() = clock.now().elapsed

    fun start() {
        budgets.start()
        if (hosts == null) {
            foundAt = -Duration.INFINITE
            return
        }
        hosts.start { found, others ->
            found.forEach { broker.hostFound(it) }
            others.forEach { (host, of) -> broker.remoteHostFound(host, of) }
            foundAt = now()
            nextAnnouncementAt = now() + FIRST_ANNOUNCEMENT
        }
    }

    fun configChanged(config: EntryConfig) {
        budgets.configChanged(config)
        customers = config.customers.filter { it.prepaidTokens != null }.mapTo(HashSet()) { it.id }
        expectHomeCustomers()
    }

    /** Reads the budgets of the customers whose home this host is before their first requests. */
    private fun expectHomeCustomers() {
        val now = now()
        val found = foundAt ?: return
        if (now - found < SETTLE_TIME) return
        for (customer in customers) {
            if (customer !in expected && broker.isHome(customer, now)) {
                expected += customer
                budgets.expect(customer)
            }
        }
    }

    fun isPrepaid(customer: CustomerId): Boolean = budgets.isPrepaid(customer)

    /** @param limit the time after which the request has ended at the latest */
    fun reserve(request: RequestId, customer: CustomerId, tokens: Long, limit: Duration) =
        perform(broker.reserve(request, customer, tokens, limit, now()))

    fun settle(request: RequestId, used: Long) = perform(broker.settle(request, used, now()))

    fun frameReceived(frame: PeerFrame) {
        val message = frame.message
        val other = frame.domain.takeIf { it != domain }
        if (message != null) {
            perform(broker.received(frame.host, frame.run, message, now(), other))
        } else if (other == null) {
            broker.hostFound(frame.host)
        } else {
            broker.remoteHostFound(frame.host, other)
        }
    }

    fun storeReachabilityChanged(next: Boolean) = budgets.storeReachabilityChanged(next)

    fun tick() {
        budgets.tick()
        perform(broker.tick(now()))
        val now = now()
        if (now >= nextCheckAt) {
            nextCheckAt = now + CHECK_INTERVAL
            expectHomeCustomers()
        }
        if (now >= nextAnnouncementAt) {
            nextAnnouncementAt = now + ANNOUNCEMENT_INTERVAL
            hosts?.announce()
            // Only once more, as each announcement may be lost: traffic between domains costs money.
            if (!hasAnnouncedToOthers) hosts?.announceToOthers()
            hasAnnouncedToOthers = true
        }
    }

    fun drain() {
        broker.drain(now())
        budgets.drain()
    }

    private fun perform(actions: List<TokenAction>) {
        for (action in actions) {
            when (action) {
                is TokenAction.Reserved -> {
                    action.remoteHome?.let { logRemoteHome(action.request, it) }
                    listener.reserved(action.request)
                }

                is TokenAction.Refused -> {
                    if (action.home != null) logRefusalOfHome(action)
                    listener.refused(action.request, action.kind)
                }

                is TokenAction.Send -> hosts?.send(action)

                is TokenAction.ReserveLocally -> {
                    pending[action.key] = action
                    budgets.reserve(
                        action.key,
                        action.customer,
                        action.tokens,
                        action.sliceOnly
                    )
                }

                is TokenAction.DomainPassedOver -> log(
                    LogEvent.DOMAIN_PASSED_OVER,
                    "domain" to action.domain,
                    "host" to action.host,
                    "for" to action.pause.inWholeMilliseconds
                )

                is TokenAction.SettleLocally -> {
                    pending -= action.key
                    budgets.settle(action.key, action.used)
                }
            }
        }
    }

    private fun logRemoteHome(request: RequestId, home: HostName) =
        log(LogEvent.RESERVED_ELSEWHERE, "request" to request, "home" to home)

    private fun logRefusalOfHome(action: TokenAction.Refused) = log(
        LogEvent.HOME_REFUSED,
        "request" to action.request,
        "home" to action.home,
        "ask" to action.ask,
        "kind" to action.kind.code
    )

    private fun logRefusal(asked: TokenAction.ReserveLocally, kind: ErrorKind) {
        val state = budgets.state(asked.customer)
        log(
            LogEvent.BUDGET_REFUSED,
            "reservation" to asked.key,
            "customer" to asked.customer,
            "kind" to kind.code,
            "needed" to asked.tokens,
            "free" to state.free,
            "allowed" to state.spendable,
            "reserved" to state.reserved,
            "recorded" to state.availableInRecord,
            "elsewhere" to state.freeElsewhere,
            "charged" to state.charged,
            "paid" to state.paid,
            "record age" to state.recordAge.inWholeMilliseconds
        )
    }

    private inner class LocalEvents : BudgetListener {
        override fun reserved(request: RequestId) {
            pending -= request
            perform(broker.reservedLocally(request))
        }

        override fun refused(request: RequestId, kind: ErrorKind) {
            val asked = pending.remove(request)
            // The home of the request's own domain has logged its refusal; several hosts are asked.
            val ofDomain = asked?.takeUnless { it.sliceOnly }
            ofDomain?.let { logRefusal(it, kind) }
            val holders = ofDomain?.let(::holders).orEmpty()
            perform(broker.refusedLocally(request, kind, !isStoreReachable, now(), holders))
        }

        /** The hosts whose slices probably cover what this host's slice didn't. */
        private fun holders(asked: TokenAction.ReserveLocally): List<HostName> =
            budgets.holdersWith(asked.customer, asked.tokens).take(MAX_HOLDERS)
                .map { HostName(it.value.substringBefore('/')) }

        override fun fenced() = listener.fenced()

        override fun drained() = listener.drained()
    }

    private companion object {
        /** Hosts that start together announce themselves to each other within this time. */
        val SETTLE_TIME = 2.seconds
        val CHECK_INTERVAL = 1.seconds

        /** The hosts that a refusal names; more than are asked. */
        const val MAX_HOLDERS = 4

        /** The first repetition comes soon, as each announcement may be lost. */
        val FIRST_ANNOUNCEMENT = 1.seconds
        val ANNOUNCEMENT_INTERVAL = 10.seconds
    }
}
