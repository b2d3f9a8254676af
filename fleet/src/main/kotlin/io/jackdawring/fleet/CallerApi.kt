package io.jackdawring.fleet

import io.jackdawring.core.routing.RoutingConfiguration
import io.jackdawring.fleet.durable.DurableJobRequests
import io.jackdawring.fleet.relay.JobRelay
import io.jackdawring.server.http.HttpExchange

/** Handles requests of callers on their event loops, and passes decoded ones to the control thread. */
internal class CallerApi(
    private val codec: CallerCodec,
    private val relay: JobRelay,
    private val loop: ControlLoop,
    private val durableRequests: DurableJobRequests,
) {
    /** The current configuration; null until the first one is loaded. */
    @Volatile
    var configuration: RoutingConfiguration? = null

    fun handle(exchange: HttpExchange) {
        val current = configuration
        if (current == null) {
            answer(exchange, CallerAnswer.NotRun("no configuration is known yet", NO_CONFIGURATION_RETRY_MILLIS))
            return
        }
        when (val request = codec.decode(exchange.request, current)) {
            is CallerRequest.Submit -> loop.execute { submit(exchange, request) }
            is CallerRequest.SubmitDurable ->
                loop.execute { durableRequests.submit(request.job, request.waitMillis) { answer(exchange, it) } }
            is CallerRequest.State ->
                loop.execute { durableRequests.queryState(request.id, cancel = false) { answer(exchange, it) } }
            is CallerRequest.Cancel ->
                loop.execute { durableRequests.queryState(request.id, cancel = true) { answer(exchange, it) } }
            is CallerRequest.Count ->
                loop.execute { durableRequests.countPending(request.queue.name) { answer(exchange, it) } }
            is CallerRequest.UnknownQueue -> answer(exchange, CallerAnswer.UnknownQueue)
            is CallerRequest.Invalid -> answer(exchange, CallerAnswer.Invalid(request.detail))
        }
    }

    private fun submit(
        exchange: HttpExchange,
        request: CallerRequest.Submit,
    ) {
        val job = relay.submit(request.job, request.waitMillis) { answer(exchange, it) }
        exchange.onDisconnected { loop.execute(job::cancel) }
    }

    private fun answer(
        exchange: HttpExchange,
        answer: CallerAnswer,
    ) = exchange.respondWith { codec.encode(answer) }

    private companion object {
        /** About the time that a new instance needs to load the configuration. */
        const val NO_CONFIGURATION_RETRY_MILLIS = 1_000L
    }
}
