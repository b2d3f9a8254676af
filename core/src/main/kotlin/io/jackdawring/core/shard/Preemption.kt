package io.jackdawring.core.shard

/**
 * Stops runs of less urgent kept jobs for tasks that would otherwise miss their objective.
 *
 * A run is stopped only if it loses less time than the urgent task would be late. Runs that a caller waits for are not
 * stopped: that would only make another answer late.
 */
internal class Preemption(
    private val options: ShardOptions,
    private val control: TargetControl,
    private val durations: DurationEstimator,
) {
    private class Plan(
        val target: HeldTarget,
        val victims: List<HeldRun>,
        val lostMillis: Long,
    )

    /** Tasks for which runs are being stopped, with the target that they are meant for. */
    private val pending = HashMap<HeldTask, HeldTarget>()

    /** Makes room for the tasks that must start soon. */
    fun makeRoom(
        waiting: WaitingTasks,
        nowMillis: Long,
    ) {
        val untilMillis = nowMillis + options.stopMillis + LEAD_MILLIS
        waiting
            .inTime()
            .map { it to waiting.latestStartMillis(it) }
            .takeWhile { (_, latestStartMillis) -> latestStartMillis <= untilMillis }
            .filterNot { (task, _) -> task.hasPreempted || control.isPresent(task.key) || isTooLate(task, nowMillis) }
            .take(MAX_CONSIDERED)
            .forEach { (task, latestStartMillis) -> consider(task, latestStartMillis, nowMillis) }
    }

    /** Makes room for [task]; each task has one try. */
    private fun consider(
        task: HeldTask,
        latestStartMillis: Long,
        nowMillis: Long,
    ) {
        control.cost.add(control.targets.size)
        val lateMillis = nextPlaceMillis(task, nowMillis) - latestStartMillis
        if (lateMillis <= 0) return
        pending.keys.removeAll { !it.waiting }
        val plans = control.targets.mapNotNull { plan(task, it, lateMillis, nowMillis) }
        val plan = plans.minByOrNull { it.lostMillis } ?: return
        task.hasPreempted = true
        pending[task] = plan.target
        plan.victims.forEach { control.stop(it, "preempted by job ${task.key.jobId.value}", nowMillis) }
    }

    /**
     * Expected time at which a place becomes free for the task by itself, after those for earlier tasks of its job.
     *
     * Other jobs that wait do not count: stopping runs adds work, and makes a backlog of short tasks longer.
     */
    private fun nextPlaceMillis(
        task: HeldTask,
        nowMillis: Long,
    ): Long {
        val tasksBefore =
            task.job
                .tasks()
                .takeWhile { it !== task }
                .count { it.waiting }
        return control.targets
            .filter { TargetChoice.canRun(it, task, nowMillis) }
            .flatMap { it.runs.values }
            .filterNot { it.owner?.spec?.longRunning == true }
            .map { it.expectedEndMillis(nowMillis) }
            .sorted()
            .getOrElse(tasksBefore) { Long.MAX_VALUE / 2 }
    }

    private fun plan(
        task: HeldTask,
        target: HeldTarget,
        lateMillis: Long,
        nowMillis: Long,
    ): Plan? {
        if (!TargetChoice.canRun(target, task, nowMillis) || !endsInTime(task, target, nowMillis)) return null
        var free = target.free - reserved(target)
        val victims = ArrayList<HeldRun>()
        for (run in candidates(task, target, nowMillis)) {
            if (task.spec.demand.fitsInto(free)) break
            victims.add(run)
            free += run.demand
        }
        if (victims.isEmpty() || !task.spec.demand.fitsInto(free)) return null
        val lostMillis = victims.sumOf { lostMillis(it, options, nowMillis) }
        return Plan(target, victims, lostMillis).takeIf { lostMillis < lateMillis }
    }

    /** Whether [task] would miss its objective on the fastest target. */
    private fun isTooLate(
        task: HeldTask,
        nowMillis: Long,
    ): Boolean {
        val unitMillis = durations.atUnitSpeedMillis(task.job.spec.queue, task.spec.estimateMillis)
        return nowMillis + options.stopMillis + unitMillis / FASTEST_SPEED > task.job.objectiveAtMillis
    }

    private fun endsInTime(
        task: HeldTask,
        target: HeldTarget,
        nowMillis: Long,
    ): Boolean {
        val durationMillis = durations.onTargetMillis(task, target, options.offRackFactor)
        return nowMillis + options.stopMillis + durationMillis <= task.job.objectiveAtMillis
    }

    /** Room that other tasks wait for; that of their victims becomes free only later. */
    private fun reserved(target: HeldTarget): Resources {
        val stopping = target.runs.values.filter { it.stopReason != null }
        val claimed =
            pending.filterValues { it === target }.keys.fold(Resources()) { sum, task ->
                sum +
                    task.spec.demand
            }
        return stopping.fold(claimed) { sum, run -> sum - run.demand }
    }

    private fun candidates(
        task: HeldTask,
        target: HeldTarget,
        nowMillis: Long,
    ): List<HeldRun> =
        target.runs.values
            .filter { isPreemptable(it, task.job.spec) }
            .sortedBy { lostMillis(it, options, nowMillis) }

    companion object {
        /** Time between the stop of a run and the next start there; a few messages and the interval of ticks. */
        private const val LEAD_MILLIS = 40L

        /** Speed that hardly any target exceeds. */
        private const val FASTEST_SPEED = 2

        /** Bounds the work of one call. */
        private const val MAX_CONSIDERED = 50

        /** Whether [run] may be stopped for a job like [urgent]. */
        fun isPreemptable(
            run: HeldRun,
            urgent: JobSpec,
        ): Boolean {
            val task = run.owner ?: return false
            val isLessUrgent = task.job.spec.priority > urgent.priority
            return isLessUrgent && task.job.isKept && !task.spec.longRunning && run.stopReason == null
        }

        /** Time of work that a stop of [run] throws away; a stop saves a checkpoint. */
        fun lostMillis(
            run: HeldRun,
            options: ShardOptions,
            nowMillis: Long,
        ): Long {
            val ranMillis = nowMillis - run.sentAtMillis
            return if (run.owner?.spec?.checkpointing == true) minOf(ranMillis, options.restoreMillis) else ranMillis
        }
    }
}
