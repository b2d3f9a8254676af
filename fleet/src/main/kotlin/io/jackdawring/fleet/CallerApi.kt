package io.jackdawring.fleet

import io.jackdawring.core.routing.QueueRoute
import io.jackdawring.core.routing.RoutingConfiguration
import io.jackdawring.fleet.relay.JobRelay
import io.jackdawring.server.http.HttpExchange

/** Answers requests of callers on their event loops; passes jobs on to the control thread. */
internal class CallerApi(
    private val codec: CallerCodec,
    private val relay: JobRelay,
    private val loop: ControlLoop,
    private val pendingJobs: (QueueRoute) -> Int,
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
            is CallerRequest.Count ->
                loop.execute {
                    answer(
                        exchange,
                        CallerAnswer.Pending(pendingJobs(request.queue)),
                    )
                }
            is CallerRequest.SubmitStored ->
                answer(
                    exchange,
                    CallerAnswer.NotRun("stored jobs are not supported yet", STORED_RETRY_MILLIS),
                )
            is CallerRequest.State, is CallerRequest.Cancel -> answer(exchange, CallerAnswer.UnknownJob)
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
        const val STORED_RETRY_MILLIS = 10_000L
    }
}
