/*
 * Claims this host's shares in the limits of endpoints, and follows the claims of all hosts, through
 * the store. The claims are bound to a lease that this host renews; the store removes them when the
 * host has ended or is cut off, and the host doesn't count on them any longer than that.
 */
package org.hemlockpond.router.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.entry.EndpointLimits
import org.hemlockpond.core.entry.EndpointProcess
import org.hemlockpond.core.entry.LimitClaims
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.RouterClock
import org.hemlockpond.router.decodeRecord
import org.hemlockpond.router.encodeRecord
import org.hemlockpond.router.log
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.KeyValueStore
import org.hemlockpond.store.LeaseId
import org.hemlockpond.store.LeaseResult
import org.hemlockpond.store.StoredValue
import org.hemlockpond.store.WriteResult

/**
 * A host's claim of a share in the limit of an endpoint.
 *
 * @property started the start of the endpoint's process in Unix milliseconds
 */
@Serializable
internal data class StoredLimitClaim(val endpoint: EndpointId, val started: Long) {
    val process: EndpointProcess get() = EndpointProcess(endpoint, started)
}

/** A claim that was stored at [revision]. */
internal class LimitClaim(val process: EndpointProcess, val revision: Long)

internal class LimitRecords(
    self: RouterId,
    private val store: KeyValueStore,
    private val settings: EntryRouterSettings,
    private val parts: PartSupervisor,
    private val clock: RouterClock,
    private val limits: EndpointLimits
) {
    private val ownPrefix = "$PREFIX${self.value.replace('/', '.')}/"

    /** The claims of all hosts, by key. */
    private val claims = HashMap<String, LimitClaim>()

    /** When the endpoints that have a limit last named it to this host. */
    private val namedAt = HashMap<EndpointProcess, Duration>()
    private var lease: LeaseId? = null
    private var leaseEndsAt = -Duration.INFINITE

    /** Until then the hosts write their claims again, so shares can't be told. */
    private var claimsKnownAt = -Duration.INFINITE

    /** Own claims that may be bound to a lease that the store has lost. */
    private val unbound = HashSet<String>()
    private var isRunning = false

    /** Whether the store has answered all calls of the present round. */
    private var isAnswered = true

    private fun now() = clock.now().elapsed

    /** Notes the limit that an answer named; null if the answer named none. */
    fun limitNamed(process: EndpointProcess, perSecond: Double?) {
        val isNew = process !in namedAt
        if (perSecond == null && isNew) {
            limits.limitNamed(process, null, now())
            return
        }
        limits.limitNamed(process, perSecond, now())
        if (perSecond == null) namedAt -= process else namedAt[process] = now()
        if (isNew || perSecond == null) {
            log(
                LogEvent.ENDPOINT_LIMIT,
                "endpoint" to process.endpoint,
                "limit" to perSecond,
                "claims" to claimsOf(process).size
            )
        }
        if (!isRunning) {
            isRunning = true
            parts.keepUntilDone("limit claims") { keepClaims(it) }
        }
    }

    /**
     * The store has returned from an older copy, which may lack claims and leases. This host has no
     * share until all hosts have had time to claim theirs again.
     */
    fun storeReturned() {
        lease = null
        leaseEndsAt = -Duration.INFINITE
        claimsKnownAt = now() + CLAIM_AGAIN_TIME
        updateEnd()
        unbound += ownClaims().keys
        unbound.forEach { claimChanged(it, null) }
    }

    private fun updateEnd() {
        limits.claimsEndAt = if (now() < claimsKnownAt) -Duration.INFINITE else leaseEndsAt
    }

    /** Keeps the stored claims equal to the wanted ones, and renews their lease. */
    private suspend fun keepClaims(caughtUp: () -> Unit) {
        var renewAt = -Duration.INFINITE
        val retry = StoreRetry(settings.claimInterval)
        while (namedAt.isNotEmpty() || ownClaims().isNotEmpty()) {
            val now = now()
            isAnswered = true
            namedAt.values.removeIf { now - it > settings.entry.limits.memory }
            val isRenewalDue = lease == null || now >= renewAt
            if (namedAt.isNotEmpty() && isRenewalDue && renewLease()) renewAt = now + RENEWAL
            updateEnd()
            writeClaims()
            caughtUp()
            if (isAnswered) retry.answered()
            delay(retry.next())
        }
        isRunning = false
    }

    /** Grants or renews the lease; returns whether this host has one. */
    private suspend fun renewLease(): Boolean {
        val sentAt = now()
        val result = lease?.let { store.keepAlive(it) } ?: store.grantLease(LEASE_TTL)
        when (result) {
            is LeaseResult.Held -> {
                lease = result.id
                leaseEndsAt = sentAt + LEASE_TTL - LEASE_MARGIN
            }

            LeaseResult.Lapsed -> lease = null

            is LeaseResult.Unavailable -> isAnswered = false
        }
        return result is LeaseResult.Held
    }

    /** Writes missing claims, if there is a lease, and deletes those that aren't wanted. */
    private suspend fun writeClaims() {
        val stored = ownClaims()
        val wanted = namedAt.keys.associateBy { "$ownPrefix${it.endpoint}-${it.startedMillis}" }
        for ((key, process) in wanted - stored.keys) {
            val record = StoredLimitClaim(process.endpoint, process.startedMillis)
            val text = encodeRecord(StoredLimitClaim.serializer(), record)
            write(ConditionalWrite(key, 0, text, lease ?: return))
        }
        for ((key, claim) in stored - wanted.keys) {
            write(
                ConditionalWrite(key, claim.revision, null)
            )
        }
    }

    private suspend fun write(write: ConditionalWrite) {
        when (val result = store.commit(listOf(write))) {
            is WriteResult.Applied -> {
                unbound -= write.key
                storedChanged(write.key, write.value, result.revision)
            }

            is WriteResult.Conflict -> {
                val current = result.current.firstOrNull { it.key == write.key }
                val isUnbound = write.value != null && unbound.remove(write.key)
                if (isUnbound && current != null) {
                    return write(write.copy(expectedRevision = current.revision))
                }
                storedChanged(write.key, current?.value, current?.revision ?: 0)
            }

            // The lease may have ended.
            is WriteResult.NotSent -> {
                lease = null
                isAnswered = false
            }

            // The watch delivers the claim if it was written; otherwise it is written again.
            is WriteResult.Unknown -> isAnswered = false
        }
    }

    private fun ownClaims() = claims.filterKeys { it.startsWith(ownPrefix) }

    private fun claimsOf(process: EndpointProcess) = claims.filterValues { it.process == process }

    fun decode(entry: StoredValue, skipped: SkippedEntries): LimitClaim? =
        skipped.decode(StoredLimitClaim.serializer(), entry)
            ?.let { LimitClaim(it.process, entry.revision) }

    /** Applies a complete read of the claims, by key. */
    fun applyAll(read: Map<String, LimitClaim>) {
        (claims.keys - read.keys).forEach { claimChanged(it, null) }
        read.forEach(::claimChanged)
    }

    /** The claim under [key] is now [claim]; null if there is none that can be read. */
    fun claimChanged(key: String, claim: LimitClaim?) {
        val before = if (claim == null) claims.remove(key) else claims.put(key, claim)
        if (before?.revision == claim?.revision) return
        setOfNotNull(before?.process, claim?.process).forEach(::updateClaims)
    }

    private fun storedChanged(key: String, text: String?, revision: Long) = claimChanged(
        key,
        text?.let { decodeRecord(StoredLimitClaim.serializer(), key, it) }
            ?.let { LimitClaim(it.process, revision) }
    )

    private fun updateClaims(process: EndpointProcess) {
        val all = claimsOf(process)
        val own = all.entries.firstOrNull { it.key.startsWith(ownPrefix) }?.value
        val position = own?.let { mine -> all.values.count { it.revision < mine.revision } }
        limits.claimsChanged(process, LimitClaims(all.size, position), now())
    }

    companion object {
        const val PREFIX = "hemlockpond/shared/limits/"

        /** After this time the other hosts divide the share of a host that has ended. */
        private val LEASE_TTL = 10.seconds

        /** Covers the difference between the lease's start in the store and the call. */
        private val LEASE_MARGIN = 1.seconds
        private val RENEWAL = 3.seconds

        /** Covers the time until all hosts have noticed the return of the store, and their writes. */
        private val CLAIM_AGAIN_TIME = 3.seconds
    }
}
