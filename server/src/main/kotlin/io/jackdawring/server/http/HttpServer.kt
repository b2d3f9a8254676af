package io.jackdawring.server.http

/** A listening HTTP/1.1 server. */
interface HttpServer : AutoCloseable {
    /** Bound address as `ip:port`; the port is the real one if 0 was asked for. */
    val address: String

    /** Number of requests that were received in full and whose answer is not written in full. */
    val requestsInProgress: Int

    /** Stops accepting connections; open ones go on. */
    fun stopAccepting()

    /** Closes each connection after its next answer, so that its caller connects anew, possibly elsewhere. */
    fun closeAfterAnswers()

    /** Closes the connections on which no request is being received or handled. */
    fun closeIdleConnections()

    /** Closes the listener and all connections. */
    override fun close()

    /** Starts servers. */
    fun interface Factory {
        /** Binds to [address] (`ip:port`) and serves requests with [handler]. */
        fun start(
            address: String,
            handler: HttpHandler,
        ): HttpServer
    }
}
