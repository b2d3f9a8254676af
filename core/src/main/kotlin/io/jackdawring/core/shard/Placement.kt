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
    )

    /** Starts as many waiting tasks as the free capacity allows; those of durable jobs only if [mayStartDurable]. */
    fun place(
        nowMillis: Long,
        mayStartDurable: Boolean,
    ) {
        var candidates = candidates(nowMillis)
        var free = largestFree(candidates)
        val unmet = HashSet<Requirements>()
        for (task in waiting.inOrder()) {
            control.cost.add()
            if (candidates.isEmpty() || unmet.size == MAX_UNMET) return
            if (!task.spec.demand.fitsInto(free)) continue
            if (!task.job.isAwaited(nowMillis) || task.job.isDurable && !mayStartDurable) continue
            // A run from an earlier submission of the job may still be stopping.
            if (control.isPresent(task.key) || !task.mayStart(nowMillis)) continue
            val requirements = Requirements(task.job.spec.service, task.spec.demand, task.spec.requiredLabel)
            if (requirements in unmet) continue
            control.cost.add(candidates.size)
            val target = selector.select(task, candidates, nowMillis)
            if (target == null) {
                val runsAlone = task.crashes.runsAlone(nowMillis)
                if (task.spec.maxPerTarget == null && !runsAlone) unmet.add(requirements)
                continue
            }
            waiting.remove(task)
            task.job.started = true
            val expected = durations.onTargetMillis(task, target, options.offRackFactor).toLong()
            control.start(task, target, expected, nowMillis)
            onStarted(task)
            candidates = candidates(nowMillis)
            free = largestFree(candidates)
        }
    }

    /** Targets with enough free CPU for the smallest task that waits for their service. */
    private fun candidates(nowMillis: Long): List<TrackedTarget> {
        val smallestMillis = waiting.smallestCpuMillis ?: return emptyList()
        return control.byFreeCpu.candidates(smallestMillis, nowMillis) { target ->
            waiting.smallestCpuMillis(target.registration.service)?.let { it <= target.free.cpuMillis } == true
        }
    }

    private fun largestFree(candidates: List<TrackedTarget>): Resources =
        candidates.fold(Resources()) { most, target -> most.elementwiseMax(target.free) }

    private companion object {
        /** Limits the failed searches of one call; the next event starts again at the front of the queue. */
        const val MAX_UNMET = 200
    }
}
