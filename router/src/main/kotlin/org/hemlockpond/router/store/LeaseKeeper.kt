/*
 * Holds this router's leases in the store: the long router lease, whose expiry proves the router's
 * death, and the short controller lease for version moves.
 */
package org.hemlockpond.router.store

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import org.hemlockpond.core.Now
import org.hemlockpond.core.RouterId
import org.hemlockpond.core.membership.Member
import org.hemlockpond.router.RouterClock
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.EtcdStore
import org.hemlockpond.store.LeaseId
import org.hemlockpond.store.LeaseResult
import org.hemlockpond.store.ReadResult
import org.hemlockpond.store.WriteResult

/** What the leases report; called on their own threads. */
internal interface LeaseListener {
    /** The router lease was granted or renewed by a call sent at [sent]. */
    fun routerLeaseRenewed(sent: Now)

    /** The router lease is gone: the router may be taken for dead. */
    fun routerLeaseLost()

    /** @property until the end of the controller lease on the monotonic clock */
    fun controllerLease(held: Boolean, fencing: Long, until: Duration)

    /** All routers that hold a lease, from a read of the store. */
    fun routersRegistered(routers: Set<RouterId>)

    fun storeAnswered(answered: Boolean)
}

internal class LeaseKeeper(
    private val client: EtcdStore,
    private val scope: CoroutineScope,
    private val self: Member,
    private val routerLease: Duration,
    private val clock: RouterClock,
    private val listener: LeaseListener
) {
    private val renewal = minOf(ROUTER_RENEWAL, routerLease / 3)

    /** Whether this router contends for the controller lease; one for each failure domain does. */
    @Volatile
    var contender = false

    fun start() {
        scope.launch { keepRouterLease() }
        scope.launch { contendForController() }
    }

    private suspend fun keepRouterLease() {
        var lease: LeaseId? = null
        while (scope.isActive) {
            val held = lease
            lease = if (held == null) register() else renew(held)
            if (lease != null) readRouters()
            delay(if (lease == null) RETRY else renewal)
        }
    }

    private suspend fun register(): LeaseId? {
        val sent = clock.now()
        val grant = client.grantLease(routerLease)
        listener.storeAnswered(grant !is LeaseResult.Unavailable)
        val lease = (grant as? LeaseResult.Held)?.id ?: return null
        val value = Json.encodeToString(Member.serializer(), self)
        val write = ConditionalWrite(ROUTERS_PREFIX + self.router.value, 0, value, lease)
        if (client.commit(listOf(write)) !is WriteResult.Applied && !isRegistered()) return null
        listener.routerLeaseRenewed(sent)
        return lease
    }

    /** After a lost answer the registration may stand. */
    private suspend fun isRegistered(): Boolean {
        val read = client.read(ROUTERS_PREFIX + self.router.value)
        return read is ReadResult.Values && read.values.isNotEmpty()
    }

    private suspend fun renew(lease: LeaseId): LeaseId? {
        val sent = clock.now()
        val result = client.keepAlive(lease)
        listener.storeAnswered(result !is LeaseResult.Unavailable)
        return when (result) {
            is LeaseResult.Held -> {
                listener.routerLeaseRenewed(sent)
                lease
            }

            is LeaseResult.Lapsed -> {
                listener.routerLeaseLost()
                lease
            }

            is LeaseResult.Unavailable -> lease
        }
    }

    private suspend fun readRouters() {
        val read = client.readPrefix(ROUTERS_PREFIX)
        if (read !is ReadResult.Values) return
        val routers = read.values.mapTo(HashSet()) { RouterId(it.key.removePrefix(ROUTERS_PREFIX)) }
        if (self.router in routers) listener.routersRegistered(routers)
    }

    /** One router at a time orders endpoints and writes the outcomes of moves. */
    private suspend fun contendForController() {
        while (scope.isActive) {
            if (contender && isControllerFree()) contendOnce()
            delay(CONTROLLER_RETRY)
        }
    }

    /** Most attempts find the lease held, and a read costs less of the store's rate. */
    private suspend fun isControllerFree(): Boolean {
        val read = client.read(CONTROLLER_KEY)
        return read is ReadResult.Values && read.values.isEmpty()
    }

    private suspend fun contendOnce() {
        val sent = clock.now().elapsed
        val grant = client.grantLease(CONTROLLER_LEASE) as? LeaseResult.Held ?: return
        val fencing = acquire(grant.id) ?: return
        hold(grant.id, fencing, sent)
    }

    private suspend fun acquire(lease: LeaseId): Long? {
        // The lease's id tells this write from one under an earlier lease of this router.
        val value = "${self.router} ${lease.value}"
        val write = ConditionalWrite(CONTROLLER_KEY, 0, value, lease)
        return when (val result = client.commit(listOf(write))) {
            is WriteResult.Applied -> result.revision
            is WriteResult.Unknown -> revisionOf(value)
            is WriteResult.Conflict, is WriteResult.NotSent -> null
        }
    }

    /** After a lost answer the key may hold this router's write. */
    private suspend fun revisionOf(value: String): Long? {
        val read = client.read(CONTROLLER_KEY) as? ReadResult.Values ?: return null
        return read.values.firstOrNull { it.value == value }?.revision
    }

    private suspend fun hold(lease: LeaseId, fencing: Long, granted: Duration) {
        var until = granted + CONTROLLER_LEASE - CONTROLLER_MARGIN
        listener.controllerLease(true, fencing, until)
        while (scope.isActive && clock.now().elapsed < until) {
            delay(CONTROLLER_RENEWAL)
            val sent = clock.now().elapsed
            when (client.keepAlive(lease)) {
                is LeaseResult.Held -> {
                    until = sent + CONTROLLER_LEASE - CONTROLLER_MARGIN
                    listener.controllerLease(true, fencing, until)
                }

                is LeaseResult.Lapsed -> break

                is LeaseResult.Unavailable -> Unit
            }
        }
        listener.controllerLease(false, fencing, Duration.ZERO)
    }

    companion object {
        const val ROUTERS_PREFIX = "hemlockpond/routers/"
        private const val CONTROLLER_KEY = "hemlockpond/controller"
        private val RETRY = 1.seconds

        /** One renewal for each router every 30 s: 17 writes/s at 510 routers. */
        private val ROUTER_RENEWAL = 30.seconds
        private val CONTROLLER_LEASE = 10.seconds
        private val CONTROLLER_MARGIN = 2.seconds
        private val CONTROLLER_RENEWAL = 3.seconds
        private val CONTROLLER_RETRY = 5.seconds
    }
}
