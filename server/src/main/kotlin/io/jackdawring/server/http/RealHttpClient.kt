package io.jackdawring.server.http

import io.netty.channel.EventLoopGroup
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.RejectedExecutionException

internal class RealHttpClient(
    private val group: EventLoopGroup,
    private val options: HttpClientOptions,
) : HttpClient {
    private val pools = ConcurrentHashMap<String, HttpConnectionPool>()

    @Volatile
    private var closed = false

    override fun send(
        address: String,
        request: HttpRequestMessage,
        timeoutMillis: Long,
        onResult: (HttpResult) -> Unit,
    ): HttpCall {
        val socketAddress = parseSocketAddress(address)
        val call = PendingHttpCall(request, onResult)
        if (closed || socketAddress == null) {
            val detail = if (closed) "the client is closed" else "\"$address\" is not an address of the form ip:port"
            runOrComplete(call) { group.next().execute { call.complete(HttpResult.NotSent(detail)) } }
            return call
        }
        // An address is bound to one event loop, so its pool needs no locks.
        val pool =
            pools[address]
                ?: pools.computeIfAbsent(address) { createPool(address, socketAddress) }
        call.pool = pool
        runOrComplete(call) { pool.execute { pool.start(call, timeoutMillis) } }
        return call
    }

    /**
     * Creates a pool that is removed once it has no connections, because replaced targets have new addresses.
     *
     * A request that took the pool from the map just before still uses it; the connection limit then applies to each
     * of the two pools.
     */
    private fun createPool(
        address: String,
        socketAddress: InetSocketAddress,
    ) = HttpConnectionPool(group.next(), address, socketAddress, options) { pools.remove(address, it) }

    /** Runs [action]; completes [call] on the current thread if the event loops have stopped. */
    private fun runOrComplete(
        call: PendingHttpCall,
        action: () -> Unit,
    ) = try {
        action()
    } catch (_: RejectedExecutionException) {
        call.complete(HttpResult.NotSent("the event loops are stopped"))
    }

    override fun close() {
        closed = true
        pools.values.forEach { pool ->
            try {
                pool.execute { pool.close() }
            } catch (_: RejectedExecutionException) {
                // The event loops have stopped and closed the connections.
            }
        }
    }
}
