/*
 * `hemlockpond move start|status|wait|take-back`.
 */
package org.hemlockpond.cli

import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.help
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.VersionId
import org.hemlockpond.core.moves.Finding
import org.hemlockpond.core.moves.MoveRecord
import org.hemlockpond.core.moves.MoveState
import org.hemlockpond.core.moves.RollbackCause
import org.hemlockpond.settings.parseSpan

/** The store answers about 2,000 reads a second for the whole fleet. */
private val minPoll = 200.milliseconds

internal class MoveStartCommand(environment: Environment) :
    RemoteCommand(environment, "start", "Starts a version move of a route.") {
    private val route by argument().help("the route to move")

    private val to by option("--to", help = "the new version").required()

    private val start by option("--start", help = "when to start: a span from now or an instant")
        .default("0s")

    private val deadline by option(
        "--deadline",
        help = "when a good version must have taken over: a span from the start or an instant"
    ).required()

    private val allowRejected by option(
        "--allow-rejected",
        help = "move to a version that was rolled back on this route"
    ).flag()

    override fun execute(): Outcome {
        val from = instant("--start", start, environment.now())
        val until = instant("--deadline", deadline, from)
        if (until <= environment.now()) throw UsageError("--deadline $deadline has passed")
        return withStore { store ->
            val record = Moves(store, environment)
                .start(
                    RouteId(named("route", route)),
                    VersionId(named("version", to)),
                    from,
                    until,
                    allowRejected
                )
            Outcome(ExitCode.SUCCESS, lines(record), jsonOf("move" to moveJson(record)))
        }
    }
}

private fun instant(option: String, text: String, base: Instant): Instant =
    parseSpan(text)?.let { base + it }
        ?: Instant.parseOrNull(text)
        ?: throw UsageError("$option $text is neither a span such as 2h nor an ISO 8601 instant")

private fun span(option: String, text: String): Duration =
    parseSpan(text) ?: throw UsageError("$option $text isn't a time span such as 200ms or 6h")

internal class MoveStatusCommand(environment: Environment) :
    RemoteCommand(environment, "status", "Shows the move of a route, or of all routes.") {
    private val route by argument().optional().help("the route")

    override fun execute(): Outcome = withStore { store ->
        val moves = Moves(store, environment)
        val name = route
        if (name == null) {
            val records = moves.list()
            Outcome(
                ExitCode.SUCCESS,
                records.flatMap(::lines).ifEmpty { listOf("no route has a move") },
                jsonOf("moves" to records.map(::moveJson))
            )
        } else {
            val record = moves.read(RouteId(named("route", name)))
                ?: fail(ExitCode.FAILED, "route $name has no move")
            Outcome(ExitCode.SUCCESS, lines(record), jsonOf("move" to moveJson(record)))
        }
    }
}

internal class MoveWaitCommand(environment: Environment) :
    RemoteCommand(environment, "wait", "Waits until the move of a route has ended.") {
    private val route by argument().help("the route")

    private val timeout by option("--timeout", help = "how long to wait").default("1h")

    private val poll by option("--poll", help = "the time between reads").default("2s")

    override fun execute(): Outcome {
        val limit = span("--timeout", timeout)
        val pause = maxOf(span("--poll", poll), minPoll)
        return withStore { store ->
            val record = Moves(
                store,
                environment
            ).await(RouteId(named("route", route)), limit, pause)
            val exit = if (record.state == MoveState.DONE) ExitCode.SUCCESS else ExitCode.FAILED
            Outcome(exit, lines(record), jsonOf("move" to moveJson(record)))
        }
    }
}

internal class MoveTakeBackCommand(environment: Environment) :
    RemoteCommand(environment, "take-back", "Rolls the move of a route back, for good.") {
    private val route by argument().help("the route")

    private val reason by option("--reason", help = "kept in the move's record")
        .default("taken back on the command line")

    override fun execute(): Outcome = withStore { store ->
        val record = Moves(store, environment).takeBack(RouteId(named("route", route)), reason)
        Outcome(ExitCode.SUCCESS, lines(record), jsonOf("move" to moveJson(record)))
    }
}

private fun lines(record: MoveRecord): List<String> = buildList {
    val state = record.state.name.lowercase().replace('_', ' ')
    add("route ${record.route}, move ${record.number}: ${record.from} to ${record.to}, $state")
    add("start ${record.start}, deadline ${record.deadline}")
    val placed = record.reportedVersions.values.count { it == record.to }
    if (record.state == MoveState.RUNNING) add("$placed endpoints run ${record.to}")
    when (val cause = record.cause) {
        is RollbackCause.Operator -> add("taken back by an operator: ${cause.reason}")
        is RollbackCause.Worse -> add(evidence(cause.finding))
        null -> Unit
    }
}

private fun evidence(finding: Finding): String {
    val metric = finding.metric.name.lowercase().replace('_', ' ')
    val new = "${finding.newBad} of ${finding.newTotal}"
    val old = "${finding.oldBad} of ${finding.oldTotal}"
    return "$metric: $new with the new version, $old with the old one" +
        " (e-value ${"%.3g".format(java.util.Locale.ROOT, finding.eValue)})" +
        finding.domains.joinToString().let { if (it.isEmpty()) "" else " in $it" }
}
