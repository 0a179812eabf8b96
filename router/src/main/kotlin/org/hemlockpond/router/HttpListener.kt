/*
 * Binds the router's HTTP ports.
 */
package org.hemlockpond.router

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import java.net.InetSocketAddress

/** Binds [address] and hands each new connection to [accept]. */
internal fun listen(
    address: InetSocketAddress,
    group: EventLoopGroup,
    options: ServerBootstrap.() -> Unit = {},
    accept: (SocketChannel) -> Unit
): Channel = ServerBootstrap()
    .group(group)
    .channel(NioServerSocketChannel::class.java)
    .apply(options)
    .childHandler(
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) = accept(channel)
        }
    )
    .bind(address)
    .sync()
    .channel()

/** Options of callers' connections, of which each holds up to [bufferBytes] that aren't sent. */
internal fun ServerBootstrap.callerOptions(bufferBytes: Int) {
    option(ChannelOption.SO_BACKLOG, BACKLOG)
    childOption(ChannelOption.TCP_NODELAY, true)
    childOption(
        ChannelOption.WRITE_BUFFER_WATER_MARK,
        WriteBufferWaterMark(bufferBytes / 2, bufferBytes)
    )
}

/** Callers that connect at one moment, as after a restart of other routers. */
private const val BACKLOG = 1_024
