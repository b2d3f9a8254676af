package io.jackdawring.core.shard

/** Tells callers of refused jobs when there will be room for them, from the shard's targets and waiting work. */
internal class ReturnTimes(
    private val control: TargetControl,
    private val durations: DurationEstimator,
    private val waiting: WaitingTasks,
) {
    private class Capacity(
        val cpuMillis: Double,
        val atMillis: Long,
    )

    private val schedule = ReturnSchedule()
    private val capacities = HashMap<String, Capacity>()

    /** Time until [job] finds room, if that is not within [earliestMillis]; counted later if [isReserved]. */
    fun retryAfterMillis(
        job: TrackedJob,
        earliestMillis: Long,
        isReserved: Boolean,
        nowMillis: Long,
    ): Long {
        val spec = job.spec
        val cpuMillis = capacity(spec.service, nowMillis)
        if (cpuMillis <= 0) return NO_TARGET_MILLIS
        val work =
            spec.steps.sumOf { step ->
                step.count * step.demand.cpuMillis * durations.unitSpeedMillis(spec.queue, step.estimateMillis)
            }
        val patience = maxOf(0, spec.objectiveMillis - spec.criticalPathMillis)
        val need =
            ReturnNeed(
                spec.service,
                spec.priority,
                work / (cpuMillis * RETURN_SHARE),
                patience,
                earliestMillis,
            )
        return schedule.retryAfterMillis(need, isReserved, nowMillis)
    }

    /** As above, for a job of which no forecast is known: after the work that waits now. */
    fun retryAfterBacklogMillis(
        job: TrackedJob,
        nowMillis: Long,
    ): Long {
        val cpuMillis = capacity(job.spec.service, nowMillis)
        if (cpuMillis <= 0) return NO_TARGET_MILLIS
        val backlogMillis = (waiting.work(job.spec.service) / cpuMillis).toLong()
        return retryAfterMillis(job, backlogMillis, isReserved = true, nowMillis)
    }

    /** CPU of the usable targets of [service] at speed 1, in thousandths of a core. */
    private fun capacity(
        service: String,
        nowMillis: Long,
    ): Double {
        val known = capacities[service]
        if (known != null && nowMillis - known.atMillis < CAPACITY_AGE_MILLIS) return known.cpuMillis
        val cpuMillis =
            control.targets
                .filter { it.registration.service == service && TargetSelector.isUsable(it, nowMillis) }
                .sumOf { it.registration.capacity.cpuMillis * it.health.speed }
        if (capacities.size >= MAX_SERVICES) capacities.clear()
        capacities[service] = Capacity(cpuMillis, nowMillis)
        return cpuMillis
    }

    companion object {
        /** Without a usable target; about the time until targets are listed and answer polls again. */
        const val NO_TARGET_MILLIS = 1_000L

        /** Share of the capacity that returning jobs may use; the rest is for jobs that come for the first time. */
        private const val RETURN_SHARE = 0.5

        /** Targets come and go every second or so; the sum over all targets is too costly for each refusal. */
        private const val CAPACITY_AGE_MILLIS = 100L

        /** Bounds the memory for services that are no longer configured. */
        private const val MAX_SERVICES = 256
    }
}
