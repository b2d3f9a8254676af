package io.jackdawring.server.http

/** Handles requests on an event loop thread; must not block. */
fun interface HttpHandler {
    fun handle(exchange: HttpExchange)
}
