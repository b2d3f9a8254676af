package io.jackdawring.core.shard

/**
 * Decides whether a run that failed or hung speaks against its target or against its task.
 *
 * A task whose runs have faults on different targets is at fault itself, and so is a step with faults on different
 * targets of which no task has succeeded. No target is suspended for such tasks.
 */
internal class FaultAttribution(
    private val control: TargetControl,
) {
    fun onFault(
        run: TrackedRun,
        reason: String,
        nowMillis: Long,
    ) {
        val task = run.owner ?: return
        val step = task.stepRecord
        val target = run.target
        task.faultTargets += target
        step.faultTargets += target
        when {
            step.faultTargets.size > 1 && step.doneTargets.isEmpty() ->
                withdraw(step.faultTargets, nowMillis) { it.jobId == task.key.jobId && it.step == task.key.step }
            task.faultTargets.size > 1 -> withdraw(task.faultTargets, nowMillis) { it == task.key }
            else -> {
                val isConfirmed = step.doneTargets.any { it !== target }
                val suspended =
                    target.health.onRunFault(task.key, isConfirmed, nowMillis) { control.maySuspend(target, nowMillis) }
                if (suspended) control.reportSuspension(target, reason)
            }
        }
    }

    /** Records that [run] has succeeded: faults of the same step on other targets are those of these targets. */
    fun onDone(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        val task = run.owner ?: return
        val step = task.stepRecord
        step.doneTargets += run.target
        for (target in step.faultTargets) {
            if (target === run.target) continue
            val suspended =
                target.health.confirmFaults(task.key, nowMillis) { control.maySuspend(target, nowMillis) }
            if (suspended) control.reportSuspension(target, "runs failed that succeed on other targets")
        }
    }

    private fun withdraw(
        targets: Set<TrackedTarget>,
        nowMillis: Long,
        isOfTask: (TaskKey) -> Boolean,
    ) {
        for (target in targets) {
            if (target.health.withdrawFaults(nowMillis, isOfTask)) control.reportSuspensionWithdrawn(target)
        }
    }
}
