package io.jackdawring.server.http

/** A listening HTTP/1.1 server. */
interface HttpServer : AutoCloseable {
    /** Bound address as `ip:port`; the port is the actual one if 0 was requested. */
    val address: String

    /** Number of requests that are fully received and whose response is not fully written. */
    val requestsInProgress: Int

    /** Stops accepting connections; existing ones remain. */
    fun stopAccepting()

    /** Closes each connection after a response that leaves none pending, so that clients may reach another server. */
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
