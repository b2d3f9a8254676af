package io.jackdawring.server.http

/** One request that a server received, with the means to answer it. Methods may be called from any thread. */
interface HttpExchange {
    val request: HttpRequestMessage

    /** Answers the request; only the first call has an effect. */
    fun respond(response: HttpResponseMessage)

    /** Closes the connection without an answer; no effect after [respond]. */
    fun disconnect()

    /** Answers the request with the result of [build], which may run later on another thread. */
    fun respondWith(build: () -> HttpResponseMessage) = respond(build())

    /** Calls [action] once if the connection closes before the answer was written. */
    fun onDisconnected(action: () -> Unit)
}
