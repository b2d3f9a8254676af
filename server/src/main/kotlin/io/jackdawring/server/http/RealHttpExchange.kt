package io.jackdawring.server.http

import java.util.concurrent.atomic.AtomicReference

internal class RealHttpExchange(
    private val connection: HttpServerConnection,
    override val request: HttpRequestMessage,
    val keepAlive: Boolean,
    val headOnly: Boolean,
) : HttpExchange {
    private val answer = AtomicReference<HttpResponseMessage?>()

    /** Accessed only on the event loop. */
    private var disconnectActions: MutableList<() -> Unit>? = null
    private var disconnected = false
    private var written = false

    val response: HttpResponseMessage? get() = answer.get().takeIf { it !== DISCONNECT }

    override fun respond(response: HttpResponseMessage) {
        if (answer.compareAndSet(null, response)) connection.execute { connection.writeAnswers() }
    }

    override fun disconnect() {
        if (answer.compareAndSet(null, DISCONNECT)) connection.execute { connection.close() }
    }

    /** Builds the response on the event loop, so that encoding a large one does not delay the calling thread. */
    override fun respondWith(build: () -> HttpResponseMessage) = connection.execute { respond(build()) }

    override fun onDisconnected(action: () -> Unit) =
        connection.execute {
            when {
                written -> Unit
                disconnected -> action()
                else -> (disconnectActions ?: ArrayList<() -> Unit>(1).also { disconnectActions = it }).add(action)
            }
        }

    fun markWritten() {
        written = true
        disconnectActions = null
    }

    fun markDisconnected() {
        disconnected = true
        val actions = disconnectActions ?: return
        disconnectActions = null
        actions.forEach { it() }
    }

    private companion object {
        /** Set instead of a response, so that a later one has no effect. */
        val DISCONNECT = HttpResponseMessage(0)
    }
}
