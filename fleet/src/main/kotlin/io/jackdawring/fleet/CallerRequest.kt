package io.jackdawring.fleet

import io.jackdawring.core.routing.QueueRoute
import io.jackdawring.core.routing.RoutingConfiguration
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage

/** A request of a caller, decoded with the configuration in force. */
sealed interface CallerRequest {
    /** Submits a job that is answered when it has ended; the caller waits [waitMillis]. */
    class Submit(
        val job: JobSpec,
        val waitMillis: Long,
    ) : CallerRequest

    /** Submits a job that has to be stored before it is accepted. */
    class SubmitStored(
        val job: JobSpec,
        val waitMillis: Long,
    ) : CallerRequest

    /** Asks for the state of a job. */
    class State(
        val queue: QueueRoute,
        val id: JobId,
    ) : CallerRequest

    /** Cancels a job. */
    class Cancel(
        val queue: QueueRoute,
        val id: JobId,
    ) : CallerRequest

    /** Asks how many jobs of a queue wait. */
    class Count(
        val queue: QueueRoute,
    ) : CallerRequest

    /** No queue has the path. */
    data object UnknownQueue : CallerRequest

    /** The request is invalid. */
    class Invalid(
        val detail: String,
    ) : CallerRequest
}

/** Answer to a request of a caller. */
sealed interface CallerAnswer {
    /** The job has ended; [completed] is whether all of its tasks are done. */
    class Ended(
        val completed: Boolean,
    ) : CallerAnswer

    /** Nothing of the job has run or will run. */
    class NotRun(
        val reason: String,
        val retryAfterMillis: Long,
    ) : CallerAnswer

    /** The job may have run in part and was given up. */
    class GivenUp(
        val reason: String,
    ) : CallerAnswer

    /** The job is stored and will run. */
    data object Stored : CallerAnswer

    /** State of a kept job. */
    class State(
        val state: JobState,
    ) : CallerAnswer

    /** The request could not be carried out now; nothing is said of the job. */
    class TryLater(
        val reason: String,
        val retryAfterMillis: Long,
    ) : CallerAnswer

    /** Number of waiting jobs of a queue. */
    class Pending(
        val jobs: Int,
    ) : CallerAnswer

    /** No such job. */
    data object UnknownJob : CallerAnswer

    /** No such queue. */
    data object UnknownQueue : CallerAnswer

    /** The request is invalid. */
    class Invalid(
        val detail: String,
    ) : CallerAnswer
}

/** Translates between callers and the product. */
interface CallerCodec {
    fun decode(
        request: HttpRequestMessage,
        configuration: RoutingConfiguration,
    ): CallerRequest

    fun encode(answer: CallerAnswer): HttpResponseMessage
}
