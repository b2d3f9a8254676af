package io.jackdawring.server.http

/** A received request and the means to respond to it. Methods may be called from any thread. */
interface HttpExchange {
    val request: HttpRequestMessage

    /** Answers the request; only the first call has an effect. */
    fun respond(response: HttpResponseMessage)

    /** Closes the connection without a response; no effect after [respond]. */
    fun disconnect()

    /** Answers the request with the result of [build], which may run later on another thread. */
    fun respondWith(build: () -> HttpResponseMessage) = respond(build())

    /** Calls [action] once if the connection closes before the response was written. */
    fun onDisconnected(action: () -> Unit)
}
