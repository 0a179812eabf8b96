/*
 * Follows the keys under one prefix of the store. The host that watches the store for its failure
 * domain reads the prefix once and then watches it; when a watch ends for any reason, it is read again.
 * The other hosts apply the changes that it sends them, and read the prefix when they are told of a newer
 * revision without all changes up to it.
 *
 * A watch delivers every version of a key. A configuration can have hundreds of kilobytes, so a host
 * with a busy link would fall further behind with each of several quick changes. When several versions
 * arrive at once, the host reads the newest one until it has caught up, and then watches again.
 */
package org.hemlockpond.router.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.flow.takeWhile
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withTimeoutOrNull
import org.hemlockpond.core.entry.ChangeRelay
import org.hemlockpond.core.entry.HostName
import org.hemlockpond.core.entry.RelayInbox
import org.hemlockpond.core.entry.RelayedChange
import org.hemlockpond.core.entry.RelayedChanges
import org.hemlockpond.core.entry.StoreReaderRole
import org.hemlockpond.router.LogEvent
import org.hemlockpond.router.log
import org.hemlockpond.store.KeyValueStore
import org.hemlockpond.store.ScanResult
import org.hemlockpond.store.StoreChange
import org.hemlockpond.store.StoredValue

/** What a read or a watch has brought. */
internal enum class Progress {
    UNCHANGED,
    CHANGED,

    /** Several versions of a key came at once, so that the prefix has to be read again. */
    BEHIND
}

/** Applies what is stored under [prefix]; all calls are on the event loop. */
internal interface PrefixListener {
    val prefix: String

    /** The delay between two calls of a watch. */
    val pause: Duration get() = Duration.ZERO

    /** The watch begins, perhaps after an error that broke off what was being applied. */
    fun watchBegins() = Unit

    /** Begins a read of all entries. */
    fun startRead(): PrefixRead

    fun valuesChanged(changes: List<StoreChange>): Progress

    /** Returns those of [changes], as last handled, which other hosts need; null if they must read. */
    fun relevant(changes: List<StoreChange>): List<StoreChange>? = null
}

/** One read of all entries under a prefix; nothing takes effect if it isn't completed. */
internal interface PrefixRead {
    /** Keeps what is used of [entry]. */
    fun entryRead(entry: StoredValue)

    /** Applies what was kept of all entries. */
    fun completed(): Progress
}

/** Whether the store answers this host. */
internal interface StoreContact {
    val isReachable: Boolean

    fun callEnded(answered: Boolean, cause: String?)
}

/**
 * @param probes whether this prefix is read to find out whether a lost store answers again
 * @param now returns the time of the router's clock
 */
