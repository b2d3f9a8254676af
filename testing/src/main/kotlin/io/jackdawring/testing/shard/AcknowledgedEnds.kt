package io.jackdawring.testing.shard

import io.jackdawring.core.shard.EndedRun
import io.jackdawring.core.shard.StartRequest
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.core.shard.TaskKey

/** Ended runs of durable jobs that targets may forget; checks that no start repeats or loses what they achieved. */
internal class AcknowledgedEnds {
    private val done = HashSet<TaskKey>()

    /** Highest attempts that had saved a checkpoint when their end was acknowledged. */
    private val checkpoints = HashMap<TaskKey, Int>()

    fun add(end: EndedRun) {
        if (end.ending == EndedRun.Ending.DONE) done.add(end.task)
        if (end.checkpoint != null) checkpoints.merge(end.task, end.attempt, ::maxOf)
    }

    fun checkStart(
        request: StartRequest,
        step: StepSpec,
    ) {
        check(
            request.task !in done || step.longRunning,
        ) { "${request.task} starts again after its completion was acknowledged" }
        val savedBy = request.checkpoint?.let(FakeShardTarget::attemptOf) ?: 0
        check(
            savedBy >= (checkpoints[request.task] ?: 0),
        ) { "${request.task} resumes from attempt $savedBy, older than the acknowledged checkpoint" }
    }
}
