package io.jackdawring.core.shard

/** A task of a job at the holder. */
internal class HeldTask(
    val key: TaskKey,
    val job: HeldJob,
    val spec: StepSpec,
) {
    var run: HeldRun? = null
    var done = false
    var waiting = false

    /** Number of the last attempt that was ordered. */
    var lastAttempt = 0

    /** Attempts that failed; a target may list an end again to another holder. */
    val failedAttempts = LinkedHashSet<Int>()
    val failures: Int get() = failedAttempts.size

    /** Runs that were stopped because they took too long. */
    var hangs = 0

    /** Target of the last run that did not end well; another one is preferred. */
    var avoid: HeldTarget? = null
}
