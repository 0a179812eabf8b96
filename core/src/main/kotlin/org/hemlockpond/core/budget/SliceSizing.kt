/*
 * Computes the size of each holder's slice.
 *
 * While much of a budget remains, nearly all of it is granted in proportion to the demand that each
 * holder reports in its slice. A partitioned failure domain can then serve as long as the others.
 * Holders without peers split a part evenly, for callers that move to them. As the budget runs out,
 * holders without peers are granted less ahead of use. Near the end each holder keeps only a short
 * span of its demand; the rest stays in the record, where every holder can reach it.
 */
package org.hemlockpond.core.budget

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.DurationUnit
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouterId

internal class SliceSizing(
    private val self: RouterId,
    private val domain: FailureDomain,
    private val settings: BudgetSettings
) {
    /** Number of other reachable routers; limits grants until demand has been measured. */
    var reachablePeers = 0

    /** Expected demand over [BudgetSettings.grantSpan], in tokens; at least 1. */
    fun wanted(account: Account, now: Duration): Long =
        maxOf(1, (demandRate(account, now) * seconds(settings.grantSpan)).toLong())

    /**
     * The holder's demand in tokens per second. Without peers, open reservations count too, because
     * missing tokens can't be borrowed during a store outage.
     */
    private fun demandRate(account: Account, now: Duration): Double {
        val open = if (settings.hasNoPeers) account.reserved else 0
        return account.demand.rate(now, open)
    }

    /** Whether the last known record shows that the budget is nearly used up. */
    fun isEnding(account: Account, now: Duration): Boolean {
        val demand = othersWanted(account) + wanted(account, now)
        val horizon = demand * (settings.endHorizon / settings.grantSpan)
        return account.remaining + account.reserved < horizon
    }

    /**
     * Whether the remaining tokens cover so few requests that one holder keeps them. Split among the holders
     * they would cover none.
     */
    fun isKept(account: Account): Boolean = settings.keeperRequests > 0 &&
        account.record.slices.size > 1 &&
        account.remaining + account.reserved < account.requestSize * settings.keeperRequests

    /**
     * Whether this holder keeps the remaining tokens, by the last known record. The keeper is the holder with
     * the most tokens among those with demand; it stays the same as long as it has them.
     */
    fun isKeeper(account: Account): Boolean {
        val slices = account.record.slices
        val demand = slices.values.maxOf { it.wanted }
        val keeper = slices.entries.filter { it.value.wanted >= demand / KEEPER_DEMAND_FRACTION }
            .maxWith(compareBy({ it.value.free }, { it.key.value }))
        return keeper.key == self
    }

    /** Whether another holder keeps the remaining tokens. */
    fun isKeptElsewhere(account: Account): Boolean = isKept(account) && !isKeeper(account)

    /** Unused tokens that the holder should keep, including reserved ones. */
    fun target(account: Account, now: Duration): Long {
        if (isKept(account)) {
            return if (isKeeper(account)) account.remaining + account.reserved else account.reserved
        }
        if (isEnding(account, now)) {
            return account.reserved +
                demandOver(account, settings.endSpan, now)
        }
        return maxOf(account.reserved, grantedAhead(account, now).toLong())
    }

    /** This holder's part of the tokens that are granted ahead of use. */
    private fun grantedAhead(account: Account, now: Duration): Double {
        val all = (account.remaining + account.reserved) * settings.advanceShare *
            remainingShare(account).pow(settings.advanceTaperExponent)
        val even = settings.evenShare / holderCount(account)
        val ahead = all * (even + (1 - settings.evenShare) * demandShare(account, now))
        // The record doesn't show yet which other holders start at the same time.
        val isJoining = now - account.wantedSince < settings.settleTime
        return if (isJoining) minOf(ahead, all * settings.joinShare) else ahead
    }

    private fun remainingShare(account: Account): Double {
        val remaining = account.remaining + account.reserved
        return (remaining.toDouble() / maxOf(1, account.record.paid)).coerceIn(0.0, 1.0)
    }

    private fun demandShare(account: Account, now: Duration): Double {
        val wanted = wanted(account, now).toDouble()
        val share = wanted / (wanted + othersWanted(account))
        val isNew = now - account.wantedSince < settings.demandTimeConstant / 4
        return if (isNew) {
            minOf(
                share,
                1.0 / maxOf(reachablePeers + 1, settings.minHolders)
            )
        } else {
            share
        }
    }

    private fun holderCount(account: Account): Int {
        val others = account.record.slices.keys.count { it != self }
        return maxOf(others + 1, settings.minHolders)
    }

    /** Whether the free tokens fall below the refill threshold. */
    fun isLow(account: Account, now: Duration): Boolean {
        if (isKeptElsewhere(account)) return false
        val span = if (isEnding(
                account,
                now
            )
        ) {
            settings.endSpan / 2
        } else {
            settings.refillThresholdSpan
        }
        return account.free < demandAhead(account, span, now)
    }

    /** Unused tokens to hold after a refill; covers a span of demand, not just one request. */
    fun refillTarget(account: Account, now: Duration): Long {
        if (isKeptElsewhere(account)) return account.unused + account.shortage
        val span = if (isEnding(account, now)) settings.endSpan else settings.grantSpan
        val need = account.unused + account.shortage + demandAhead(account, span, now)
        return maxOf(need, target(account, now))
    }

    /**
     * Expected demand over [span], in tokens. Without peers it is limited to the tokens that may be
     * granted ahead, because no other holder can use them.
     */
    private fun demandAhead(account: Account, span: Duration, now: Duration): Long {
        val demand = demandOver(account, span, now)
        return if (settings.hasNoPeers) {
            minOf(
                demand,
                grantedAhead(account, now).toLong()
            )
        } else {
            demand
        }
    }

    /** Expected demand over [span], in tokens. */
    fun demandOver(account: Account, span: Duration, now: Duration): Long =
        (demandRate(account, now) * seconds(span)).toLong()

    /**
     * The time between periodic reports. It is proportional to the number of holders in the failure
     * domain, so store writes grow with the number of domains rather than routers, but limited, as
     * other holders compute their slices from the reports.
     */
    fun reportInterval(account: Account): Duration {
        val holderCount = account.record.slices.values.count { it.domain == domain }
        return minOf(
            settings.reportInterval * maxOf(1, holderCount),
            settings.maxReportInterval
        )
    }

    /** The time between two reports without use; shorter the more of the budget is used. */
    fun idleReportInterval(account: Account): Duration = if (settings.hasNoPeers) {
        settings.idleReportInterval * remainingShare(account)
    } else {
        settings.idleReportInterval
    }

    private fun othersWanted(account: Account): Long =
        account.record.slices.entries.sumOf { (router, slice) ->
            if (router == self) 0 else slice.wanted
        }

    private fun seconds(duration: Duration): Double = duration.toDouble(DurationUnit.SECONDS)

    private companion object {
        /** A keeper has at least one in this many parts of the largest demand; smaller parts change it less. */
        const val KEEPER_DEMAND_FRACTION = 16
    }
}