internal class PrefixWatch(
    private val store: KeyValueStore,
    private val settings: EntryRouterSettings,
    private val role: StoreReaderRole,
    private val contact: StoreContact,
    private val listener: PrefixListener,
    private val probes: Boolean,
    private val now: () -> Duration
) {
    private val prefix = listener.prefix
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private var toldRevision = -1L
    private var readRevision = -1L
    private var isBehind = false
    private var failures = 0
    private var retryAt = -Duration.INFINITE
    private var lastReadAt = -Duration.INFINITE
    private val inbox = RelayInbox()
    private var teller: HostName? = null

    /** The highest revision of an entry or a change that was applied. */
    private var newestApplied = -1L

    /** The readers that knew less than this host, and after whose message it has read. */
    private val compared = HashSet<HostName>()

    /** What the other hosts of the failure domain get while this one watches for them. */
    val relay = ChangeRelay()

    /** Parts of changes that were applied without a read since the start. */
    var relayedParts = 0L
        private set

    /** The store's revision by which the last change was seen; negative before the first read. */
    var changedAt = -1L
        private set

    /** The reader of the failure domain has seen a change by [revision]. */
    fun revisionTold(from: HostName, revision: Long, changes: RelayedChanges? = null) {
        toldRevision = maxOf(toldRevision, revision)
        changes?.let(inbox::received)
        // A new reader may have missed a change that was undone before it read.
        val isNew = teller != null && teller != from
        if (isNew && revision < newestApplied && compared.add(from)) {
            toldRevision = maxOf(toldRevision, readRevision + 1)
        }
        teller = from
        wakeUp.trySend(Unit)
    }

    /** Follows the prefix; calls [caughtUp] after each read of all entries. */
    suspend fun run(caughtUp: () -> Unit = {}) = coroutineScope {
        readRevision = -1
        isBehind = false
        inbox.clear()
        listener.watchBegins()
        while (isActive) {
            awaitTurn()
            val entries = listener.startRead()
            var newest = -1L
            val read = store.scanPrefix(prefix) { entry ->
                newest = maxOf(newest, entry.revision)
                handled {
                    entries.entryRead(entry)
                    Progress.UNCHANGED
                }
            }
            callEnded((read as? ScanResult.Unavailable)?.cause)
            if (read !is ScanResult.Complete) continue
            val progress = handled { entries.completed() }
            lastReadAt = now()
            applied(newest, progress)
            if (progress != Progress.UNCHANGED) relay.interrupted()
            readRevision = read.revision
            caughtUp()
            // A revision that the store doesn't have must not be looked for without end.
            toldRevision = minOf(toldRevision, readRevision)
            if (changedAt < 0 || progress != Progress.UNCHANGED) changedAt = read.revision
            isBehind = isBehind && progress != Progress.UNCHANGED
            if (isBehind) {
                delay(settings.catchUpDelay)
            } else if (!role.isFollowing(now())) {
                watch(read.revision + 1)
            }
        }
    }

    private suspend fun watch(fromRevision: Long) = store.watch(prefix, fromRevision)
        .catch {
            if (it is Error) throw it
            log(LogEvent.WATCH_ENDED, "prefix" to prefix, cause = it)
        }
        .takeWhile { changes ->
            callEnded(failure = null)
            val progress = handled { listener.valuesChanged(changes) }
            changes.lastOrNull()?.let { readRevision = maxOf(readRevision, it.revision) }
            if (progress != Progress.UNCHANGED) {
                noteChanges(changes)
                applied(readRevision, progress)
                changedAt = maxOf(changedAt, readRevision)
            }
            isBehind = progress == Progress.BEHIND
            delay(listener.pause)
            !isBehind && !role.isFollowing(now())
        }
        .collect()

    private fun noteChanges(changes: List<StoreChange>) {
        val relevant = listener.relevant(changes)
            ?.map { RelayedChange(it.key, it.value, it.revision) }
        if (relevant == null || changedAt < 0) {
            relay.interrupted()
        } else {
            relay.changed(changedAt, readRevision, relevant)
        }
    }

    private fun applied(newest: Long, progress: Progress) {
        if (progress == Progress.UNCHANGED) return
        newestApplied = maxOf(newestApplied, newest)
        compared.clear()
    }

    /** Applies what the reader has sent and follows on what was applied before. */
    private fun applyRelayed() {
        if (readRevision < 0 || isBehind || !role.isFollowing(now())) return
        while (true) {
            val part = inbox.next(readRevision) ?: return
            val changes = part.changes.filter { it.revision > readRevision }
                .map { StoreChange(it.key, it.value, it.revision) }
            applied(part.until, handled { listener.valuesChanged(changes) })
            readRevision = part.until
            changedAt = maxOf(changedAt, part.until)
            relay.interrupted()
            relayedParts++
        }
    }

    private fun callEnded(failure: String?) {
        if (failure == null) {
            role.answered(now())
            failures = 0
            retryAt = -Duration.INFINITE
        } else {
            role.unanswered(now())
            retryAt =
                now() + settings.storeRetryDelay * (1 shl failures.coerceAtMost(MAX_DOUBLINGS))
            failures++
        }
        contact.callEnded(failure == null, failure)
    }

    private suspend fun awaitTurn() {
        while (true) {
            applyRelayed()
            val wait = nextReadAt() - now()
            if (wait <= Duration.ZERO) return
            withTimeoutOrNull(wait.coerceAtMost(MAX_WAIT)) { wakeUp.receive() }
        }
    }

    private fun nextReadAt(): Duration {
        val now = now()
        val isProbe = probes && !contact.isReachable
        return when {
            readRevision < 0 || isBehind -> retryAt

            role.isFollowing(now) && toldRevision > readRevision -> maxOf(
                retryAt,
                lastReadAt + settings.reader.followerReadInterval,
                inbox.readAt(readRevision, toldRevision, now)
            )

            role.isFollowing(now) && isProbe -> retryAt

            !role.isFollowing(now) && !contact.isReachable && !isProbe -> now + MAX_WAIT

            // While nothing is heard, one prefix finds out whether the store answers.
            !probes && role.awaitsProbe(now) -> maxOf(role.readAt(now), now + PROBE_POLL)

            else -> maxOf(role.readAt(now), retryAt)
        }
    }

    /** An entry that causes an exception must not end the watch: the host would stop following it. */
    private inline fun handled(handle: () -> Progress): Progress = try {
        handle()
    } catch (e: RuntimeException) {
        log(LogEvent.CONTROL_FAILED, "prefix" to prefix, cause = e)
        Progress.UNCHANGED
    }

    private companion object {
        const val MAX_DOUBLINGS = 3

        /** How often a prefix that waits for the probe's answer looks for it. */
        val PROBE_POLL = 20.milliseconds

        /** The longest wait before the roles of the hosts are looked at again. */
        val MAX_WAIT = 250.milliseconds
    }
}
