package org.hemlockpond.core.budget

import java.util.PriorityQueue
import kotlin.time.Duration

/** A timer queue with at most one active timer per account; replaced timers are skipped. */
internal class AccountTimers {
    private class Timer(val at: Duration, val account: Account)

    private val timers = PriorityQueue<Timer>(compareBy { it.at })

    /** Sets the timer of [account] to [at], unless an earlier one is still to come. */
    fun set(account: Account, at: Duration, now: Duration) {
        val earlier = account.timerDueAt?.let { it > now && it <= at } ?: false
        if (earlier) return
        account.timerDueAt = at
        timers += Timer(at, account)
    }

    /** Removes one account whose timer is due; null if there is none. */
    fun takeDue(now: Duration): Account? {
        while (timers.isNotEmpty() && timers.peek().at <= now) {
            val timer = timers.poll()
            if (timer.account.timerDueAt != timer.at) continue
            timer.account.timerDueAt = null
            return timer.account
        }
        return null
    }
}
