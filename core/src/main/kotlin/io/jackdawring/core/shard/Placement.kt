package io.jackdawring.core.shard

/** Places waiting tasks on targets with room, in their order. */
internal class Placement(
    private val options: ShardOptions,
    private val control: TargetControl,
    private val durations: DurationEstimator,
    private val choice: TargetChoice,
    private val waiting: WaitingTasks,
) {
    /** What decides whether any target has room for a task. */
    private data class Need(
        val service: String,
        val demand: Resources,
        val requiredLabel: String?,
    )

    /** Starts as many waiting tasks as there is room for. */
    fun place(nowMillis: Long) {
        var candidates = candidates(nowMillis)
        var free = largestFree(candidates)
        val unmet = HashSet<Need>()
        for (task in waiting.inOrder()) {
            control.cost.add()
            if (candidates.isEmpty() || unmet.size == MAX_UNMET) return
            if (!task.spec.demand.fitsInto(free)) continue
            // A run of an earlier request for the job may still be stopping.
            if (control.isPresent(task.key) || nowMillis < task.notBeforeMillis) continue
            val need = Need(task.job.spec.service, task.spec.demand, task.spec.requiredLabel)
            if (need in unmet) continue
            control.cost.add(candidates.size)
            val target = choice.choose(task, candidates, nowMillis)
            if (target == null) {
                if (task.spec.maxPerTarget == null) unmet.add(need)
                continue
            }
            waiting.remove(task)
            task.job.started = true
            val expected = durations.onTargetMillis(task, target, options.offRackFactor).toLong()
            control.start(task, target, expected, nowMillis)
            candidates = candidates(nowMillis)
            free = largestFree(candidates)
        }
    }

    /** Targets with room for the smallest task that waits for their service. */
    private fun candidates(nowMillis: Long): List<HeldTarget> {
        val smallestMillis = waiting.smallestCpuMillis ?: return emptyList()
        return control.byRoom.candidates(smallestMillis, nowMillis) { target ->
            waiting.smallestCpuMillis(target.facts.service)?.let { it <= target.free.cpuMillis } == true
        }
    }

    private fun largestFree(candidates: List<HeldTarget>): Resources =
        candidates.fold(Resources()) { most, target -> most.atLeast(target.free) }

    private companion object {
        /** Bounds the searches for tasks of many sizes; the next event goes on from the front. */
        const val MAX_UNMET = 200
    }
}
