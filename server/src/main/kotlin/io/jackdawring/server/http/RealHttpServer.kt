package io.jackdawring.server.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.util.concurrent.GlobalEventExecutor
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

internal class RealHttpServer(
    group: EventLoopGroup,
    requestedAddress: String,
    val options: HttpServerOptions,
    val handler: HttpHandler,
) : HttpServer {
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true)

    /** Bytes of all request bodies that are being received or handled. */
    val bufferedBytes = AtomicLong()

    val openRequests = AtomicInteger()

    override val requestsInProgress: Int get() = openRequests.get()

    private val listener: Channel

    init {
        val socketAddress =
            requireNotNull(parseSocketAddress(requestedAddress)) {
                "\"$requestedAddress\" is not an address of the form ip:port"
            }
        val future =
            ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) = initialize(channel)
                    },
                ).bind(socketAddress)
                .awaitUninterruptibly()
        check(future.isSuccess) { "cannot listen on $requestedAddress: ${future.cause()?.message}" }
        listener = future.channel()
    }

    override val address: String = formatSocketAddress(listener.localAddress() as InetSocketAddress)

    private fun initialize(channel: SocketChannel) {
        val overLimit = connections.size >= options.maxConnections
        connections.add(channel)
        val pipeline = channel.pipeline()
        options.sslContext?.let { pipeline.addLast(it.newHandler(channel.alloc())) }
        val decoderConfig =
            HttpDecoderConfig()
                .setMaxInitialLineLength(options.maxRequestLineBytes)
                .setMaxHeaderSize(options.maxHeaderBytes)
                .setMaxChunkSize(DECODER_CHUNK_BYTES)
        pipeline
            .addLast(StrictRequestDecoder(decoderConfig))
            .addLast(HttpResponseEncoder())
            .addLast(HttpServerConnection(this, overLimit))
    }

    @Volatile
    var closesAfterAnswers = false
        private set

    override fun closeAfterAnswers() {
        closesAfterAnswers = true
    }

    override fun closeIdleConnections() =
        connections.forEach { channel -> channel.pipeline().get(HttpServerConnection::class.java)?.closeIfIdle() }

    override fun stopAccepting() {
        listener.close()
    }

    override fun close() {
        listener.close().awaitUninterruptibly(CLOSE_LIMIT_MILLIS)
        connections.close().awaitUninterruptibly(CLOSE_LIMIT_MILLIS)
    }

    private companion object {
        const val ACCEPT_BACKLOG = 1_024
        const val DECODER_CHUNK_BYTES = 64 * 1024
        const val CLOSE_LIMIT_MILLIS = 2_000L
    }
}
