package io.jackdawring.fleet

import io.jackdawring.core.routing.QueueRoute
import io.jackdawring.core.routing.RoutingConfiguration
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage

/** A request of a caller, decoded with the current configuration. */
sealed interface CallerRequest {
    /** Submits a job that is answered when it has ended; the caller waits up to [waitMillis]. */
    class Submit(
        val job: JobSpec,
        val waitMillis: Long,
    ) : CallerRequest

    /** Submits a durable job, which is accepted once it is stored; the caller waits up to [waitMillis]. */
    class SubmitDurable(
        val job: JobSpec,
        val waitMillis: Long,
    ) : CallerRequest

    /** Queries the state of a durable job. */
    class State(
        val queue: QueueRoute,
        val id: JobId,
    ) : CallerRequest

    /** Cancels a durable job. */
    class Cancel(
        val queue: QueueRoute,
        val id: JobId,
    ) : CallerRequest

    /** Counts the jobs of a queue that have not started. */
    class Count(
        val queue: QueueRoute,
    ) : CallerRequest

    /** No queue matches the host and path. */
    data object UnknownQueue : CallerRequest

    /** The request is malformed or not supported. */
    class Invalid(
        val detail: String,
    ) : CallerRequest
}

/** Answer to a request of a caller. */
sealed interface CallerAnswer {
    /** The job has ended; [completed] is whether all of its tasks have succeeded. */
    class Ended(
        val completed: Boolean,
    ) : CallerAnswer

    /** No task of the job has run or will run. */
    class NotRun(
        val reason: String,
        val retryAfterMillis: Long,
    ) : CallerAnswer

    /** The job was abandoned; some of its tasks may have run. */
    class GivenUp(
        val reason: String,
    ) : CallerAnswer

    /** The job is stored and will run. */
    data object Stored : CallerAnswer

    /** State of a durable job. */
    class State(
        val state: JobState,
    ) : CallerAnswer

    /** The request cannot be carried out now; the state of the job is unknown. */
    class TryLater(
        val reason: String,
        val retryAfterMillis: Long,
    ) : CallerAnswer

    /** Number of jobs of a queue that have not started. */
    class Pending(
        val jobs: Int,
    ) : CallerAnswer

    /** There is no such job. */
    data object UnknownJob : CallerAnswer

    /** There is no such queue. */
    data object UnknownQueue : CallerAnswer

    /** The request is malformed or not supported. */
    class Invalid(
        val detail: String,
    ) : CallerAnswer
}

/** Translates between the HTTP messages of callers and the dispatcher's own types. */
interface CallerCodec {
    fun decode(
        request: HttpRequestMessage,
        configuration: RoutingConfiguration,
    ): CallerRequest

    fun encode(answer: CallerAnswer): HttpResponseMessage
}
