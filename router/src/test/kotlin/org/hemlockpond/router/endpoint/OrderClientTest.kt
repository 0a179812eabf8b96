package org.hemlockpond.router.endpoint

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import org.hemlockpond.core.EndpointConfig
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouteId
import org.hemlockpond.core.VersionId
import org.hemlockpond.core.moves.EndpointOrder
import org.hemlockpond.core.moves.OrderAnswer

/** Tests an engine that answers an order again before it answers the next on the same connection. */
class OrderClientTest {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = OrderClient(group)

    @AfterTest
    fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
        server.close()
    }

    private fun serve() = thread(isDaemon = true) {
        try {
            while (true) {
                val socket = server.accept()
                thread(isDaemon = true) { answerOrders(socket) }
            }
        } catch (_: java.io.IOException) {
            // The test has ended.
        }
    }

    private fun answerOrders(socket: Socket) {
        var earlier = ""
        while (true) {
            val version = readVersion(socket) ?: return
            val body = """{"version":"$version"}"""
            val answer = "HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n$body"
            socket.getOutputStream().write((earlier + answer).toByteArray())
            earlier = answer
        }
    }

    private fun readVersion(socket: Socket): String? {
        val read = StringBuilder()
        while (!read.endsWith("}")) {
            val byte = socket.getInputStream().read()
            if (byte < 0) return null
            read.append(byte.toChar())
        }
        return read.toString().substringAfter("\"version\":\"").substringBefore('"')
    }

    private fun load(version: String): OrderAnswer {
        val endpoint = EndpointConfig(
            id = EndpointId("e"),
            route = RouteId("m"),
            version = VersionId("1"),
            domain = FailureDomain("a"),
            host = "127.0.0.1",
            port = server.localPort
        )
        val answer = CompletableFuture<OrderAnswer>()
        val order = EndpointOrder.Load(VersionId(version))
        client.order(endpoint, order, fencing = 1) { answer.complete(it) }
        return answer.get(5, TimeUnit.SECONDS)
    }

    /** Guards against taking the second answer to an order for the answer to the next one. */
    @Test
    fun secondAnswerToAnEarlierOrderIsNotTaken() {
        serve()
        assertEquals(OrderAnswer.Runs(VersionId("v1")), load("v1"))
        assertEquals(OrderAnswer.Runs(VersionId("v2")), load("v2"))
    }

    private companion object {
        const val BACKLOG = 10
    }
}
