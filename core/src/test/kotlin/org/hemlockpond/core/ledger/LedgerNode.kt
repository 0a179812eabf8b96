package org.hemlockpond.core.ledger

import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId

/** Tokens that every call reserves. */
internal const val RESERVED = 100L

/** One [LedgerEvent.Begin] at a router and its outcome. */
internal class Call(val node: Node, val caller: Caller, val digest: String, val at: Long) {
    var answeredAt: Long? = null
    var proceeded = false
    var takenOver = 0L
    var used: Long? = null
    var abandoned = false
    var released = false
    var reply: Any? = null
}

/** One request and the calls its caller makes for it. */
internal class Caller(val number: Int, val idempotent: Boolean) {
    val request = RequestId("request-$number")
    val customer = CustomerId("customer-$number")
    val calls = ArrayList<Call>()
    val answers = HashSet<RecordedAnswer>()

    /** Calls that an endpoint ran, at least partially. */
    val runs: List<Call> get() = calls.filter { it.proceeded && !it.abandoned }
}

/** One simulated router: its ledger, the budget's view of its slices, and its faults. */
internal class Node(val id: RouterId, val domain: FailureDomain, settings: LedgerSettings) {
    val ledger = RequestLedger(id, domain, settings)
    val spent = HashMap<CustomerId, Long>()
    val held = HashMap<CustomerId, Long>()
    val active = HashMap<RequestId, Call>()
    val inbox = ArrayDeque<LedgerEvent>()
    var diedAt: Long? = null
    var pausedSince = 0L
    var pausedUntil = 0L
    var isIsolated = false
    var isStoreCut = false
    var lastWithoutPeerAt = -LedgerSimulation.SECOND_FAILURE_MILLIS
    val knownDead = HashSet<RouterId>()
    var closedCharges: Map<CustomerId, Long>? = null
    val isAlive get() = diedAt == null
}
