/*
 * Sends a bounded number of requests to one router and relates the cost of its control thread,
 * store calls and peer bytes to them, as input for capacity planning.
 */
package org.hemlockpond.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicInteger

internal class LoadCommand : CliktCommand(name = "load") {
    private val url by option(help = "address of the router's callers' port").required()
    private val key by option(help = "bearer key").required()
    private val requests by option(help = "requests in all").int().default(1_000)
    private val rate by option(help = "requests a second").double().default(50.0)
    private val tokens by option(help = "answer tokens of each request").int().default(16)
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    override fun help(context: Context) = "Loads a router and prints what each request cost."

    override fun run() {
        val idle = measure { Thread.sleep(IDLE_MILLIS) }
        val succeeded = AtomicInteger()
        val loaded = measure { send(succeeded) }
        echo("requests        $requests at $rate/s, ${succeeded.get()} answered")
        echo("seconds         ${loaded.seconds}")
        row("control CPU, ms", loaded, idle, MILLIS_PER_SECOND) { it.controlSeconds }
        row("store calls", loaded, idle, 1.0) { it.storeCalls }
        row("peer bytes", loaded, idle, 1.0) { it.peerBytes }
        echo("heap at the end ${loaded.heapBytes.toLong()} bytes")
    }

    private fun row(
        name: String,
        loaded: Sample,
        idle: Sample,
        scale: Double,
        value: (Sample) -> Double
    ) {
        val idleRate = value(idle) / idle.seconds * scale
        val extra = value(loaded) * scale - idleRate * loaded.seconds
        val text = "%-16s idle %.3f a second, %.4f more for each request"
        echo(text.format(name, idleRate, extra / requests))
    }

    private fun send(succeeded: AtomicInteger) {
        val start = System.nanoTime()
        val answers = List(requests) { i ->
            val due = start + (i / rate * NANOS_PER_SECOND).toLong()
            val wait = (due - System.nanoTime()) / NANOS_PER_MILLI
            if (wait > 0) Thread.sleep(wait)
            request(i).thenAccept { if (it.statusCode() == OK) succeeded.incrementAndGet() }
        }
        answers.forEach { answer -> answer.exceptionally { null }.join() }
    }

    private fun request(i: Int): CompletableFuture<HttpResponse<Void>> {
        val body = """{"model":"advisor","stream":true,"max_tokens":$tokens,
            "messages":[{"role":"user","content":"question $i"}]}"""
        val request = HttpRequest.newBuilder(URI("$url/v1/chat/completions"))
            .header("Authorization", "Bearer $key")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build()
        return client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
    }

    private class Sample(
        val seconds: Double,
        val controlSeconds: Double,
        val storeCalls: Double,
        val peerBytes: Double,
        val heapBytes: Double
    )

    private fun measure(block: () -> Unit): Sample {
        val before = scrape()
        val start = System.nanoTime()
        block()
        val seconds = (System.nanoTime() - start) / NANOS_PER_SECOND
        val after = scrape()
        fun grown(name: String) = (after[name] ?: 0.0) - (before[name] ?: 0.0)
        return Sample(
            seconds,
            grown("hemlockpond_control_cpu_seconds"),
            grown("hemlockpond_store_calls"),
            grown("hemlockpond_peer_sent_bytes"),
            after["hemlockpond_heap_bytes"] ?: 0.0
        )
    }

    private fun scrape(): Map<String, Double> {
        val request = HttpRequest.newBuilder(URI("$url/metrics")).build()
        return client.send(request, HttpResponse.BodyHandlers.ofString()).body().lineSequence()
            .filterNot { it.startsWith("#") || it.isBlank() }
            .associate { it.substringBeforeLast(' ') to it.substringAfterLast(' ').toDouble() }
    }

    private companion object {
        const val IDLE_MILLIS = 5_000L
        const val OK = 200
        const val MILLIS_PER_SECOND = 1_000.0
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
