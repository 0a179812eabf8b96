/*
 * Decides whether an entry host watches the store itself or relies on another host of its failure
 * domain.
 *
 * What all hosts of a domain would read is the same, so one of them, the reader, watches the store and
 * tells the others the revisions at which something changed; they read only then. All hosts rank the
 * hosts in the same order. The first one is the reader; any other takes over while it hears nothing.
 * The hosts of a domain that has lost the store take turns to probe it, and the first one that gets
 * an answer tells the others.
 *
 * Messages only save calls: what is applied was read from the store by this host or by the reader. A reader that has lost the
 * store without a sign must not keep the others from reading: it asks the store for an answer several
 * times a second and sends nothing without a recent one.
 */
package org.hemlockpond.core.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.routing.mix

/**
 * Settings of a [StoreReaderRole].
 *
 * @property minHosts the fewest hosts of a failure domain that share watches. Fewer hosts gain little, and
 *   each then watches for itself.
 * @property messageInterval the time between two messages of a reader
 * @property contactInterval the time between two calls by which a reader checks that the store answers
 * @property contactLimit the age of the last answered one up to which a reader sends messages. The sum
 *   with [silenceLimit] and a turn bounds how long a domain relies on a reader that is cut off; it is
 *   below the two seconds within which the platform's small deployments want a configuration in force.
 * @property silenceLimit the time without a message after which a host no longer relies on its reader;
 *   covers two lost messages
 * @property turn how much later than the host before it in the order each host takes over
 * @property maxTurns the most turns that a host waits; many known hosts may be gone for good
 * @property followerReadInterval the least time between two reads of one prefix by a host that relies on a
 *   reader; bounds its calls while the prefix changes all the time. Below the two seconds within which
 *   a configuration has to be in force.
 * @property probeTurn the mean time between two probes of the hosts of a domain that has lost the store
 * @property probeInterval the least time between two probes of a host that has lost the store
 * @property probeLead how long a host that takes over waits for the answer to its first call before it
 *   sends others; exceeds the time after which a call counts as unanswered
 */
data class StoreReaderSettings(
    val minHosts: Int = 6,
    val messageInterval: Duration = 250.milliseconds,
    val contactInterval: Duration = 400.milliseconds,
    val contactLimit: Duration = 800.milliseconds,
    val silenceLimit: Duration = 700.milliseconds,
    val turn: Duration = 100.milliseconds,
    val maxTurns: Int = 8,
    val followerReadInterval: Duration = 800.milliseconds,
    val probeTurn: Duration = 200.milliseconds,
    val probeInterval: Duration = 1.seconds,
    val probeLead: Duration = 800.milliseconds
)

/** @param hosts returns the other hosts of the failure domain that are known */
class StoreReaderRole(
    private val self: HostName,
    private val settings: StoreReaderSettings,
    private val hosts: () -> Set<HostName>
) {
    /** The hosts that share watches with this one. */
    val others: Set<HostName>
        get() = hosts().let { if (it.size + 1 < settings.minHosts) emptySet() else it }
    private var followed: HostName? = null
    private var heardAt = -Duration.INFINITE
    private var unansweredAt = -Duration.INFINITE
    private var isAnswered = true
    private var answeredAt = -Duration.INFINITE

    /** A host that has the store's answers says so. */
    fun heard(from: HostName, now: Duration) {
        val isEarlier = rank(from) < rank(self)
        if (others.isEmpty() || (isReader(now) && !isEarlier)) return
        followed = from
        heardAt = now
    }

    /** The store has answered a call of this host. */
    fun answered(now: Duration = -Duration.INFINITE) {
        isAnswered = true
        answeredAt = now
    }

    /** The store hasn't answered a call of this host. */
    fun unanswered(now: Duration) {
        isAnswered = false
        unansweredAt = now
    }

    /** Whether another host watches the store for this one. */
    fun isFollowing(now: Duration): Boolean =
        followed != null && now - heardAt < settings.silenceLimit

    /** Whether this host watches the store and tells the others what it sees. */
    fun isReader(now: Duration): Boolean = isAnswered && !isFollowing(now) && now >= takeOverAt()

    /** When this host may read the store although no other host has told it to. */
    fun readAt(now: Duration): Duration = if (isFollowing(now) || isAnswered) {
        takeOverAt()
    } else {
        maxOf(takeOverAt(), unansweredAt + probeInterval())
    }

    /**
     * Whether this host takes over and doesn't know yet whether the store answers it. It then sends one
     * call, since its reader may be silent because the store is away.
     */
    fun awaitsProbe(now: Duration): Boolean {
        val start = takeOverAt()
        return followed != null && answeredAt < start && now < start + settings.probeLead
    }

    private fun takeOverAt() = if (followed == null) {
        -Duration.INFINITE
    } else {
        heardAt + settings.silenceLimit + turns()
    }

    private fun turns() = settings.turn * rank(self).coerceAtMost(settings.maxTurns)

    /** Long enough for each host to have its turn. */
    private fun probeInterval() = maxOf(
        settings.probeInterval,
        settings.probeTurn * (others.size + 1).coerceAtMost(2 * settings.maxTurns)
    )

    /** The number of known hosts before [host] in the order that all hosts share. */
    private fun rank(host: HostName): Int {
        val own = weight(host)
        return (others + self).count { weight(it) > own }
    }

    private fun weight(host: HostName) = mix(ORDER_KEY xor mix(host.value.hashCode().toLong()))

    private companion object {
        /** Separates this order from those of the customers' homes. */
        const val ORDER_KEY = 0x73746f7265L
    }
}
