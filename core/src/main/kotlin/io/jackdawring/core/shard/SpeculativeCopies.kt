package io.jackdawring.core.shard

/** Starts copies of slow runs on otherwise unused capacity; the first copy to succeed counts. */
internal class SpeculativeCopies(
    private val options: ShardOptions,
    private val control: TargetControl,
    private val durations: DurationEstimator,
    private val selector: TargetSelector,
) {
    fun start(nowMillis: Long) {
        val slow = control.targets.flatMap { it.runs.values }.filter { isSlow(it, nowMillis) }
        for (run in slow) run.owner?.let { startCopy(it, run, nowMillis) }
    }

    private fun isSlow(
        run: TrackedRun,
        nowMillis: Long,
    ): Boolean {
        val task = run.owner ?: return false
        return task.spec.speculative &&
            !task.spec.longRunning &&
            task.runs.size == 1 &&
            task.crashes.isEmpty &&
            run.state == TrackedRun.State.RUNNING &&
            nowMillis - run.sentAtMillis >= SLOW_FACTOR * run.expectedMillis + SLACK_MILLIS
    }

    private fun startCopy(
        task: TrackedTask,
        slow: TrackedRun,
        nowMillis: Long,
    ) {
        val others = control.targets.filter { it !== slow.target }
        val target = selector.select(task, others, nowMillis) ?: return
        val expected = durations.onTargetMillis(task, target, options.offRackFactor).toLong()
        control.start(task, target, expected, nowMillis)
    }

    private companion object {
        /** Multiple of the expected duration after which a run is slow; about the usual spread of durations. */
        const val SLOW_FACTOR = 1.5

        /** Avoids copies of short runs that are only delayed by messages. */
        const val SLACK_MILLIS = 50L
    }
}
