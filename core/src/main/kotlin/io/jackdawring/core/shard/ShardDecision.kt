package io.jackdawring.core.shard

import io.jackdawring.core.TargetId

/** A scheduling decision or a change in the view of a target, with the inputs behind it. */
sealed interface ShardDecision {
    /** A job was admitted to the queue. */
    data class JobAdmitted(
        val jobId: JobId,
        val waiter: WaiterId,
        val queue: String,
        val forecastMillis: Long,
        val objectiveMillis: Long,
        val queuedTasks: Int,
    ) : ShardDecision

    /** A job was answered. */
    data class JobAnswered(
        val jobId: JobId,
        val queue: String,
        val outcome: JobOutcome,
        val ageMillis: Long,
        val objectiveMillis: Long,
    ) : ShardDecision

    /** A durable job was added or has ended. */
    data class DurableJobChanged(
        val jobId: JobId,
        val queue: String,
        val state: JobState,
        val reason: String,
    ) : ShardDecision

    /** [tasks] of a durable job, with keys like "step.index", have got from one shard to another. */
    data class TasksChangedShard(
        val jobId: JobId,
        val change: Change,
        val tasks: List<String>,
        val otherShard: String?,
    ) : ShardDecision {
        /** What happened, from the view of the shard that reports it. */
        enum class Change {
            /** Another shard has tasks of a job of this one. */
            DELEGATED,

            /** This shard has tasks of its job again. */
            RETURNED,

            /** This shard has tasks of a job of another one. */
            TAKEN,

            /** This shard has to stop its part of a job of another one. */
            CANCELLED,
        }
    }

    /** A run ended without a result; its task is queued again if its result is still needed. */
    data class RunLost(
        val task: TaskKey,
        val attempt: Int,
        val targetId: TargetId,
        val reason: String,
    ) : ShardDecision

    /** A target lists a run that this holder has not started, or has given up; no job has claimed it yet. */
    data class RunFound(
        val task: TaskKey,
        val attempt: Int,
        val targetId: TargetId,
    ) : ShardDecision

    /** A target lists the end of a run that this holder has not started, or has given up. */
    data class EndFound(
        val task: TaskKey,
        val attempt: Int,
        val targetId: TargetId,
        val ending: EndedRun.Ending,
    ) : ShardDecision

    /** A job that may have run waits until the runs of previous holders are known. */
    data class JobDelayed(
        val jobId: JobId,
        val knownTargets: Int,
    ) : ShardDecision

    /**
     * A job that may have run continues on the grounds of [previousRuns], with [adoptedRuns] of its runs.
     *
     * The holder has held the shard for [heldMillis].
     */
    data class JobResumed(
        val jobId: JobId,
        val previousRuns: PreviousRuns,
        val knownTargets: Int,
        val adoptedRuns: Int,
        val heldMillis: Long,
    ) : ShardDecision

    /** A start was not answered; the target may carry it out now, later or never. */
    data class StartUnanswered(
        val task: TaskKey,
        val attempt: Int,
        val targetId: TargetId,
        val reason: String,
    ) : ShardDecision

    /** The stop of a run was requested. */
    data class RunStopRequested(
        val task: TaskKey,
        val attempt: Int,
        val targetId: TargetId,
        val reason: String,
        /** Whether an earlier holder has started the run. */
        val isAdopted: Boolean,
        /** Time for which this holder has known the run without a job; null if a job has claimed it. */
        val unclaimedMillis: Long?,
        /** Time since the holder whose callers may have sent the job was last known to serve them; null if not known. */
        val servedAgoMillis: Long?,
    ) : ShardDecision

    /** A target crashed during a run of a task, as did [crashes] targets during runs of this task so far. */
    data class TargetCrashed(
        val task: TaskKey,
        val attempt: Int,
        val targetId: TargetId,
        val crashes: Int,
    ) : ShardDecision

    /**
     * The failure domain of the shard's targets is evacuated, or has returned to service.
     *
     * [refusedJobs] were refused because of the evacuation so far; [waitingJobs] wait for a target.
     */
    data class EvacuationChanged(
        val isEvacuated: Boolean,
        val refusedJobs: Int,
        val waitingJobs: Int,
    ) : ShardDecision

    /** The holder's view of a target changed. */
    data class TargetChanged(
        val targetId: TargetId,
        val state: String,
        val reason: String,
    ) : ShardDecision

    /**
     * Tasks of [kind] and [neighbour] are kept apart from now on, or no longer if not [areApart].
     *
     * Runs of [kind] are expected to take [factor] times as long beside [neighbour]; [pairs] pairs of kinds are kept apart.
     */
    data class KindsSeparated(
        val kind: String,
        val neighbour: String,
        val factor: Double,
        val areApart: Boolean,
        val pairs: Int,
    ) : ShardDecision

    /** A task was placed on a target other than the best one, which has a run that would slow it down, or vice versa. */
    data class NeighbourAvoided(
        val task: TaskKey,
        val targetId: TargetId,
    ) : ShardDecision
}
