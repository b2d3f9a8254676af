package io.jackdawring.core.shard

import java.util.PriorityQueue

/**
 * Forecasts when a job would be complete if the waiting tasks were placed in order on the places of the shard.
 *
 * A place is a running task, which frees it at its expected end, or the room for one more task of the job's size.
 */
internal class WaitForecast(
    private val durations: DurationEstimator,
    private val options: ShardOptions,
) {
    /** [sampleEndMillis] orders the places: a free one on a fast target comes before a free one on a slow target. */
    private class Place(
        val target: HeldTarget,
        val freeAtMillis: Double,
        val sampleEndMillis: Double,
    )

    private fun place(
        target: HeldTarget,
        freeAtMillis: Double,
        sample: HeldTask,
    ) = Place(target, freeAtMillis, freeAtMillis + durations.onTargetMillis(sample, target, options.farFactor))

    /** Expected time of the job's last end, or null if no target can run it. */
    fun completionMillis(
        job: HeldJob,
        targets: Collection<HeldTarget>,
        waiting: WaitingTasks,
        nowMillis: Long,
    ): Double? {
        val sample = job.steps.first().first()
        val places = places(sample, targets, nowMillis)
        if (places.isEmpty()) return null
        var completion = nowMillis.toDouble()
        for (task in waiting.before(job) + job.steps.first()) {
            val place = places.poll() ?: break
            val end = place.freeAtMillis + durations.onTargetMillis(task, place.target, options.farFactor)
            places.add(place(place.target, end, sample))
            if (task.job === job) completion = maxOf(completion, end)
        }
        return completion
    }

    private fun places(
        sample: HeldTask,
        targets: Collection<HeldTarget>,
        nowMillis: Long,
    ): PriorityQueue<Place> {
        val places = PriorityQueue<Place>(compareBy { it.sampleEndMillis })
        for (target in targets) {
            if (!TargetChoice.isUsable(target, nowMillis) || !TargetChoice.matches(target, sample)) continue
            val ending = target.runs.values.filterNot { it.owner?.spec?.lasting == true }
            ending.forEach { run ->
                places.add(place(target, freeAtMillis(run, sample, nowMillis), sample))
            }
            repeat(
                spareRoom(target.free, sample.spec.demand),
            ) { places.add(place(target, nowMillis.toDouble(), sample)) }
        }
        return places
    }

    private fun freeAtMillis(
        run: HeldRun,
        sample: HeldTask,
        nowMillis: Long,
    ): Double {
        val endMillis = run.expectedEndMillis(nowMillis)
        val isCheap = Preemption.lostMillis(run, options, nowMillis) < endMillis - nowMillis
        val isPreempted = isCheap && Preemption.isPreemptable(run, sample.job.spec)
        return (if (isPreempted) minOf(endMillis, nowMillis + options.stopMillis) else endMillis).toDouble()
    }

    private fun spareRoom(
        free: Resources,
        demand: Resources,
    ): Int {
        val byCpu = if (demand.cpuMillis > 0) free.cpuMillis / demand.cpuMillis else MAX_SPARE
        val byMemory = if (demand.memoryMb > 0) free.memoryMb / demand.memoryMb else MAX_SPARE
        val byAccelerators = if (demand.accelerators > 0) free.accelerators / demand.accelerators else MAX_SPARE
        return minOf(byCpu, byMemory, byAccelerators).coerceIn(0, MAX_SPARE)
    }

    private companion object {
        /** Bounds the work for tasks of negligible size. */
        const val MAX_SPARE = 64
    }
}
