package io.jackdawring.core.shard

import io.jackdawring.core.TargetId

/** Receives the ends of runs; a run is removed from its target before a method is called. */
internal interface RunListener {
    /** The run was added to its target. */
    fun onAdded(
        run: TrackedRun,
        nowMillis: Long,
    )

    /** The run was removed from its target. */
    fun onRemoved(
        run: TrackedRun,
        nowMillis: Long,
    )

    fun onDone(
        run: TrackedRun,
        nowMillis: Long,
    )

    /** Whether an open job [jobId] waits until the runs of previous holders are known; its runs are then its own. */
    fun awaitsRuns(jobId: JobId): Boolean

    /** Whether nobody waits for the job [jobId] any more, so that its runs have to end. */
    fun isAbandoned(jobId: JobId): Boolean

    /** Records that nobody has waited for [jobId] since [sinceMillis], so that runs of it have to end. */
    fun abandon(
        jobId: JobId,
        sinceMillis: Long,
        nowMillis: Long,
    )

    /** The run failed, by the task's own fault or the target's. */
    fun onFailed(
        run: TrackedRun,
        nowMillis: Long,
    )

    /** The run ended without a result or never started; its task may start again. */
    fun onLost(
        run: TrackedRun,
        reason: String,
        nowMillis: Long,
    )

    /** The target of [run] has been silent for a while, and may have crashed. */
    fun onAtRisk(run: TrackedRun)

    /** The target of [run] fell silent or restarted, and may have crashed; [onLost] follows. */
    fun onTargetLost(
        run: TrackedRun,
        nowMillis: Long,
    )

    /** The target answered as the given incarnation, or another target answered at its address if that is null. */
    fun onAnswered(
        target: TargetId,
        incarnationStartMillis: Long?,
        nowMillis: Long,
    )

    /** The target rejected the start request as invalid; retries cannot succeed. */
    fun onInvalid(
        run: TrackedRun,
        nowMillis: Long,
    )

    /**
     * A run ended that no task owns, such as one of a previous holder or one that was given up as lost.
     *
     * Returns the version of its job's progress that must be stored before the target may forget the run, or null.
     */
    fun onUnknownEnd(
        end: EndedRun,
        nowMillis: Long,
    ): Long?
}
