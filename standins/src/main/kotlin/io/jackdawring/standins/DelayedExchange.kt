package io.jackdawring.standins

import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpResponseMessage

/** Holds the answer to [exchange] back by [oneWayMillis], in place of a network's latency. */
internal class DelayedExchange(
    private val exchange: HttpExchange,
    private val timers: Timers,
    private val oneWayMillis: Long,
) : HttpExchange by exchange {
    override fun respond(response: HttpResponseMessage) {
        timers.schedule(oneWayMillis) { exchange.respond(response) }
    }

    override fun respondWith(build: () -> HttpResponseMessage) = respond(build())
}
