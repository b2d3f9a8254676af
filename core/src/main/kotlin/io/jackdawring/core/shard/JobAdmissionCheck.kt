package io.jackdawring.core.shard

/** Decides which jobs a shard takes on arrival. */
internal class JobAdmissionCheck(
    private val control: TargetControl,
    private val selector: TargetSelector,
    private val forecast: CompletionForecast,
    private val waiting: WaitingTasks,
    private val returns: ReturnTimes,
) {
    private val shortage = UrgentShortage()

    fun decide(
        job: TrackedJob,
        admission: Admission,
        nowMillis: Long,
    ): AdmissionDecision {
        val evacuation = control.evacuation
        if (evacuation.isEvacuated && !job.started) return AdmissionDecision.Refused(evacuation.refuse(job))
        val completion = forecast.completionMillis(job, Timeliness.ON_TIME, control.targets, waiting, nowMillis)
        val undecidable = job.started || isWarmingUp(nowMillis)
        val yields = shortage.concerns(job, nowMillis)
        if (undecidable || completion != null && completion <= limitMillis(job, admission, yields)) {
            return AdmissionDecision.Admitted(Timeliness.ON_TIME, completion)
        }
        if (completion == null) {
            val outcome = JobOutcome.NotRun("no target can run it now", ReturnTimes.NO_TARGET_MILLIS)
            return AdmissionDecision.Refused(outcome)
        }
        if (admission != Admission.EARLY && !yields) shortage.record(job, nowMillis)
        return when {
            admission == Admission.EARLY || yields -> refusal(job, admission, completion, nowMillis)
            hasRoom(job, nowMillis) || canBeUseful(job, completion, nowMillis) ->
                AdmissionDecision.Admitted(Timeliness.LATE, completion)
            else -> refusal(job, admission, completion, nowMillis)
        }
    }

    /** Latest forecast with which [job] is admitted as one that is on time; [yields] is whether more urgent ones go first. */
    private fun limitMillis(
        job: TrackedJob,
        admission: Admission,
        yields: Boolean,
    ): Double =
        when {
            yields -> job.arrivedAtMillis + yieldingLimitMillis(job.spec)
            admission == Admission.EARLY -> job.arrivedAtMillis + EARLY_SHARE * job.spec.objectiveMillis
            else -> job.objectiveAtMillis.toDouble()
        }

    /** Forecast duration up to which a job is admitted while more urgent ones find no capacity in time. */
    private fun yieldingLimitMillis(job: JobSpec): Double =
        job.criticalPathMillis + YIELDING_SHARE * (job.objectiveMillis - job.criticalPathMillis)

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

    /**
     * Whether the first answers of the targets may still be outstanding, so that no free capacity is known, or the
     * requests to evacuate their failure domain are.
     */
    private fun isWarmingUp(nowMillis: Long): Boolean {
        val since = control.firstListedAtMillis ?: return true
        if (nowMillis - since >= WARM_UP_MILLIS) return false
        return control.evacuation.isUnknown || control.targets.none { it.contact == TrackedTarget.Contact.HELD }
    }

    private fun refusal(
        job: TrackedJob,
        admission: Admission,
        completionMillis: Double,
        nowMillis: Long,
    ): AdmissionDecision.Refused {
        val lateMillis = (completionMillis - job.objectiveAtMillis).toLong()
        val forecastMillis = completionMillis.toLong() - nowMillis
        val relation = if (lateMillis > 0) "exceeds" else "is close to"
        val reason = "forecast of $forecastMillis ms $relation the objective of ${job.spec.objectiveMillis} ms"
        // A job that is refused as an early one is offered elsewhere, and at last here again, so it is not counted yet.
        val isReserved = admission != Admission.EARLY
        val retryAfterMillis = returns.retryAfterMillis(job, maxOf(0, lateMillis), isReserved, nowMillis)
        return AdmissionDecision.Refused(JobOutcome.NotRun(reason, retryAfterMillis, lateMillis))
    }

    private fun hasRoom(
        job: TrackedJob,
        nowMillis: Long,
    ): Boolean = selector.select(job.steps.first().first(), control.byFreeCpu, nowMillis) != null

    private companion object {
        /** Share of the objective within which the forecast of a job that hardly waits lies on most targets. */
        const val EARLY_SHARE = 0.75

        /**
         * Share of its allowance for waiting that a job uses while more urgent ones find no capacity in time.
         *
         * With 0.75, the most urgent jobs are served half as often as the others; with 0.5, the worth of what is served
         * drops in bursts of wide and of large jobs.
         */
        const val YIELDING_SHARE = 0.6

        /** Time for the targets to answer the first poll of a new holder. */
        const val WARM_UP_MILLIS = 250L
    }
}
