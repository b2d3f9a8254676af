package io.jackdawring.core.shard

/** Starts waiting tasks on targets with free capacity, in queue order. */
internal class Placement(
    private val options: ShardOptions,
    private val control: TargetControl,
    private val durations: DurationEstimator,
    private val selector: TargetSelector,
    private val waiting: WaitingTasks,
    private val onStarted: (TrackedTask) -> Unit,
) {
    /** The properties of a task that decide whether any target can take it. */
    private data class Requirements(
        val service: String,
        val demand: Resources,
        val requiredLabel: String?,
        /** Step of the task if the number of its tasks on a target is limited. */
        val limitedStep: Pair<JobId, Int>?,
        /** Objective of the task's job if targets may be cold. */
        val objectiveAtMillis: Long?,
    )

    /** Requirements for which earlier calls found no target since the queue was last searched to its end. */
    private val unmetBefore = HashSet<Requirements>()

    /** Starts as many waiting tasks as the free capacity allows; those of durable jobs only if [mayStartDurable]. */
    fun place(
        nowMillis: Long,
        mayStartDurable: Boolean,
    ) {
        if (!control.evacuation.mayStartAny(nowMillis)) return
        var candidates = candidates(nowMillis)
        val unmet = HashSet<Requirements>()
        for (task in waiting.inOrder()) {
            control.cost.add()
            if (candidates.targets.isEmpty()) return
            if (candidates.isTooSmall(task.spec.demand)) continue
            if (!task.job.isAwaited(nowMillis) || task.job.isDurable && !mayStartDurable) continue
            // A run from an earlier submission of the job may still be stopping.
            if (control.isPresent(task.key) || !task.mayStart(nowMillis)) continue
            val requirements = requirementsOf(task, nowMillis)
            if (requirements in unmet || requirements in unmetBefore) continue
            if (unmet.size == MAX_UNMET) {
                unmetBefore.addAll(unmet)
                return
            }
            val target = findTarget(task, candidates, nowMillis)
            if (target == null) {
                if (!task.crashes.runsAlone(nowMillis)) unmet.add(requirements)
                continue
            }
            waiting.remove(task)
            task.job.started = true
            val expected = durations.onTargetMillis(task, target, options.offRackFactor).toLong()
            control.start(task, target, expected, nowMillis)
            onStarted(task)
            candidates = candidates(nowMillis)
        }
        unmetBefore.clear()
    }

    private fun requirementsOf(
        task: TrackedTask,
        nowMillis: Long,
    ): Requirements {
        val spec = task.spec
        val step = task.key.jobId to task.key.step
        val limitedStep = step.takeIf { spec.maxPerTarget != null }
        val objectiveAtMillis = task.job.objectiveAtMillis.takeIf { control.mayBeCold(nowMillis) }
        return Requirements(task.job.spec.service, spec.demand, spec.requiredLabel, limitedStep, objectiveAtMillis)
    }

    /** The best of [candidates] for [task]; if none of them can take it, the best of all targets. */
    private fun findTarget(
        task: TrackedTask,
        candidates: TargetsByFreeCpu.Candidates,
        nowMillis: Long,
    ): TrackedTarget? {
        control.cost.add(candidates.targets.size)
        val found = selector.select(task, candidates.targets, nowMillis)
        return if (found != null || candidates.isComplete) {
            found
        } else {
            selector.select(task, control.byFreeCpu, nowMillis)
        }
    }

    /** Targets with enough free CPU for the smallest task that waits for their service. */
    private fun candidates(nowMillis: Long): TargetsByFreeCpu.Candidates {
        val smallestMillis = waiting.smallestCpuMillis ?: Int.MAX_VALUE
        return control.byFreeCpu.candidates(smallestMillis, nowMillis) { target ->
            waiting.smallestCpuMillis(target.registration.service)?.let { it <= target.free.cpuMillis } == true
        }
    }

    private companion object {
        /** Limits the failed searches of one call; the next one continues behind them. */
        const val MAX_UNMET = 200
    }
}
