package io.jackdawring.core.shard

/**
 * Estimates how soon durable jobs can start, from the capacity of the targets that is free or becomes free.
 *
 * Long-running tasks end only with the cancellation of their jobs, so what they use does not become free.
 */
internal object CapacityForecast {
    /**
     * Estimated time until a job with [needs] can start: 0 if there is room now, null if none of [targets] can run it.
     *
     * [waitingWork] is the declared work that waits for the service, in thousandths of a core times milliseconds.
     */
    fun delayMillis(
        needs: JobNeeds,
        targets: Collection<TrackedTarget>,
        waitingWork: Long,
        nowMillis: Long,
    ): Long? {
        val usable =
            targets.filter { it.registration.service == needs.service && TargetSelector.isUsable(it, nowMillis) }
        val capable =
            needs.steps.map { step ->
                usable.filter { TargetSelector.isCapable(it, step) && step.demand.fitsInto(it.releasable) }
            }
        if (capable.isEmpty() || capable.any { it.isEmpty() }) return null
        val waitMillis = needs.steps.zip(capable).maxOf { (step, each) -> waitMillis(step.demand, each, nowMillis) }
        if (waitMillis == 0L) return 0
        val leastCpuMillis = capable.minOf { each -> each.sumOf { it.releasable.cpuMillis.toLong() } }
        return maxOf(waitMillis, waitingWork / leastCpuMillis.coerceAtLeast(1))
    }

    /** Whether each of [needs], which have one task each, has room now, beside those before it. */
    fun hasRoom(
        needs: List<JobNeeds>,
        targets: Collection<TrackedTarget>,
        nowMillis: Long,
    ): List<Boolean> {
        val free =
            targets
                .filter {
                    TargetSelector.isUsable(
                        it,
                        nowMillis,
                    )
                }.associateWithTo(LinkedHashMap()) { it.free }
        return needs.map { need ->
            val step = need.steps.single()
            val found =
                free.keys.firstOrNull {
                    it.registration.service == need.service &&
                        TargetSelector.isCapable(it, step) &&
                        TargetSelector.takesFurtherRuns(it, nowMillis) &&
                        step.demand.fitsInto(free.getValue(it))
                }
            if (found != null) free[found] = free.getValue(found) - step.demand
            found != null
        }
    }

    /** Time until the first of [targets] has room for [demand]; 0 if one has it now. */
    private fun waitMillis(
        demand: Resources,
        targets: List<TrackedTarget>,
        nowMillis: Long,
    ): Long =
        if (targets.any { demand.fitsInto(it.free) && TargetSelector.takesFurtherRuns(it, nowMillis) }) {
            0
        } else {
            targets.minOf { maxOf(1, roomAtMillis(demand, it, nowMillis) - nowMillis) }
        }

    /** Expected time at which [target] has room for [demand], which fits beside its long-running tasks. */
    private fun roomAtMillis(
        demand: Resources,
        target: TrackedTarget,
        nowMillis: Long,
    ): Long {
        val opensAtMillis =
            if (TargetSelector.takesFurtherRuns(target, nowMillis)) nowMillis else nowMillis + CLOSED_MILLIS
        var free = target.free
        if (demand.fitsInto(free)) return opensAtMillis
        val ends =
            target.runs.values
                .filterNot { it.isLongRunning }
                .map { it.expectedEndMillis(nowMillis) to it.demand }
                .sortedBy { (endMillis) -> endMillis }
        for ((endMillis, released) in ends) {
            free += released
            if (demand.fitsInto(free)) return maxOf(endMillis, opensAtMillis)
        }
        return opensAtMillis
    }

    /** About the time for which a run keeps others from a target. */
    private const val CLOSED_MILLIS = 1_000L
}
