package io.jackdawring.core.shard

/** Decides which jobs a shard refuses on arrival. */
internal class JobAdmissions(
    private val control: TargetControl,
    private val choice: TargetChoice,
) {
    /** Whether targets may still answer their first look, so that nothing is known of their room. */
    fun isWarmingUp(nowMillis: Long): Boolean {
        val since = control.listedAtMillis ?: return true
        return nowMillis - since < WARM_UP_MILLIS && control.targets.none { it.contact == HeldTarget.Contact.HELD }
    }

    /** The refusal of [job], or null if it is taken; [completionMillis] is null if no target can run it. */
    fun refusal(
        job: HeldJob,
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
        task: HeldTask,
        nowMillis: Long,
    ): Boolean {
        val candidates =
            control.byRoom.candidates(
                task.spec.demand.cpuMillis,
                nowMillis,
            ) { TargetChoice.matches(it, task) }
        return choice.choose(task, candidates, nowMillis) != null
    }

    private companion object {
        /** Time for the targets to answer the first look of a new holder. */
        const val WARM_UP_MILLIS = 250L

        /** Retry-After without any target; about the time in which targets are found or held again. */
        const val NO_TARGET_RETRY_MILLIS = 1_000L
    }
}
