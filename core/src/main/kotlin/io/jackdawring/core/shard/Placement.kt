package io.jackdawring.core.shard

/** Places waiting tasks on targets with room, in their order. */
internal class Placement(
    private val options: ShardOptions,
    private val control: TargetControl,
    private val durations: DurationEstimator,
    private val choice: TargetChoice,
    private val waiting: WaitingTasks,
) {
    private val preemption = Preemption(options, control, durations)

    /** What decides whether any target has room for a task. */
    private data class Need(
        val service: String,
        val demand: Resources,
        val requiredLabel: String?,
    )

    /** Starts as many waiting tasks as there is room for. */
    fun place(nowMillis: Long) {
        if (waiting.isEmpty) return
        val unmet = HashSet<Need>()
        var free = largestFree(nowMillis)
        for (task in waiting.inOrder()) {
            // A run of an earlier request for the job may still be stopping.
            if (control.isPresent(task.key) || nowMillis < task.notBeforeMillis) continue
            val need = Need(task.job.spec.service, task.spec.demand, task.spec.requiredLabel)
            val isHopeless = !task.spec.demand.fitsInto(free) || need in unmet
            val target = if (isHopeless) null else choice.choose(task, control.targets, nowMillis)
            if (target == null) {
                preemption.consider(task, waiting.latestStartMillis(task), nowMillis)
                if (isHopeless) continue
                if (task.spec.maxPerTarget == null) unmet.add(need)
                if (unmet.size >= MAX_UNMET) return
                continue
            }
            waiting.remove(task)
            task.job.started = true
            val expected = durations.onTargetMillis(task, target, options.farFactor).toLong()
            control.start(task, target, expected, nowMillis)
            free = largestFree(nowMillis)
        }
    }

    /** Bounds the free resources of every target, so that most tasks of a backlog need no look at the targets. */
    private fun largestFree(nowMillis: Long): Resources =
        control.targets
            .filter { TargetChoice.isUsable(it, nowMillis) }
            .fold(Resources()) { most, target -> most.atLeast(target.free) }

    private companion object {
        /** Bounds the work for a backlog of tasks of many sizes; the next event goes on from the front. */
        const val MAX_UNMET = 200
    }
}
