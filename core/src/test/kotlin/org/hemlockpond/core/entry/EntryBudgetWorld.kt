package org.hemlockpond.core.entry

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
 * Hosts without peers that share the budget of one customer, in virtual time. The store answers
 * after 4 ms.
 *
 * @property paid the customer's tokens
 */
internal class EntryBudgetWorld(
    val paid: Long,
    private val settings: BudgetSettings,
    hosts: Int = 8,
    seed: Int = 5,
    mixed: Boolean = false
) {
    private class Task(val at: Double, val order: Int, val run: () -> Unit)

    private val tasks = PriorityQueue<Task>(compareBy({ it.at }, { it.order }))
    private val random = Random(seed)
    private val arrivals = Arrivals(random, mixed)
    private val customer = CustomerId("c")
    private var record = BudgetRecord(payments = mapOf("p" to paid))
    private var revision = 1L
    private var order = 0
    private var requests = 0
    private val open = HashMap<RequestId, Pair<EntryHost, Long>>()

    /** The most that requests under way can use. */
    val openTokens: Long get() = open.values.sumOf { it.second + MOST_ANSWER }
    var time = 0.0
    var used = 0L
    var calls = 0
    val refusals = ArrayList<Pair<Double, ErrorKind>>()

    /** What was used when each request was refused. */
    val usedAtRefusal = ArrayList<Long>()
    private val since = HashMap<RequestId, Double>()

    /** The longest time that a refused request waited, in milliseconds. */
    var longestWait = 0.0
    var served = 0
    var asked = 0

    /** The stored mark of each run, with the time when it was made. */
    private val marks = HashMap<RouterId, BudgetAction.WriteMark>()

    /** What ended runs have used at most, by host. */
    private val ended = HashMap<Int, MutableMap<RouterId, Map<CustomerId, Long>>>()

    /** How many in a hundred writes are done without an answer. */
    var lostAnswers = 0
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

    private fun at(delay: Double, run: () -> Unit) {
        tasks += Task(time + delay, order++, run)
    }

    private fun tick() {
        for (host in hosts) if (host.alive) handle(host, BudgetEvent.Tick)
        at(TICK) { tick() }
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
        at(from - time) { request(perSecond, to) }
    }

    /** Multiplies the traffic. */
    var burst = 1.0

    /** The host that gets the requests of a host's callers, by number. */
    var route: (Int) -> Int = { it }

    private fun request(perSecond: Double, to: Double) {
        if (time >= to) return
        asked++
        val host = hosts[route(arrivals.host())]
        val prompt = arrivals.promptTokens()
        if (host.alive) {
            val id = RequestId("r${requests++}")
            open[id] = host to prompt
            since[id] = time
            handle(host, BudgetEvent.Reserve(id, customer, prompt + MOST_ANSWER))
        }
        at(arrivals.gapMillis(perSecond * burst)) { request(perSecond, to) }
    }

    fun cut(host: EntryHost, connected: Boolean) {
        host.connected = connected
        handle(host, BudgetEvent.StoreReachable(connected))
    }

    /** All hosts lose the store. */
    fun outage(from: Double, to: Double) {
        runTo(from)
        hosts.forEach { cut(it, connected = false) }
        runTo(to)
        hosts.forEach { cut(it, connected = true) }
    }

    /**
     * Kills a host. Its next run knows what the stored marks show, unless the host lost power: then
     * nothing tells how old they are.
     */
    fun restart(number: Int, gap: Double = RESTART_MILLIS, powerLoss: Boolean = false) {
        val dead = hosts[number]
        if (!dead.alive) return
        dead.alive = false
        at(gap) {
            val bounds = ended.getOrPut(number) { HashMap() }
            if (powerLoss) bounds.clear()
            marks[dead.id]?.takeIf { !powerLoss }?.let { mark ->
                val age = time.milliseconds - mark.at
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
                is BudgetAction.Reserved -> run(host, action.request)

                is BudgetAction.Refused -> {
                    refusals += time to action.kind
                    val waited = time - since.getValue(action.request)
                    longestWait = maxOf(longestWait, waited)
                    usedAtRefusal += used
                    open -= action.request
                }

                is BudgetAction.ReadRecord -> call(host) {
                    handle(host, BudgetEvent.RecordRead(customer, action.askedAt, revision, record))
                }

                is BudgetAction.WriteRecord -> call(host) { write(host, action) }

                is BudgetAction.WriteMark -> {
                    val event = BudgetEvent.MarkWritten(action.sequence, applied = true)
                    call(host) { mark(host, action) }
                    at(CALL_TIMEOUT) { handle(host, event.copy(applied = false)) }
                }

                else -> Unit
            }
        }
    }

    private fun call(host: EntryHost, answer: () -> Unit) {
        calls++
        if (host.connected) at(STORE_MILLIS) { answer() }
    }

    private fun mark(host: EntryHost, action: BudgetAction.WriteMark) {
        marks[host.id] = action
        if (answerIsLost()) return
        handle(host, BudgetEvent.MarkWritten(action.sequence, applied = true))
    }

    private fun answerIsLost() = lostAnswers > 0 && random.nextInt(100) < lostAnswers

    private fun write(host: EntryHost, action: BudgetAction.WriteRecord) {
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

    private fun run(host: EntryHost, id: RequestId) {
        val prompt = open.getValue(id).second
        at(2_000.0) {
            val tokens = prompt + MOST_ANSWER / 3
            used += tokens
            served++
            open -= id
            handle(host, BudgetEvent.Settle(id, tokens))
        }
    }

    companion object {
        const val TICK = 25.0
        const val STORE_MILLIS = 4.0
        const val MOST_ANSWER = 1_000L
        const val RESTART_MILLIS = 1_400.0
        const val CALL_TIMEOUT = 1_000.0
    }
}
