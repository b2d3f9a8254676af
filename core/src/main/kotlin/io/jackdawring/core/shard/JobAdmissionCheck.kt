package io.jackdawring.core.shard

/** Decides which jobs a shard refuses on arrival. */
internal class JobAdmissionCheck(
    private val control: TargetControl,
    private val selector: TargetSelector,
) {
    /** Whether the first answers of the targets may still be outstanding, so that no free capacity is known. */
    fun isWarmingUp(nowMillis: Long): Boolean {
        val since = control.firstListedAtMillis ?: return true
        return nowMillis - since < WARM_UP_MILLIS && control.targets.none { it.contact == TrackedTarget.Contact.HELD }
    }

    /** The refusal of [job], or null if the job is admitted; [completionMillis] is null if no target can run it. */
    fun refusal(
        job: TrackedJob,
        completionMillis: Double?,
        admission: Admission,
        nowMillis: Long,
    ): JobOutcome.NotRun? {
        if (completionMillis == null) return JobOutcome.NotRun("no target can run it now", NO_TARGET_RETRY_MILLIS)
        val lateMillis = (completionMillis - job.objectiveAtMillis).toLong()
        if (lateMillis <= 0) return null
        val hasRoom = hasRoom(job.steps.first().first(), nowMillis)
        if (hasRoom && admission == Admission.ON_TIME_OR_ROOM) return null
        val forecastMillis = completionMillis.toLong() - nowMillis
        val reason = "forecast of $forecastMillis ms exceeds the objective of ${job.spec.objectiveMillis} ms"
        return JobOutcome.NotRun(reason, lateMillis, hasRoom)
    }

    private fun hasRoom(
        task: TrackedTask,
        nowMillis: Long,
    ): Boolean {
        val candidates =
            control.byFreeCpu.candidates(
                task.spec.demand.cpuMillis,
                nowMillis,
            ) { TargetSelector.matches(it, task) }
        return selector.select(task, candidates, nowMillis) != null
    }

    private companion object {
        /** Time for the targets to answer the first poll of a new holder. */
        const val WARM_UP_MILLIS = 250L

        /** Retry delay without a usable target; about the time until targets are listed and answer polls again. */
        const val NO_TARGET_RETRY_MILLIS = 1_000L
    }
}
