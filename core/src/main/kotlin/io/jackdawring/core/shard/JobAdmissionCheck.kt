package io.jackdawring.core.shard

/** Decides which jobs a shard takes on arrival. */
internal class JobAdmissionCheck(
    private val control: TargetControl,
    private val selector: TargetSelector,
    private val forecast: CompletionForecast,
    private val waiting: WaitingTasks,
) {
    fun decide(
        job: TrackedJob,
        admission: Admission,
        nowMillis: Long,
    ): AdmissionDecision {
        val completion = forecast.completionMillis(job, Timeliness.ON_TIME, control.targets, waiting, nowMillis)
        val undecidable = job.started || isWarmingUp(nowMillis)
        if (undecidable || completion != null && completion <= job.objectiveAtMillis) {
            return AdmissionDecision.Admitted(Timeliness.ON_TIME, completion)
        }
        if (completion == null) {
            return AdmissionDecision.Refused(JobOutcome.NotRun("no target can run it now", NO_TARGET_RETRY_MILLIS))
        }
        val canBeLate = hasRoom(job, nowMillis) || canBeUseful(job, completion, nowMillis)
        if (canBeLate && admission == Admission.ON_TIME_OR_LATE) {
            return AdmissionDecision.Admitted(Timeliness.LATE, completion)
        }
        return AdmissionDecision.Refused(refusal(job, completion, canBeLate, nowMillis))
    }

    /** Whether [job] ends while its result is useful if it waits until no job that is on time does. */
    private fun canBeUseful(
        job: TrackedJob,
        onTimeCompletionMillis: Double,
        nowMillis: Long,
    ): Boolean {
        // A late job does not end before one that is on time, and a forecast is costly.
        if (onTimeCompletionMillis > job.latestUsefulMillis) return false
        val completion = forecast.completionMillis(job, Timeliness.LATE, control.targets, waiting, nowMillis)
        return completion != null && completion <= job.latestUsefulMillis
    }

    /** Whether the first answers of the targets may still be outstanding, so that no free capacity is known. */
    private fun isWarmingUp(nowMillis: Long): Boolean {
        val since = control.firstListedAtMillis ?: return true
        return nowMillis - since < WARM_UP_MILLIS && control.targets.none { it.contact == TrackedTarget.Contact.HELD }
    }

    private fun refusal(
        job: TrackedJob,
        completionMillis: Double,
        canBeLate: Boolean,
        nowMillis: Long,
    ): JobOutcome.NotRun {
        val forecastMillis = completionMillis.toLong() - nowMillis
        val reason = "forecast of $forecastMillis ms exceeds the objective of ${job.spec.objectiveMillis} ms"
        return JobOutcome.NotRun(reason, (completionMillis - job.objectiveAtMillis).toLong(), canBeLate)
    }

    private fun hasRoom(
        job: TrackedJob,
        nowMillis: Long,
    ): Boolean {
        val task = job.steps.first().first()
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
