package io.jackdawring.fleet

import io.jackdawring.core.routing.RoutingConfiguration
import io.jackdawring.fleet.kept.KeptJobRequests
import io.jackdawring.fleet.relay.JobRelay
import io.jackdawring.server.http.HttpExchange

/** Answers requests of callers on their event loops; passes jobs on to the control thread. */
internal class CallerApi(
    private val codec: CallerCodec,
    private val relay: JobRelay,
    private val loop: ControlLoop,
    private val kept: KeptJobRequests,
) {
    /** The configuration in force; null until the first one is known. */
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
            is CallerRequest.SubmitStored ->
                loop.execute { kept.submit(request.job, request.waitMillis) { answer(exchange, it) } }
            is CallerRequest.State -> loop.execute { kept.ask(request.id, cancel = false) { answer(exchange, it) } }
            is CallerRequest.Cancel -> loop.execute { kept.ask(request.id, cancel = true) { answer(exchange, it) } }
            is CallerRequest.Count -> loop.execute { kept.countPending(request.queue.name) { answer(exchange, it) } }
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
        /** About the time in which a new instance reads the configuration. */
        const val NO_CONFIGURATION_RETRY_MILLIS = 1_000L
    }
}
