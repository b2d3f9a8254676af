package io.jackdawring.core.shard

/**
 * Preempts runs of less urgent durable jobs for tasks that would otherwise miss their objective.
 *
 * A run is preempted only if that loses less time than the urgent task would be late. Runs of jobs that a caller waits
 * for are not preempted: that would only make another answer late.
 */
internal class Preemption(
    private val options: ShardOptions,
    private val control: TargetControl,
    private val durations: DurationEstimator,
) {
    private class Plan(
        val target: TrackedTarget,
        val victims: List<TrackedRun>,
        val lostMillis: Long,
    )

    /** Waiting tasks for which runs were preempted, with the targets of those runs. */
    private val pending = HashMap<TrackedTask, TrackedTarget>()

    /** Preempts runs for the tasks that must start soon. */
    fun freeCapacity(
        waiting: WaitingTasks,
        nowMillis: Long,
    ) {
        val untilMillis = nowMillis + options.stopMillis + PREEMPTION_LEAD_MILLIS
        waiting
            .onTime()
            .map { it to waiting.latestStartMillis(it) }
            .takeWhile { (_, latestStartMillis) -> latestStartMillis <= untilMillis }
            .filter { (task, _) -> task.mayStart(nowMillis) }
            .filterNot { (task, _) -> task.hasPreempted || control.isPresent(task.key) || isTooLate(task, nowMillis) }
            .take(MAX_CONSIDERED)
            .forEach { (task, latestStartMillis) -> tryPreempt(task, latestStartMillis, nowMillis) }
    }

    /** Preempts runs for [task] if it would be late otherwise, at most once for each task. */
    private fun tryPreempt(
        task: TrackedTask,
        latestStartMillis: Long,
        nowMillis: Long,
    ) {
        control.cost.add(control.targets.size)
        val lateMillis = nextSlotMillis(task, nowMillis) - latestStartMillis
        if (lateMillis <= 0) return
        pending.keys.removeAll { !it.waiting }
        val plans = control.targets.mapNotNull { plan(task, it, lateMillis, nowMillis) }
        val plan = plans.minByOrNull { it.lostMillis } ?: return
        task.hasPreempted = true
        pending[task] = plan.target
        plan.victims.forEach { control.stop(it, "preempted by job ${task.key.jobId.value}", nowMillis) }
    }

    /**
     * Expected time at which a slot for the task becomes free by itself, after the slots for earlier tasks of its job.
     *
     * Waiting tasks of other jobs are ignored: counting them would cause more preemption, which adds work and so
     * lengthens a backlog of short tasks.
     */
    private fun nextSlotMillis(
        task: TrackedTask,
        nowMillis: Long,
    ): Long {
        val tasksBefore =
            task.job
                .tasks()
                .takeWhile { it !== task }
                .count { it.waiting }
        return control.targets
            .filter { TargetSelector.canRun(it, task, nowMillis) }
            .flatMap { it.runs.values }
            .filterNot { it.owner?.spec?.longRunning == true }
            .map { it.expectedEndMillis(nowMillis) }
            .sorted()
            .getOrElse(tasksBefore) { Long.MAX_VALUE / 2 }
    }

    private fun plan(
        task: TrackedTask,
        target: TrackedTarget,
        lateMillis: Long,
        nowMillis: Long,
    ): Plan? {
        if (!TargetSelector.canRun(target, task, nowMillis) || !endsInTime(task, target, nowMillis)) return null
        var free = target.free - reserved(target)
        val victims = ArrayList<TrackedRun>()
        for (run in candidates(task, target, nowMillis)) {
            if (task.spec.demand.fitsInto(free)) break
            victims.add(run)
            free += run.demand
        }
        if (victims.isEmpty() || !task.spec.demand.fitsInto(free)) return null
        val lostMillis = victims.sumOf { lostMillis(it, options, nowMillis) }
        return Plan(target, victims, lostMillis).takeIf { lostMillis < lateMillis }
    }

    /** Whether [task] would miss its objective even on the fastest target. */
    private fun isTooLate(
        task: TrackedTask,
        nowMillis: Long,
    ): Boolean {
        val unitMillis = durations.unitSpeedMillis(task.job.spec.queue, task.spec.estimateMillis)
        return nowMillis + options.stopMillis + unitMillis / FASTEST_SPEED > task.job.objectiveAtMillis
    }

    private fun endsInTime(
        task: TrackedTask,
        target: TrackedTarget,
        nowMillis: Long,
    ): Boolean {
        val durationMillis = durations.onTargetMillis(task, target, options.offRackFactor)
        return nowMillis + options.stopMillis + durationMillis <= task.job.objectiveAtMillis
    }

    /** Capacity for pending tasks less that of the runs being stopped, which becomes free only later. */
    private fun reserved(target: TrackedTarget): Resources {
        val stopping = target.runs.values.filter { it.stopReason != null }
        val claimed =
            pending.filterValues { it === target }.keys.fold(Resources()) { sum, task ->
                sum +
                    task.spec.demand
            }
        return stopping.fold(claimed) { sum, run -> sum - run.demand }
    }

    private fun candidates(
        task: TrackedTask,
        target: TrackedTarget,
        nowMillis: Long,
    ): List<TrackedRun> =
        target.runs.values
            .filter { isPreemptable(it, task.job.spec) }
            .sortedBy { lostMillis(it, options, nowMillis) }

    companion object {
        /** Time from the end of a stopped run to the next start on its target: a few messages and a tick interval. */
        private const val PREEMPTION_LEAD_MILLIS = 40L

        /** Speed relative to the declared durations that hardly any target exceeds. */
        private const val FASTEST_SPEED = 2

        /** Limits the number of tasks examined in one call. */
        private const val MAX_CONSIDERED = 50

        /** Whether [run] may be preempted for a job like [urgent]. */
        fun isPreemptable(
            run: TrackedRun,
            urgent: JobSpec,
        ): Boolean {
            val task = run.owner ?: return false
            val isLessUrgent = task.job.spec.priority > urgent.priority
            return isLessUrgent && task.job.isDurable && !task.spec.longRunning && run.stopReason == null
        }

        /** Run time that is lost if [run] is stopped; a run with checkpoints saves one when it is stopped. */
        fun lostMillis(
            run: TrackedRun,
            options: ShardOptions,
            nowMillis: Long,
        ): Long {
            val ranMillis = nowMillis - run.sentAtMillis
            return if (run.owner?.spec?.checkpointing == true) minOf(ranMillis, options.restoreMillis) else ranMillis
        }
    }
}
