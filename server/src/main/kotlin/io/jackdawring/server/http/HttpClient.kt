package io.jackdawring.server.http

/** An HTTP/1.1 client that keeps connections open and sends one request at a time on each. */
interface HttpClient : AutoCloseable {
    /**
     * Sends [request] to [address] (`ip:port`) and calls [onResult] exactly once: on an event loop thread, or on the
     * calling thread if the event loops have stopped.
     */
    fun send(
        address: String,
        request: HttpRequestMessage,
        timeoutMillis: Long,
        onResult: (HttpResult) -> Unit,
    ): HttpCall

    override fun close()
}

/** A request in progress. */
interface HttpCall {
    /** Closes the connection of the request if it is still in progress. */
    fun cancel()
}

/** Result of one request. */
sealed interface HttpResult {
    /** A complete response arrived. */
    data class Answered(
        val response: HttpResponseMessage,
    ) : HttpResult

    /**
     * No byte of the request was written; [cancelled] if that is due to [HttpCall.cancel] and not to the server.
     *
     * With [refused], the host has answered that no process listens at the address.
     */
    data class NotSent(
        val detail: String,
        val cancelled: Boolean = false,
        val refused: Boolean = false,
    ) : HttpResult

    /**
     * The request was written at least in part, and no usable response arrived; the server may have processed it.
     *
     * It is [cancelled] if that is due to [HttpCall.cancel] and not to the server.
     */
    data class NoResponse(
        val detail: String,
        val cancelled: Boolean = false,
    ) : HttpResult
}
