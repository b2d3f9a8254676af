package io.jackdawring.core.shard

/** Starts copies of slow runs on room that nothing waits for; the first copy to end well counts. */
internal class SpeculativeCopies(
    private val options: ShardOptions,
    private val control: TargetControl,
    private val durations: DurationEstimator,
    private val choice: TargetChoice,
) {
    fun start(nowMillis: Long) {
        val slow = control.targets.flatMap { it.runs.values }.filter { isSlow(it, nowMillis) }
        for (run in slow) run.owner?.let { startCopy(it, run, nowMillis) }
    }

    private fun isSlow(
        run: HeldRun,
        nowMillis: Long,
    ): Boolean {
        val task = run.owner ?: return false
        return task.spec.speculative &&
            !task.spec.longRunning &&
            task.runs.size == 1 &&
            run.state == HeldRun.State.RUNNING &&
            nowMillis - run.sentAtMillis >= SLOW_FACTOR * run.expectedMillis + SLACK_MILLIS
    }

    private fun startCopy(
        task: HeldTask,
        slow: HeldRun,
        nowMillis: Long,
    ) {
        val others = control.targets.filter { it !== slow.target }
        val target = choice.choose(task, others, nowMillis) ?: return
        val expected = durations.onTargetMillis(task, target, options.offRackFactor).toLong()
        control.start(task, target, expected, nowMillis)
    }

    private companion object {
        /** Times its expected duration after which a run is slow; about the usual spread of durations. */
        const val SLOW_FACTOR = 1.5

        /** Spares short runs a copy for a delay of messages. */
        const val SLACK_MILLIS = 50L
    }
}
