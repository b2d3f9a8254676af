package io.jackdawring.core.shard

/** A task of a job at the holder. */
internal class HeldTask(
    val key: TaskKey,
    val job: HeldJob,
    val spec: StepSpec,
) {
    /** Runs that are or may be on a target; several only for a step with copies. */
    val runs = LinkedHashSet<HeldRun>()
    var done = false
    var waiting = false

    /** Number of the last attempt that was ordered. */
    var lastAttempt = 0

    /** Attempts that failed; a target may list an end again to another holder. */
    val failedAttempts = LinkedHashSet<Int>()
    val failures: Int get() = failedAttempts.size

    /** Progress from which the next run goes on. */
    var checkpoint: Checkpoint? = null
        private set

    /** Runs that were stopped because they took too long. */
    var hangs = 0

    /** Time before which a lasting task that ends again and again is not started. */
    var notBeforeMillis = Long.MIN_VALUE
        private set
    private var endsInRow = 0

    /** Delays the next start of a lasting task, longer after each run that ended soon. */
    fun delayStart(
        ranMillis: Long,
        nowMillis: Long,
    ) {
        endsInRow = if (ranMillis >= LONGEST_DELAY_MILLIS) 0 else minOf(endsInRow + 1, DELAY_DOUBLINGS)
        val delayMillis = if (endsInRow == 0) 0 else FIRST_DELAY_MILLIS shl (endsInRow - 1)
        notBeforeMillis = nowMillis + minOf(delayMillis, LONGEST_DELAY_MILLIS)
    }

    /** Whether runs of other jobs were stopped for this task. */
    var hasPreempted = false

    /** Target of the last run that did not end well; another one is preferred. */
    var avoid: HeldTarget? = null

    /** Notes what a run has saved, and returns whether that is news; earlier runs may be listed later. */
    fun saved(saved: Checkpoint?): Boolean {
        val known = checkpoint
        if (saved == null || saved == known || !spec.checkpointing || done) return false
        if (known != null && known.attempt > saved.attempt) return false
        checkpoint = saved
        return true
    }

    private companion object {
        const val FIRST_DELAY_MILLIS = 50L

        /** Well below the 6 s in which the platform expects a lasting task to run again. */
        const val LONGEST_DELAY_MILLIS = 2_000L
        const val DELAY_DOUBLINGS = 7
    }
}
