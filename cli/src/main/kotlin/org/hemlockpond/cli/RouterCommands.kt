/*
 * `hemlockpond status` and `hemlockpond router declare-gone`.
 */
package org.hemlockpond.cli

import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.help
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path
import org.hemlockpond.settings.ConfigKeys
import org.hemlockpond.settings.SocketAddress
import org.hemlockpond.store.ConditionalWrite

internal class StatusCommand(environment: Environment) :
    RemoteCommand(environment, "status", "Shows the status of a router.") {
    private val router by option(
        "--router",
        help = "operator address host:port, or an http or https URL",
        envvar = "HEMLOCKPOND_ROUTER"
    )

    private val tokenFile by option(
        "--token-file",
        help = "file with the operator token",
        envvar = "HEMLOCKPOND_TOKEN_FILE"
    ).path()

    override fun execute(): Outcome {
        val file = tokenFile ?: settings?.operatorTokenFile
            ?: throw UsageError("the token is missing; use --token-file or --settings")
        val status = OperatorClient(address(), readToken(file)).get("/operator/status")
        return Outcome(ExitCode.SUCCESS, pretty(status).lines(), jsonOf("status" to status))
    }

    private fun address(): URI {
        val text = router
        if (text == null) {
            val known = settings
                ?: throw UsageError("the router is missing; use --router or --settings")
            val scheme = if (known.tls == null) "http" else "https"
            return URI("$scheme://${known.listen.operators}/")
        }
        if (SocketAddress.parse(text) != null) return URI("http://$text/")
        return try {
            URI(text).takeIf { it.scheme in setOf("http", "https") && it.host != null }
        } catch (_: java.net.URISyntaxException) {
            null
        } ?: throw UsageError("--router $text is neither host:port nor an http or https URL")
    }

    private fun readToken(file: Path): String {
        val token = try {
            Files.readString(file).trimEnd('\r', '\n')
        } catch (e: java.io.IOException) {
            fail(ExitCode.REFUSED, "$file can't be read (${e.javaClass.simpleName})")
        }
        // A header with other characters would be refused with a message that shows the token.
        if (token.isEmpty() || !token.all { it in '!'..'~' }) {
            fail(ExitCode.REFUSED, "$file holds no token of visible ASCII characters")
        }
        return token
    }
}

/** Routers learn of these entries like of any configuration, also from peers. */
internal const val GONE_PREFIX = ConfigKeys.PREFIX + "gone/"

internal class DeclareGoneCommand(environment: Environment) :
    RemoteCommand(
        environment,
        "declare-gone",
        "Declares that a router's process has ended and can never resume, so that its budget" +
            " slices are closed."
    ) {
    private val router by argument().help("the router's id, one run of its process")

    private val confirmed by option(
        "--yes",
        help = "confirm that the host is off; if it still runs, budgets can be overspent"
    ).flag()

    override fun execute(): Outcome {
        if (!routerId.matches(router)) throw UsageError("$router isn't a router id")
        if (!confirmed) throw UsageError("use --yes to confirm that the host of $router is off")
        val key = GONE_PREFIX + router
        return withStore { store ->
            if (store.get(key) != null) return@withStore outcome("$router was declared gone before")
            // A lapsed registration is no reason to refuse: a slice may be left whose router ended
            // while no other router ran to see it.
            registered = store.get(ROUTERS_PREFIX + router) != null
            val value = jsonOf("router" to router, "declaredAt" to environment.now())
            val write = ConditionalWrite(key, 0, value.toString())
            when (val commit = store.commitResolved(listOf(write))) {
                is Commit.Applied -> outcome("$router is declared gone")

                // Only another declaration writes this key, and it says the same.
                is Commit.Conflict -> outcome("$router was declared gone before")

                is Commit.NotSent -> fail(ExitCode.UNREACHABLE, unreachable(commit.cause))

                is Commit.Unresolved -> fail(
                    ExitCode.UNREACHABLE,
                    "$key may have been written or not: ${commit.cause}; send it again"
                )
            }
        }
    }

    private var registered: Boolean? = null

    private fun outcome(line: String): Outcome {
        val hint = "$router isn't registered in the store; check that this is its id"
        return Outcome(
            ExitCode.SUCCESS,
            listOfNotNull(line, hint.takeIf { registered == false }),
            jsonOf("router" to router, "registered" to registered)
        )
    }

    private companion object {
        /** The host's name and the incarnation. */
        val routerId = Regex("[a-z0-9][a-z0-9._-]{0,62}/[A-Za-z0-9-]{1,64}")
        const val ROUTERS_PREFIX = "hemlockpond/routers/"
    }
}
