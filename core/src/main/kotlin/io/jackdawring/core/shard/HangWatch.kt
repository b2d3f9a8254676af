package io.jackdawring.core.shard

/** Stops runs that take much longer than expected. */
internal class HangWatch(
    private val control: TargetControl,
) {
    fun check(nowMillis: Long) {
        for (target in control.targets) {
            target.runs.values
                .toList()
                .forEach { check(it, nowMillis) }
        }
    }

    private fun check(
        run: HeldRun,
        nowMillis: Long,
    ) {
        val task = run.owner ?: return
        if (task.spec.longRunning || run.state != HeldRun.State.RUNNING || run.expectedMillis <= 0) return
        val limit = (HANG_FACTOR * run.expectedMillis + HANG_SLACK_MILLIS) shl task.hangs
        if (nowMillis - run.sentAtMillis < limit) return
        // A task that is longer than declared must end at last.
        task.hangs = minOf(task.hangs + 1, MAX_DOUBLINGS)
        control.fault(run.target, "a run takes over $HANG_FACTOR times as long as expected", HANGS_ALLOWED, nowMillis)
        control.stop(run, "takes too long", nowMillis)
    }

    private companion object {
        /** A run that takes this much longer than expected hangs; durations vary by about a factor of two. */
        const val HANG_FACTOR = 4
        const val HANG_SLACK_MILLIS = 100L

        /** Keeps the limit of a task that hangs again and again within days. */
        const val MAX_DOUBLINGS = 16

        /** Hangs in a row after which a target is suspended; a single one may be the task's fault. */
        const val HANGS_ALLOWED = 2
    }
}
