package io.jackdawring.server.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.ConnectException
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Connections of a client to one address; all state is confined to [loop]. */
internal class HttpConnectionPool(
    private val loop: EventLoop,
    private val address: String,
    private val socketAddress: InetSocketAddress,
    private val options: HttpClientOptions,
    private val onEmpty: (HttpConnectionPool) -> Unit,
) {
    private val idle = ArrayDeque<HttpClientConnection>()
    private val open = HashSet<HttpClientConnection>()
    private val waiting = ArrayDeque<PendingHttpCall>()
    private var connecting = 0
    private var idleCheckScheduled = false
    private var closed = false

    fun execute(action: () -> Unit) = if (loop.inEventLoop()) action() else loop.execute(action)

    fun start(
        call: PendingHttpCall,
        timeoutMillis: Long,
    ) {
        if (closed) {
            call.complete(HttpResult.NotSent("the client is closed"))
            return
        }
        if (call.completed) return
        call.timeout = loop.schedule({ onTimeout(call) }, timeoutMillis, TimeUnit.MILLISECONDS)
        val connection = takeIdle()
        val maximum = options.maxConnectionsPerAddress
        when {
            connection != null -> connection.send(call)
            maximum == null || open.size + connecting < maximum -> connect(call)
            waiting.size < options.maxWaitingPerAddress -> waiting.addLast(call)
            else -> call.complete(HttpResult.NotSent("too many requests wait for a connection to $address"))
        }
    }

    /** Lets a busy event loop read once more before [call] is aborted: its response may have arrived in time. */
    private fun onTimeout(call: PendingHttpCall) {
        if (call.completed) return
        call.timeout = loop.schedule({ abort(call, "timed out") }, FINAL_READ_DELAY_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Takes the most recently used connection, so that surplus ones reach the idle timeout. */
    private fun takeIdle(): HttpClientConnection? {
        while (idle.isNotEmpty()) {
            val connection = idle.removeLast()
            if (connection.isUsable) return connection
        }
        return null
    }

    private fun connect(call: PendingHttpCall) {
        connecting++
        lateinit var connection: HttpClientConnection
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, options.connectTimeoutMillis)
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        connection = HttpClientConnection(this@HttpConnectionPool, address, options)
                        connection.install(channel, socketAddress.address.hostAddress, socketAddress.port)
                    }
                },
            ).connect(socketAddress)
            .addListener(ChannelFutureListener { future -> execute { onConnect(future.cause(), call) { connection } } })
    }

    /** A timeout has the same type, but a host that is cut off does not refuse connections. */
    private fun isRefusal(cause: Throwable) =
        cause is ConnectException && cause !is ConnectTimeoutException && "refused" in cause.message.orEmpty()

    private fun onConnect(
        cause: Throwable?,
        call: PendingHttpCall,
        connection: () -> HttpClientConnection,
    ) {
        connecting--
        when {
            cause != null -> {
                val detail = "cannot connect to $address: ${cause.message}"
                call.complete(HttpResult.NotSent(detail, refused = isRefusal(cause)))
                serveWaiting()
            }

            closed -> {
                connection().close()
                call.complete(HttpResult.NotSent("the client is closed"))
            }

            else -> {
                open.add(connection())
                if (call.completed) release(connection()) else connection().send(call)
            }
        }
    }

    /** Takes back a connection whose request is complete, for the next waiting request or as an idle connection. */
    fun release(connection: HttpClientConnection) {
        if (!connection.isUsable) {
            connection.close()
            return
        }
        val next = takeWaiting()
        if (next != null) {
            connection.send(next)
            return
        }
        connection.idleSinceNanos = System.nanoTime()
        idle.addLast(connection)
        scheduleIdleCheck()
    }

    /** Removes a closed connection. */
    fun onClosed(connection: HttpClientConnection) {
        open.remove(connection)
        idle.remove(connection)
        serveWaiting()
    }

    private fun serveWaiting() {
        if (open.isEmpty() && connecting == 0 && waiting.isEmpty()) onEmpty(this)
        val maximum = options.maxConnectionsPerAddress ?: return
        if (closed || open.size + connecting >= maximum) return
        takeWaiting()?.let(::connect)
    }

    private fun takeWaiting(): PendingHttpCall? {
        while (waiting.isNotEmpty()) {
            val call = waiting.removeFirst()
            if (!call.completed) return call
        }
        return null
    }

    /** Completes [call] without a response and closes its connection, if it has one. */
    fun abort(
        call: PendingHttpCall,
        reason: String,
        cancelled: Boolean = false,
    ) {
        if (call.completed) return
        val connection = call.connection
        if (connection == null) {
            waiting.remove(call)
            call.complete(HttpResult.NotSent("$reason before a connection to $address was available", cancelled))
        } else {
            connection.fail("$reason while waiting for $address", cancelled)
        }
    }

    private fun scheduleIdleCheck() {
        if (idleCheckScheduled) return
        idleCheckScheduled = true
        loop.schedule(::closeIdle, options.idleTimeoutMillis, TimeUnit.MILLISECONDS)
    }

    private fun closeIdle() {
        idleCheckScheduled = false
        val cutoffNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(options.idleTimeoutMillis)
        while (idle.isNotEmpty() && idle.first().idleSinceNanos - cutoffNanos <= 0) idle.removeFirst().close()
        if (idle.isNotEmpty()) scheduleIdleCheck()
    }

    fun close() {
        closed = true
        waiting.toList().forEach { it.complete(HttpResult.NotSent("the client is closed")) }
        waiting.clear()
        open.toList().forEach { it.fail("the client is closed") }
    }

    private companion object {
        /** Shortest delay after which the event loop reads its sockets before it runs the scheduled task. */
        const val FINAL_READ_DELAY_MILLIS = 1L
    }
}
