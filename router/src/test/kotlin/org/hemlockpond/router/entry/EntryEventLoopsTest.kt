package org.hemlockpond.router.entry

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertSame
import kotlin.test.assertTrue

/** Tests connections whose allocations exceed the limit of direct memory. */
class EntryEventLoopsTest {
    private var used = 0L
    private val allocator =
        BoundedAllocator(ByteBufAllocator.DEFAULT, limit = LIMIT) { used }
    private val group = EntryEventLoops(allocator)

    @AfterTest
    fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun allocationOverTheLimitFailsAtOnce() {
        used = LIMIT - 100
        allocator.directBuffer(100).release()
        assertFailsWith<DirectMemoryUsedUp> { allocator.directBuffer(101) }
        assertFailsWith<DirectMemoryUsedUp> { allocator.ioBuffer(101) }
        assertFailsWith<DirectMemoryUsedUp> { allocator.compositeBuffer().writeZero(1_000) }
        allocator.heapBuffer(101).release()
    }

    @Test
    fun limitOfTheProcessLiesBelowThatOfTheJvm() {
        val max = io.netty.util.internal.PlatformDependent.maxDirectMemory()
        val bounded = BoundedAllocator(UnpooledByteBufAllocator.DEFAULT) { max * 9 / 10 }
        assertFailsWith<DirectMemoryUsedUp> { bounded.directBuffer(1) }
    }

    /** Guards against an event loop that ends, or closes other connections, when memory is short. */
    @Test
    fun readThatFindsNoMemoryClosesItsConnectionAlone() {
        val server = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .childHandler(handlers { Echo() })
            .bind(InetSocketAddress("127.0.0.1", 0)).sync().channel()
        val address = server.localAddress() as InetSocketAddress
        Socket(address.address, address.port).use { kept ->
            assertTrue(echoes(kept))
            Socket(address.address, address.port).use { lacking ->
                assertTrue(echoes(lacking))
                group.submit { used = LIMIT }.sync()
                lacking.getOutputStream().write(1)
                assertEquals(-1, readOrEnd(lacking))
            }
            group.submit { used = 0L }.sync()
            assertTrue(echoes(kept))
        }
        val client = Bootstrap().group(group).channel(NioSocketChannel::class.java)
            .handler(handlers { Echo() }).connect(address).sync().channel()
        assertSame<ByteBufAllocator>(allocator, client.alloc())
    }

    @Test
    fun writeThatFindsNoMemoryClosesItsConnection() {
        val server = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .childHandler(handlers { Echo(beforeWrite = { used = LIMIT }) })
            .bind(InetSocketAddress("127.0.0.1", 0)).sync().channel()
        val address = server.localAddress() as InetSocketAddress
        Socket(address.address, address.port).use {
            it.getOutputStream().write(1)
            assertEquals(-1, readOrEnd(it))
        }
    }

    private fun handlers(create: () -> Echo) = object : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(create(), FailedWriteHandler())
        }
    }

    /** Answers with a heap buffer, for which a write allocates direct memory. */
    private class Echo(private val beforeWrite: () -> Unit = {}) : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            val bytes = Unpooled.buffer().writeBytes(message as ByteBuf)
            message.release()
            beforeWrite()
            context.channel().writeAndFlush(bytes)
        }

        @Deprecated("Netty's own deprecation of the handler method")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = Unit
    }

    private fun echoes(socket: Socket): Boolean {
        socket.soTimeout = TIMEOUT_MILLIS
        socket.getOutputStream().write(MARK)
        return socket.getInputStream().read() == MARK
    }

    private fun readOrEnd(socket: Socket): Int {
        socket.soTimeout = TIMEOUT_MILLIS
        return try {
            socket.getInputStream().read()
        } catch (e: java.net.SocketTimeoutException) {
            throw e
        } catch (_: java.io.IOException) {
            -1
        }
    }

    private companion object {
        const val LIMIT = 1_000_000L
        const val TIMEOUT_MILLIS = 5_000
        const val MARK = 7
    }
}
