package io.jackdawring.core.shard

/**
 * Stops runs that greatly exceed their expected duration, and counts them as faults of their target.
 *
 * A run counts as hung only if its target lists it in the answer to a poll that was sent after the limit: a holder that
 * is busy learns of ends late.
 */
internal class HangDetector(
    private val control: TargetControl,
    private val faults: FaultAttribution,
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
        val limit = (HANG_FACTOR * run.expectedMillis + HANG_SLACK_MILLIS) shl task.hangCount
        val limitAtMillis = run.sentAtMillis + limit
        if (nowMillis < limitAtMillis) return
        if (run.listedByPollSentAtMillis < limitAtMillis) {
            control.confirmRuns(run.target, limitAtMillis, nowMillis)
            return
        }
        // The limit doubles with each hang, so that a task that is longer than declared ends eventually.
        task.hangCount = minOf(task.hangCount + 1, MAX_DOUBLINGS)
        faults.onFault(run, "run took over $HANG_FACTOR times its estimate", nowMillis)
        control.stop(run, "exceeded its time limit", nowMillis)
    }

    private companion object {
        /** Multiple of the expected duration after which a run counts as hung; durations vary about twofold. */
        const val HANG_FACTOR = 4
        const val HANG_SLACK_MILLIS = 100L

        /** Keeps the limit of a task that hangs repeatedly within days. */
        const val MAX_DOUBLINGS = 16
    }
}
