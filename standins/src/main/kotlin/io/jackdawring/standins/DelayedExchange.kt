package io.jackdawring.standins

import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpResponseMessage

/** Delays the response to [exchange] by [oneWayMillis] to simulate network latency. */
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
