package io.jackdawring.server.http

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** Event loops with the HTTP servers and clients that run on them; closing it stops them all. */
class HttpTransport(
    threads: Int = 2,
    name: String = "http",
) : AutoCloseable {
    private val group =
        MultiThreadIoEventLoopGroup(threads, DefaultThreadFactory(name, true), NioIoHandler.newFactory())

    /** Factory of servers with the limits in [options]; starting one fails with [IllegalStateException] if it cannot bind. */
    fun serverFactory(options: HttpServerOptions = HttpServerOptions()): HttpServer.Factory =
        HttpServer.Factory { address, handler -> RealHttpServer(group, address, options, handler) }

    /** A client with the limits in [options]. */
    fun client(options: HttpClientOptions = HttpClientOptions()): HttpClient = RealHttpClient(group, options)

    /** The next event loop in rotation, for tasks and timers that do not block. */
    internal fun nextLoop(): EventLoop = group.next()

    /** One of the event loops; if there is only one, its tasks never run concurrently with request handlers. */
    fun executor(): ScheduledExecutorService = nextLoop()

    override fun close() {
        group.shutdownGracefully(0, SHUTDOWN_LIMIT_MILLIS, TimeUnit.MILLISECONDS).await(SHUTDOWN_LIMIT_MILLIS)
    }

    private companion object {
        const val SHUTDOWN_LIMIT_MILLIS = 2_000L
    }
}
