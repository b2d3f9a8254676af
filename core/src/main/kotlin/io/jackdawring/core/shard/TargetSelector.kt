package io.jackdawring.core.shard

import io.jackdawring.core.shard.interference.PlacementPenalty

/** Selects the target of a task among those with enough free capacity. */
internal class TargetSelector(
    private val durations: DurationEstimator,
    private val offRackFactor: Double,
    private val penalty: PlacementPenalty = PlacementPenalty.NONE,
) {
    /** The best target for [task] among those with the most free CPU that can take it now, or null if none can. */
    fun select(
        task: TrackedTask,
        targets: TargetsByFreeCpu,
        nowMillis: Long,
    ): TrackedTarget? {
        val demand = task.spec.demand
        val able =
            targets.candidates(demand.cpuMillis, nowMillis) {
                demand.fitsInto(it.free) && canRun(it, task, nowMillis) && !isTooCold(it, task, nowMillis)
            }
        return select(task, able.targets, nowMillis)
    }

    /** The best of [targets] for [task], or null if none can take it now. */
    fun select(
        task: TrackedTask,
        targets: Collection<TrackedTarget>,
        nowMillis: Long,
    ): TrackedTarget? {
        var best: TrackedTarget? = null
        var bestCost = Double.MAX_VALUE
        for (target in targets) {
            if (!task.spec.demand.fitsInto(target.free) || !canRun(target, task, nowMillis)) continue
            if (isTooCold(target, task, nowMillis)) continue
            val cost = cost(task, target, nowMillis)
            if (cost < bestCost) {
                best = target
                bestCost = cost
            }
        }
        return best
    }

    /**
     * Cost of running [task] on [target]; the lowest cost is selected.
     *
     * A target that meets the objective costs its speed, so that fast targets stay free, plus a penalty for free CPU
     * that further tasks of this size cannot use. Any other target costs more, in the order of the expected duration.
     */
    private fun cost(
        task: TrackedTask,
        target: TrackedTarget,
        nowMillis: Long,
    ): Double {
        val duration = durations.onTargetMillis(task, target, offRackFactor)
        val meetsObjective = nowMillis + duration * DurationEstimator.SAFETY_FACTOR <= task.job.objectiveAtMillis
        val left = target.free.cpuMillis - task.spec.demand.cpuMillis
        val fragment =
            (
                left %
                    task.spec.demand.cpuMillis
                        .coerceAtLeast(1)
            ).toDouble() /
                task.spec.demand.cpuMillis
                    .coerceAtLeast(1)
        val base = if (meetsObjective) target.health.speed + fragment else LATE_COST + duration
        val interference = if (meetsObjective) penalty.of(task, target, base, nowMillis) else 0.0
        return base + interference + if (target === task.avoidedTarget) AVOIDED_COST else 0.0
    }

    /**
     * Whether [target] may be cold and should not get [task] beside its runs: until a run has shown how fast it is, or if
     * the task would miss its objective.
     */
    private fun isTooCold(
        target: TrackedTarget,
        task: TrackedTask,
        nowMillis: Long,
    ): Boolean {
        if (!target.warmUp.includes(nowMillis) || target.runs.isEmpty()) return false
        val duration = durations.onTargetMillis(task, target, offRackFactor) * DurationEstimator.SAFETY_FACTOR
        return !target.health.hasSpeed || nowMillis + duration > task.job.objectiveAtMillis
    }

    companion object {
        private const val LATE_COST = 1e6
        private const val AVOIDED_COST = 1e9

        /** Whether [target] may run tasks of new jobs. */
        fun isUsable(
            target: TrackedTarget,
            nowMillis: Long,
        ): Boolean = target.evacuation.isInService && acceptsTasks(target, nowMillis)

        /** Whether [target] may run tasks, apart from an evacuation of its failure domain. */
        fun acceptsTasks(
            target: TrackedTarget,
            nowMillis: Long,
        ): Boolean =
            target.contact == TrackedTarget.Contact.HELD &&
                target.isListed(nowMillis) &&
                !target.registration.draining &&
                target.acceptsStarts &&
                !target.health.isSuspended(nowMillis)

        /** Whether [target] may run [task], apart from its free capacity. */
        fun canRun(
            target: TrackedTarget,
            task: TrackedTask,
            nowMillis: Long,
        ): Boolean =
            acceptsTasks(target, nowMillis) &&
                target.evacuation.mayStart(task.job, nowMillis) &&
                matches(target, task) &&
                takesFurtherRuns(target, nowMillis) &&
                (target.runs.isEmpty() || !task.crashes.runsAlone(nowMillis)) &&
                task.spec.maxPerTarget?.let { limit -> runsOfStep(target, task) < limit } != false

        /** Whether no run on [target] has to be alone there now. */
        fun takesFurtherRuns(
            target: TrackedTarget,
            nowMillis: Long,
        ): Boolean = !target.isReserved(nowMillis) && target.mayStartOnProbation

        private fun runsOfStep(
            target: TrackedTarget,
            task: TrackedTask,
        ) = target.runs.keys.count { it.jobId == task.key.jobId && it.step == task.key.step }

        /** Whether [target] could run a task of [step] if it had no other runs. */
        fun isCapable(
            target: TrackedTarget,
            step: StepSpec,
        ): Boolean = step.demand.fitsInto(target.registration.capacity) && hasLabel(target, step)

        fun matches(
            target: TrackedTarget,
            task: TrackedTask,
        ): Boolean = target.registration.service == task.job.spec.service && hasLabel(target, task.spec)

        private fun hasLabel(
            target: TrackedTarget,
            step: StepSpec,
        ) = step.requiredLabel == null || step.requiredLabel in target.registration.labels
    }
}
