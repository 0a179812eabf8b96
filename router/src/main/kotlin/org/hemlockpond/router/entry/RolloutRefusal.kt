/*
 * Rolls back the operator's roll-out orders, which entry hosts don't carry out. All hosts see an
 * order at the same time; random delays let one of them write the state and the others find it.
 */
package org.hemlockpond.router.entry

import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import org.hemlockpond.core.entry.RolloutOrder
import org.hemlockpond.core.entry.ServiceId
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.log
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.KeyValueStore
import org.hemlockpond.store.ReadResult
import org.hemlockpond.store.WriteResult

internal class RolloutRefusal(
    private val store: KeyValueStore,
    private val format: FleetFormat,
    private val settings: EntryRouterSettings,
    private val parts: PartSupervisor,
    private val random: Random = Random.Default
) {
    private val jobs = HashMap<ServiceId, Job>()

    /** Writes that [order] is rolled back, unless its final state is known to the store. */
    fun refuse(order: RolloutOrder) {
        jobs.remove(order.service)?.cancel()
        jobs[order.service] = parts.keepUntilDone("roll-out refusal") {
            delay(MAX_DELAY * random.nextDouble())
            while (!writeIfUndecided(order)) delay(settings.storeRetryDelay)
        }
    }

    /** The order of [service] was withdrawn. */
    fun withdrawn(service: ServiceId) {
        jobs.remove(service)?.cancel()
    }

    /** Returns whether the store holds the final state of [order]. */
    private suspend fun writeIfUndecided(order: RolloutOrder): Boolean {
        val key = format.rolloutStatusKey(order.service)
        val read = store.read(key) as? ReadResult.Values ?: return false
        val status = read.values.firstOrNull()
        if (status != null && format.endsRollout(order, status.value)) return true
        val write = ConditionalWrite(key, status?.revision ?: 0, format.encodeRollback(order))
        // After a conflict or a lost answer the next read shows which state is stored.
        if (store.commit(listOf(write)) !is WriteResult.Applied) return false
        log(LogEvent.ROLLOUT_REFUSED, "service" to order.service, "version" to order.target)
        return true
    }

    private companion object {
        val MAX_DELAY = 1.seconds
    }
}
