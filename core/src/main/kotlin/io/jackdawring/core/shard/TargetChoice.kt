package io.jackdawring.core.shard

/** Chooses the target of a task among those with room for it. */
internal class TargetChoice(
    private val durations: DurationEstimator,
    private val offRackFactor: Double,
) {
    /** The best target for [task], or null if none can take it now. */
    fun choose(
        task: HeldTask,
        targets: Collection<HeldTarget>,
        nowMillis: Long,
    ): HeldTarget? {
        var best: HeldTarget? = null
        var bestCost = Double.MAX_VALUE
        for (target in targets) {
            if (!task.spec.demand.fitsInto(target.free) || !canRun(target, task, nowMillis)) continue
            val cost = cost(task, target, nowMillis)
            if (cost < bestCost) {
                best = target
                bestCost = cost
            }
        }
        return best
    }

    /** Time until the task ends there, with a penalty for targets to avoid and for room that is left unusable. */
    private fun cost(
        task: HeldTask,
        target: HeldTarget,
        nowMillis: Long,
    ): Double {
        val duration = durations.onTargetMillis(task, target, offRackFactor)
        val inTime = nowMillis + duration * DurationEstimator.SAFETY <= task.job.objectiveAtMillis
        val left = target.free.cpuMillis - task.spec.demand.cpuMillis
        val fragment =
            (
                left %
                    task.spec.demand.cpuMillis
                        .coerceAtLeast(1)
            ).toDouble() /
                task.spec.demand.cpuMillis
                    .coerceAtLeast(1)
        val base = if (inTime) target.record.speed + fragment else LATE + duration
        return base + if (target === task.avoid) AVOID else 0.0
    }

    companion object {
        private const val LATE = 1e6
        private const val AVOID = 1e9

        fun isUsable(
            target: HeldTarget,
            nowMillis: Long,
        ): Boolean =
            target.contact == HeldTarget.Contact.HELD &&
                target.isListed(nowMillis) &&
                !target.facts.draining &&
                !target.hasUnclaimedRuns &&
                !target.record.isSuspended(nowMillis)

        /** Whether [target] may run [task], apart from its room. */
        fun canRun(
            target: HeldTarget,
            task: HeldTask,
            nowMillis: Long,
        ): Boolean =
            isUsable(target, nowMillis) &&
                matches(target, task) &&
                (!target.record.isOnTrial || target.runs.isEmpty()) &&
                task.spec.maxPerTarget?.let { limit -> runsOfStep(target, task) < limit } != false

        private fun runsOfStep(
            target: HeldTarget,
            task: HeldTask,
        ) = target.runs.keys.count { it.jobId == task.key.jobId && it.step == task.key.step }

        fun matches(
            target: HeldTarget,
            task: HeldTask,
        ): Boolean =
            target.facts.service == task.job.spec.service &&
                (task.spec.requiredLabel == null || task.spec.requiredLabel in target.facts.labels)
    }
}
