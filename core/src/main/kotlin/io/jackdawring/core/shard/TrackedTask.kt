package io.jackdawring.core.shard

/** Scheduling state of a task. */
internal class TrackedTask(
    val key: TaskKey,
    val job: TrackedJob,
    val spec: StepSpec,
) {
    /** Runs that are, or may be, on a target; more than one only with speculative copies. */
    val runs = LinkedHashSet<TrackedRun>()
    var done = false
    var waiting = false

    /** Whether another shard has the task, or is to get it; nothing of it starts here then. */
    var isElsewhere = false

    /** Time since which the task waits without a run; null if that is not so. */
    var stalledSinceMillis: Long? = null

    /** Number of the last attempt that was sent to a target. */
    var lastAttempt = 0

    /** Number of the last attempt that was known when another shard last returned the task; 0 if none has. */
    var attemptFloor = 0

    /** Attempts that failed; a set, because a target may list an ended run again to another holder. */
    val failedAttempts = LinkedHashSet<Int>()
    val failures: Int get() = failedAttempts.size

    /** Checkpoint from which the next run resumes. */
    var checkpoint: Checkpoint? = null
        private set

    /** Number of runs that were stopped as hung, up to a limit. */
    var hangCount = 0

    /** Time before which a long-running task that ends repeatedly is not started. */
    private var earliestStartMillis = Long.MIN_VALUE
    private var earlyEndsInRow = 0

    /** Targets on which runs of this task have failed or hung. */
    val faultTargets = LinkedHashSet<TrackedTarget>()

    /** What is known of the runs of all tasks of the step. */
    val stepRecord: StepRecord get() = job.stepRecords[key.step]

    /** Crashes of targets under the runs of this task. */
    val crashes = TaskCrashes()

    /** Whether no delay holds back the next start. */
    fun mayStart(nowMillis: Long): Boolean = nowMillis >= earliestStartMillis && !crashes.isHeld(nowMillis)

    /** Delays the next start of a long-running task; the delay doubles with each run that ended early. */
    fun delayStart(
        ranMillis: Long,
        nowMillis: Long,
    ) {
        earlyEndsInRow = if (ranMillis >= MAX_DELAY_MILLIS) 0 else minOf(earlyEndsInRow + 1, DELAY_DOUBLINGS)
        val delayMillis = if (earlyEndsInRow == 0) 0 else FIRST_DELAY_MILLIS shl (earlyEndsInRow - 1)
        earliestStartMillis = nowMillis + minOf(delayMillis, MAX_DELAY_MILLIS)
    }

    /** Whether runs of other jobs were preempted for this task. */
    var hasPreempted = false

    /** Target of the last run that failed or was lost; other targets are preferred. */
    var avoidedTarget: TrackedTarget? = null

    /** Records the checkpoint of a run unless that of a later attempt is known; returns whether it was recorded. */
    fun recordCheckpoint(saved: Checkpoint?): Boolean {
        val known = checkpoint
        if (saved == null || saved == known || !spec.checkpointing || done) return false
        if (known != null && known.attempt > saved.attempt) return false
        checkpoint = saved
        return true
    }

    private companion object {
        const val FIRST_DELAY_MILLIS = 50L

        /** Well below the 6 s within which the platform expects a long-running task to run again. */
        const val MAX_DELAY_MILLIS = 2_000L
        const val DELAY_DOUBLINGS = 7
    }
}
