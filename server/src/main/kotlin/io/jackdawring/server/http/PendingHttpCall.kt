package io.jackdawring.server.http

import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledFuture

/** A request of an [HttpConnectionPool]; all state but [pool] is confined to the pool's event loop. */
internal class PendingHttpCall(
    val request: HttpRequestMessage,
    private val onResult: (HttpResult) -> Unit,
) : HttpCall {
    @Volatile
    var pool: HttpConnectionPool? = null
    var connection: HttpClientConnection? = null
    var timeout: ScheduledFuture<*>? = null
    var completed = false
        private set

    override fun cancel() {
        val pool = pool ?: return
        try {
            pool.execute { pool.abort(this, "cancelled", cancelled = true) }
        } catch (_: RejectedExecutionException) {
            // The event loops have stopped and closed the connection.
        }
    }

    fun complete(result: HttpResult) {
        if (completed) return
        completed = true
        timeout?.cancel(false)
        timeout = null
        onResult(result)
    }
}
