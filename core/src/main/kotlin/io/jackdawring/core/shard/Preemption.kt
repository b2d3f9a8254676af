package io.jackdawring.core.shard

/**
 * Stops runs of less urgent kept jobs for tasks that would otherwise miss their objective.
 *
 * Runs that a caller waits for are not stopped: that would only make another answer late.
 */
internal class Preemption(
    private val options: ShardOptions,
    private val control: TargetControl,
    private val durations: DurationEstimator,
) {
    private class Plan(
        val target: HeldTarget,
        val victims: List<HeldRun>,
    ) {
        fun lostWork(nowMillis: Long): Long = victims.sumOf { lostWork(it, nowMillis) }
    }

    /** Tasks for which runs are being stopped, with the target that they are meant for. */
    private val pending = HashMap<HeldTask, HeldTarget>()

    /** Makes room for [task] if it must start soon; each task has one try. */
    fun consider(
        task: HeldTask,
        latestStartMillis: Long,
        nowMillis: Long,
    ) {
        if (task.hasPreempted || nowMillis < latestStartMillis - options.stopMillis - LEAD_MILLIS) return
        if (task.job.prospect != Prospect.IN_TIME) return
        pending.keys.removeAll { !it.waiting }
        val plan =
            control.targets.mapNotNull { plan(task, it, nowMillis) }.minByOrNull { it.lostWork(nowMillis) } ?: return
        task.hasPreempted = true
        pending[task] = plan.target
        plan.victims.forEach { control.stop(it, "preempted by job ${task.key.jobId.value}", nowMillis) }
    }

    private fun plan(
        task: HeldTask,
        target: HeldTarget,
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
        return if (victims.isNotEmpty() && task.spec.demand.fitsInto(free)) Plan(target, victims) else null
    }

    private fun endsInTime(
        task: HeldTask,
        target: HeldTarget,
        nowMillis: Long,
    ): Boolean {
        val durationMillis = durations.onTargetMillis(task, target, options.farFactor)
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
            .sortedWith(
                compareByDescending<HeldRun> {
                    it.owner
                        ?.job
                        ?.spec
                        ?.priority
                }.thenBy { lostWork(it, nowMillis) },
            )

    companion object {
        /** Time between the stop of a run and the next start there; a few messages and the interval of ticks. */
        private const val LEAD_MILLIS = 40L

        /** Whether [run] may be stopped for a job like [urgent]. */
        fun isPreemptable(
            run: HeldRun,
            urgent: JobSpec,
        ): Boolean {
            val task = run.owner ?: return false
            val isLessUrgent = task.job.spec.priority > urgent.priority
            return isLessUrgent && task.job.isKept && !task.spec.lasting && run.stopReason == null
        }

        /** Work that a stop throws away, in thousandths of a core times milliseconds; a stop saves a checkpoint. */
        private fun lostWork(
            run: HeldRun,
            nowMillis: Long,
        ): Long =
            if (run.owner?.spec?.checkpointing == true) 0 else (nowMillis - run.sentAtMillis) * run.demand.cpuMillis
    }
}
