package io.jackdawring.standins

import io.jackdawring.server.http.HttpCall
import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpHandler
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.http.HttpServer
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import java.util.PriorityQueue
import java.util.concurrent.TimeUnit

/** Timers on a virtual clock; actions run inside [advance]. */
internal class FakeTimers : Timers {
    private class Entry(
        val dueMillis: Long,
        val order: Int,
        val action: () -> Unit,
    )

    private val entries = PriorityQueue<Entry>(compareBy({ it.dueMillis }, { it.order }))
    private var order = 0
    private var nowMillis = 0L

    override fun nowMillis(): Long = nowMillis

    override fun scheduleNanos(
        delayNanos: Long,
        action: () -> Unit,
    ): TimerHandle {
        val entry = Entry(nowMillis + TimeUnit.NANOSECONDS.toMillis(delayNanos), order++, action).also(entries::add)
        return TimerHandle { entries.remove(entry) }
    }

    fun advance(millis: Long) {
        val endMillis = nowMillis + millis
        while (true) {
            val next = entries.peek()?.takeIf { it.dueMillis <= endMillis } ?: break
            entries.remove(next)
            nowMillis = next.dueMillis
            next.action()
        }
        nowMillis = endMillis
    }

    override fun close() = entries.clear()
}

/** An exchange without a network; [status] is 0 while open and -1 after a disconnect without a response. */
internal class FakeExchange(
    override val request: HttpRequestMessage,
) : HttpExchange {
    var status = 0
        private set
    var response: HttpResponseMessage? = null
        private set
    private var onDisconnected: () -> Unit = {}
    val body: String get() = response?.body?.decodeToString().orEmpty()

    override fun respond(response: HttpResponseMessage) {
        if (status != 0) return
        status = response.status
        this.response = response
    }

    override fun disconnect() {
        if (status == 0) status = -1
    }

    override fun onDisconnected(action: () -> Unit) {
        onDisconnected = action
    }

    fun disconnectClient() {
        disconnect()
        onDisconnected()
    }
}

/** A server without a network; [call] passes a request directly to the handler. */
internal class FakeHttp : HttpServer.Factory {
    private lateinit var handler: HttpHandler

    override fun start(
        address: String,
        handler: HttpHandler,
    ): HttpServer {
        this.handler = handler
        return object : HttpServer {
            override val address = address

            override val requestsInProgress = 0

            override fun stopAccepting() = Unit

            override fun closeIdleConnections() = Unit

            override fun closeAfterAnswers() = Unit

            override fun close() = Unit
        }
    }

    /** Sends `METHOD /path?query` with [body]. */
    fun call(
        requestLine: String,
        body: String = "",
        vararg headers: Pair<String, String>,
    ): FakeExchange {
        val (method, target) = requestLine.split(' ')
        val query =
            target.substringAfter('?', "").split('&').filter { it.isNotEmpty() }.associate {
                it.substringBefore('=') to it.substringAfter('=')
            }
        val request =
            HttpRequestMessage(
                method,
                target.substringBefore('?'),
                query.toImmutableMap(),
                persistentMapOf(*headers),
                body.encodeToByteArray(),
            )
        return FakeExchange(request).also(handler::handle)
    }
}

/** A client that records the requests it was asked to send and answers 204. */
internal class FakeClient : HttpClient {
    val sent = mutableListOf<HttpRequestMessage>()

    override fun send(
        address: String,
        request: HttpRequestMessage,
        timeoutMillis: Long,
        onResult: (HttpResult) -> Unit,
    ): HttpCall {
        sent += request
        onResult(HttpResult.Answered(HttpResponseMessage(204)))
        return object : HttpCall {
            override fun cancel() = Unit
        }
    }

    override fun close() = Unit
}
