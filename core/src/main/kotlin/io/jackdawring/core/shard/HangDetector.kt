package io.jackdawring.core.shard

/**
 * Stops runs that greatly exceed their expected duration, and counts them as faults of their target.
 *
 * A run counts as hung only if its target lists it in the answer to a poll that was sent after the limit: a holder that
 * is busy learns of ends late.
 */
internal class HangDetector(
    private val control: TargetControl,
    private val durations: DurationEstimator,
) {
    fun check(nowMillis: Long) {
        for (target in control.targets) {
            target.runs.values
                .toList()
                .forEach { check(it, nowMillis) }
        }
    }

    private fun check(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        val task = run.owner ?: return
        if (task.spec.longRunning || run.state != TrackedRun.State.RUNNING || run.expectedMillis <= 0) return
        val factor = factor(task)
        val limit = ((factor * run.expectedMillis).toLong() + HANG_SLACK_MILLIS) shl task.hangCount
        val limitAtMillis = run.sentAtMillis + limit
        if (nowMillis < limitAtMillis) return
        if (run.listedByPollSentAtMillis < limitAtMillis) {
            control.confirmRuns(run.target, limitAtMillis, nowMillis)
            return
        }
        // The limit doubles with each hang, so that a task that is longer than declared ends eventually.
        task.hangCount = minOf(task.hangCount + 1, MAX_DOUBLINGS)
        control.recordFault(
            run.target,
            "run took over ${factor.toInt()} times its estimate",
            FAULTS_TO_SUSPEND,
            nowMillis,
        )
        control.stop(run, "exceeded its time limit", nowMillis)
    }

    /**
     * Multiple of the expected duration after which a run counts as hung.
     *
     * A task that takes several times as long as declared would only start over if it were stopped.
     */
    private fun factor(task: TrackedTask): Double =
        (HANG_MARGIN * durations.distribution(task.job.spec.queue).upperEnd).coerceIn(HANG_FACTOR, MAX_HANG_FACTOR)

    private companion object {
        /** Durations usually vary about twofold. */
        const val HANG_FACTOR = 4.0

        /** Bounds how long a run that really hangs goes unnoticed in a queue with long tasks. */
        const val MAX_HANG_FACTOR = 12.0

        /** Factor above the longest runs of a queue at which a run counts as hung. */
        const val HANG_MARGIN = 1.5
        const val HANG_SLACK_MILLIS = 100L

        /** Keeps the limit of a task that hangs repeatedly within days. */
        const val MAX_DOUBLINGS = 16

        /** Consecutive faults after which a target is suspended; a single hang may be the task's fault. */
        const val FAULTS_TO_SUSPEND = 2
    }
}
