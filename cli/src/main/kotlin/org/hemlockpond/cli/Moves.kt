/*
 * Changes of move records. The rules are those of core.moves; this file reads and writes the store.
 */
package org.hemlockpond.cli

import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import org.hemlockpond.core.FleetConfig
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.VersionId
import org.hemlockpond.core.decodeText
import org.hemlockpond.core.moves.MoveRecord
import org.hemlockpond.core.moves.MoveState
import org.hemlockpond.core.moves.RecordChange
import org.hemlockpond.core.moves.RollbackCause
import org.hemlockpond.core.moves.rollBack
import org.hemlockpond.core.moves.startMove
import org.hemlockpond.settings.ConfigKeys
import org.hemlockpond.store.ConditionalWrite
import org.hemlockpond.store.StoredValue

/** The prefix of all move records. */
internal const val MOVES_PREFIX = "hemlockpond/moves/"

/** The controller writes the same record, so a conflict is usual. */
private const val TAKE_BACK_ATTEMPTS = 30

/** Strict, because a record that is written back without unknown fields would lose them. */
private val moveJson = Json { encodeDefaults = true }
private val configJson = Json { ignoreUnknownKeys = true }

internal fun moveJson(record: MoveRecord) =
    moveJson.encodeToJsonElement(MoveRecord.serializer(), record)

internal class Moves(private val store: Store, private val environment: Environment) {
    fun read(route: RouteId): MoveRecord? = store.get(MoveRecord.key(route))?.let(::decode)

    fun list(): List<MoveRecord> = store.list(MOVES_PREFIX).values.map(::decode)

    /** Starts a move from the version in force; ends the command if that isn't allowed. */
    fun start(
        route: RouteId,
        to: VersionId,
        start: Instant,
        deadline: Instant,
        allowRejected: Boolean
    ): MoveRecord {
        val key = MoveRecord.key(route)
        val declared = declaredVersion(route, to)
        val stored = store.get(key)
        val previous = stored?.let(::decode)
        val from = versionInForce(previous, declared)
        val change =
            startMove(previous, route, from, to, start, deadline, allowRejected = allowRejected)
        val record = when (change) {
            is RecordChange.Refused -> fail(ExitCode.FAILED, change.reason)
            is RecordChange.Unchanged -> return checkNotNull(previous)
            is RecordChange.Write -> change.record
        }
        return when (val commit = write(key, stored?.revision ?: 0, record)) {
            is Commit.Applied -> record
            is Commit.Conflict -> failConflict(key)
            is Commit.NotSent -> fail(ExitCode.UNREACHABLE, unreachable(commit.cause))
            is Commit.Unresolved -> failUnresolved(key, commit.cause)
        }
    }

    /** Rolls the route's move back; a move that is rolled back already stays as it is. */
    fun takeBack(route: RouteId, reason: String): MoveRecord {
        val key = MoveRecord.key(route)
        var number: Long? = null
        repeat(TAKE_BACK_ATTEMPTS) {
            val stored = store.get(key) ?: fail(ExitCode.FAILED, "route $route has no move")
            val record = decode(stored)
            // Another operator may have started the next move since the first attempt.
            if ((number ?: record.number) != record.number) failConflict(key)
            number = record.number
            val change = rollBack(record, RollbackCause.Operator(reason))
            val next = (change as? RecordChange.Write)?.record ?: return record
            when (val commit = write(key, stored.revision, next)) {
                is Commit.Applied -> return next
                is Commit.Conflict -> Unit
                is Commit.NotSent -> fail(ExitCode.UNREACHABLE, unreachable(commit.cause))
                is Commit.Unresolved -> failUnresolved(key, commit.cause)
            }
        }
        failConflict(key)
    }

    /**
     * Waits until the route's move has ended, for [timeout] at most, and returns the last record.
     * While the store can't be reached the wait goes on.
     */
    fun await(route: RouteId, timeout: Duration, poll: Duration): MoveRecord {
        val end = environment.now() + timeout
        var last: MoveRecord? = null
        while (true) {
            val failure = try {
                val record =
                    read(route) ?: fail(ExitCode.FAILED, "route $route has no move")
                val earlier = last
                if (earlier != null && record.number != earlier.number) {
                    val text = "move ${earlier.number} of route $route was replaced"
                    fail(ExitCode.FAILED, "$text by move ${record.number}")
                }
                last = record
                if (record.state != MoveState.RUNNING) return record
                null
            } catch (e: CommandFailure) {
                if (e.outcome.exit != ExitCode.UNREACHABLE) throw e
                e
            }
            if (environment.now() + poll > end) throw failure ?: timedOut(route, timeout)
            environment.sleep(poll)
        }
    }

    private fun timedOut(route: RouteId, timeout: Duration) = CommandFailure(
        Outcome(ExitCode.FAILED, listOf("the move of route $route didn't end within $timeout"))
    )

    private fun declaredVersion(route: RouteId, to: VersionId): VersionId {
        val stored = store.get(ConfigKeys.FLEET)
            ?: fail(ExitCode.FAILED, "the store has no ${ConfigKeys.FLEET}; use apply first")
        val fleet = try {
            configJson.decodeText(FleetConfig.serializer(), stored.value)
        } catch (e: SerializationException) {
            fail(ExitCode.FAILED, "${stored.key} can't be read: ${e.message?.lines()?.first()}")
        }
        val declared = fleet.routes.firstOrNull { it.id == route }
            ?: fail(ExitCode.FAILED, "route $route isn't declared")
        if (fleet.endpoints.none { it.route == route }) {
            fail(ExitCode.FAILED, "route $route has no endpoint that could run $to")
        }
        return declared.version
    }

    private fun decode(stored: StoredValue): MoveRecord = try {
        moveJson.decodeText(MoveRecord.serializer(), stored.value)
    } catch (e: IllegalArgumentException) {
        val cause = e.message?.lines()?.first()
        fail(ExitCode.FAILED, "${stored.key} can't be read by this release: $cause")
    }

    private fun write(key: String, revision: Long, record: MoveRecord): Commit {
        val text = moveJson.encodeToString(MoveRecord.serializer(), record)
        return store.commitResolved(listOf(ConditionalWrite(key, revision, text)))
    }

    private fun failConflict(key: String): Nothing = fail(
        ExitCode.CONFLICT,
        "conflict on $key: it changed since it was read",
        "conflicts" to JsonArray(listOf(JsonPrimitive(key)))
    )

    private fun failUnresolved(key: String, cause: String): Nothing =
        fail(ExitCode.UNREACHABLE, "$key may have been written or not: $cause; see move status")
}

/** The declared version, unless an ended move between declared versions decides. */
internal fun versionInForce(previous: MoveRecord?, declared: VersionId): VersionId {
    val inForce = previous?.versionInForce ?: return declared
    return if (declared == previous.from || declared == previous.to) inForce else declared
}
