/*
 * A small caller for the demo, so that it needs no HTTP tool on the machine.
 */
package org.hemlockpond.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Sends one request and prints the answer as it arrives. */
internal class CallCommand : CliktCommand(name = "call") {
    private val url by option(help = "the whole URL").required()
    private val key by option(help = "bearer key")
    private val body by option(help = "JSON to post; without it the request is a GET")
    private val idempotencyKey by option(help = "value of Idempotency-Key")
    private val quiet by option(help = "print nothing").flag()

    override fun run() {
        val builder = HttpRequest.newBuilder(URI(url)).timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
        key?.let { builder.header("Authorization", "Bearer $it") }
        idempotencyKey?.let { builder.header("Idempotency-Key", it) }
        body?.let {
            builder.header("Content-Type", "application/json")
            builder.POST(HttpRequest.BodyPublishers.ofString(it))
        }
        val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
        val answer = try {
            client.send(builder.build(), HttpResponse.BodyHandlers.ofLines())
        } catch (e: IOException) {
            if (!quiet) echo("$url: ${e.message}", err = true)
            throw ProgramResult(1)
        }
        val lines = answer.body().toList()
        if (!quiet) lines.filter { it.isNotEmpty() }.forEach { echo(it) }
        if (answer.statusCode() != OK) throw ProgramResult(1)
    }

    private companion object {
        const val TIMEOUT_SECONDS = 30L
        const val OK = 200
    }
}
