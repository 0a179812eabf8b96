package org.hemlockpond.core.entry

import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.Now
import org.hemlockpond.core.RequestId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.budget.BudgetAction
import org.hemlockpond.core.budget.BudgetEvent
import org.hemlockpond.core.budget.BudgetHolder
import org.hemlockpond.core.budget.BudgetRecord
import org.hemlockpond.core.budget.BudgetSettings
import org.hemlockpond.core.budget.WriteOutcome

internal class EntryHost(val holder: BudgetHolder, val id: RouterId, val number: Int) {
    var connected = true
    var alive = true
}

/**
 * Simulates hosts without peers that share the budget of one customer, in virtual time. The store
 * answers after 4 ms.
 *
 * @property paid the number of tokens that the customer has paid for
 */
internal class EntryBudgetSimulation(
    val paid: Long,
    private val settings: BudgetSettings,
    hosts: Int = 8,
    seed: Int = 5,
    withShortPrompts: Boolean = false
) {
    private class Task(val at: Double, val order: Int, val run: () -> Unit)

    private val tasks = PriorityQueue<Task>(compareBy({ it.at }, { it.order }))
    private val random = Random(seed)
    private val arrivals = RequestArrivals(random, withShortPrompts, hosts)
    private val customer = CustomerId("c")
    private var record = BudgetRecord(payments = mapOf("p" to paid))
    private var revision = 1L
    private var order = 0
    private var requests = 0
    private val open = HashMap<RequestId, Pair<EntryHost, Long>>()

    /** The maximum number of tokens that open requests can use. */
    val openTokens: Long get() = open.values.sumOf { it.second + MAX_ANSWER_TOKENS }
    var time = 0.0
    var used = 0L
    var storeCalls = 0
    val refusals = ArrayList<Pair<Double, ErrorKind>>()

    /** The tokens that were used at the time of each refusal. */
    val usedAtRefusal = ArrayList<Long>()
    private val reservedAt = HashMap<RequestId, Double>()

    /** The longest wait of a refused request in milliseconds. */
    var longestWait = 0.0
    var served = 0
    var arrived = 0

    /** The stored spend mark of each run, with the time at which it was created. */
    private val marks = HashMap<RouterId, BudgetAction.WriteMark>()

    /** The upper bounds of the token use of ended runs, by host number. */
    private val endedRunUse = HashMap<Int, MutableMap<RouterId, Map<CustomerId, Long>>>()

    /** The percentage of writes that are applied although their answer is lost. */
    var lostAnswerPercent = 0
    private val runs = IntArray(hosts)
    val hosts = MutableList(hosts) { host(it) }

    init {
        tick()
    }

    private fun host(number: Int): EntryHost {
        val id = RouterId("h$number/${runs[number]++}")
        val holder = BudgetHolder(id, FailureDomain("d${number % 3}"), settings)
        return EntryHost(holder, id, number).also {
            handle(it, BudgetEvent.LeaseRenewed(now()))
            handle(it, BudgetEvent.Expect(customer))
        }
    }

    private fun now() = Now(time.milliseconds, Instant.fromEpochMilliseconds(time.toLong()))

    private fun schedule(delay: Double, run: () -> Unit) {
        tasks += Task(time + delay, order++, run)
    }

    private fun tick() {
        for (host in hosts) if (host.alive) handle(host, BudgetEvent.Tick)
        schedule(TICK_MILLIS) { tick() }
    }

    fun runTo(end: Double) {
        while (tasks.isNotEmpty() && tasks.peek().at <= end) {
            val task = tasks.poll()
            time = task.at
            task.run()
        }
        time = end
    }

    fun traffic(perSecond: Double, from: Double, to: Double) {
        schedule(from - time) { request(perSecond, to) }
    }

    /** The factor by which the request rate is multiplied. */
    var trafficFactor = 1.0

    /** Maps the number of a caller's usual host to that of the host that gets its requests. */
    var hostFor: (Int) -> Int = { it }

    private fun request(perSecond: Double, to: Double) {
        if (time >= to) return
        arrived++
        val host = hosts[hostFor(arrivals.host())]
        val prompt = arrivals.promptTokens()
        if (host.alive) {
            val id = RequestId("r${requests++}")
            open[id] = host to prompt
            reservedAt[id] = time
            handle(host, BudgetEvent.Reserve(id, customer, prompt + MAX_ANSWER_TOKENS))
        }
        schedule(arrivals.interarrivalMillis(perSecond * trafficFactor)) { request(perSecond, to) }
    }

    fun setConnected(host: EntryHost, connected: Boolean) {
        host.connected = connected
        handle(host, BudgetEvent.StoreReachable(connected))
    }

    /** Disconnects all hosts from the store between the given times, in milliseconds. */
    fun outage(from: Double, to: Double) {
        runTo(from)
        hosts.forEach { setConnected(it, connected = false) }
        runTo(to)
        hosts.forEach { setConnected(it, connected = true) }
    }

    /**
     * Kills a host and restarts it. The new run bounds the spend of earlier runs by the stored
     * marks; after a power loss the age of the marks is unknown.
     */
    fun restart(number: Int, gap: Double = RESTART_MILLIS, powerLoss: Boolean = false) {
        val dead = hosts[number]
        if (!dead.alive) return
        dead.alive = false
        schedule(gap) {
            val bounds = endedRunUse.getOrPut(number) { HashMap() }
            marks[dead.id]?.let { mark ->
                val age = if (powerLoss) Duration.INFINITE else time.milliseconds - mark.at
                bounds[dead.id] = mark.mark.ended(age).use.mapValues { it.value.used }
            }
            hosts[number] = host(number)
            for (run in 0 until runs[number] - 1) {
                val id = RouterId("h$number/$run")
                val used = bounds[id]
                val event = if (used == null) {
                    BudgetEvent.RouterDied(id, copies = null)
                } else {
                    BudgetEvent.RunEnded(id, used)
                }
                handle(hosts[number], event)
            }
        }
    }

    private fun handle(host: EntryHost, event: BudgetEvent) {
        if (!host.alive) return
        handle(host, host.holder.handle(event, now()))
    }

    private fun handle(host: EntryHost, actions: List<BudgetAction>) {
        for (action in actions) {
            when (action) {
                is BudgetAction.Reserved -> serve(host, action.request)

                is BudgetAction.Refused -> {
                    refusals += time to action.kind
                    val waited = time - reservedAt.getValue(action.request)
                    longestWait = maxOf(longestWait, waited)
                    usedAtRefusal += used
                    open -= action.request
                }

                is BudgetAction.ReadRecord -> callStore(host) {
                    handle(host, BudgetEvent.RecordRead(customer, action.askedAt, revision, record))
                }

                is BudgetAction.WriteRecord -> callStore(host) { storeRecord(host, action) }

                is BudgetAction.WriteMark -> {
                    val event = BudgetEvent.MarkWritten(action.sequence, applied = true)
                    callStore(host) { storeMark(host, action) }
                    schedule(CALL_TIMEOUT_MILLIS) { handle(host, event.copy(applied = false)) }
                }

                else -> Unit
            }
        }
    }

    private fun callStore(host: EntryHost, answer: () -> Unit) {
        storeCalls++
        if (host.connected) schedule(STORE_LATENCY_MILLIS) { answer() }
    }

    private fun storeMark(host: EntryHost, action: BudgetAction.WriteMark) {
        marks[host.id] = action
        if (answerIsLost()) return
        handle(host, BudgetEvent.MarkWritten(action.sequence, applied = true))
    }

    private fun answerIsLost() = lostAnswerPercent > 0 && random.nextInt(100) < lostAnswerPercent

    private fun storeRecord(host: EntryHost, action: BudgetAction.WriteRecord) {
        val outcome = if (action.expectedRevision == revision) {
            record = action.record
            revision++
            WriteOutcome.Applied(revision)
        } else {
            WriteOutcome.Conflict
        }
        if (answerIsLost()) return
        handle(host, BudgetEvent.RecordWritten(customer, action.sequence, outcome))
    }

    private fun serve(host: EntryHost, id: RequestId) {
        val prompt = open.getValue(id).second
        schedule(2_000.0) {
            val tokens = prompt + MAX_ANSWER_TOKENS / 3
            used += tokens
            served++
            open -= id
            handle(host, BudgetEvent.Settle(id, tokens))
        }
    }

    companion object {
        const val TICK_MILLIS = 25.0
        const val STORE_LATENCY_MILLIS = 4.0
        const val MAX_ANSWER_TOKENS = 1_000L
        const val RESTART_MILLIS = 1_400.0
        const val CALL_TIMEOUT_MILLIS = 1_000.0
    }
}
