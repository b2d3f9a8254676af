package io.jackdawring.core.shard

import java.util.PriorityQueue

/**
 * Forecasts when a job would be complete if the waiting tasks were placed in order on the places of the shard.
 *
 * A place is a running task, which frees it at its expected end, or the room for one more task of the job's size. In a
 * large shard, a sample of the targets serves the same share of the tasks.
 */
internal class WaitForecast(
    private val durations: DurationEstimator,
    private val options: ShardOptions,
    private val cost: DecisionCost,
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
    ) = Place(target, freeAtMillis, freeAtMillis + durations.onTargetMillis(sample, target, options.offRackFactor))

    /** Expected time of the job's last end, or null if no target can run it. */
    fun completionMillis(
        job: HeldJob,
        targets: Collection<HeldTarget>,
        waiting: WaitingTasks,
        nowMillis: Long,
    ): Double? {
        val own = job.steps.first()
        val sample = own.first()
        val share = 1 + targets.size / MAX_TARGETS
        val places = places(sample, every(share, job.sequence, targets), nowMillis)
        if (places.isEmpty() && share > 1) places.addAll(places(sample, targets, nowMillis))
        if (places.isEmpty()) return null
        val before = waiting.before(job).take(MAX_TASKS * share).toList()
        fill(places, every(share, 0, before), sample, nowMillis)
        val completion = fill(places, every(share, 0, own), sample, nowMillis)
        if (before.size < MAX_TASKS * share) return completion
        val unseen = (waiting.countBefore(job) - before.size).coerceAtLeast(0)
        return nowMillis + (completion - nowMillis) * (1 + unseen.toDouble() / before.size)
    }

    /** Every [share]th of [all], beginning at a place that [offset] gives. */
    private fun <T> every(
        share: Int,
        offset: Long,
        all: Collection<T>,
    ): Collection<T> =
        if (share == 1) all else all.filterIndexed { index, _ -> index % share == Math.floorMod(offset, share) }

    /** Gives [tasks] the places that are free first, and returns the time of their last end. */
    private fun fill(
        places: PriorityQueue<Place>,
        tasks: Collection<HeldTask>,
        sample: HeldTask,
        nowMillis: Long,
    ): Double {
        var last = nowMillis.toDouble()
        for (task in tasks) {
            val place = places.poll() ?: break
            cost.add()
            val end = place.freeAtMillis + durations.onTargetMillis(task, place.target, options.offRackFactor)
            places.add(place(place.target, end, sample))
            last = maxOf(last, end)
        }
        return last
    }

    private fun places(
        sample: HeldTask,
        targets: Collection<HeldTarget>,
        nowMillis: Long,
    ): PriorityQueue<Place> {
        val places = PriorityQueue<Place>(compareBy { it.sampleEndMillis })
        for (target in targets) {
            if (!TargetChoice.isUsable(target, nowMillis) || !TargetChoice.matches(target, sample)) continue
            for (run in target.runs.values) {
                if (run.owner?.spec?.longRunning == true) continue
                places.add(place(target, freeAtMillis(run, sample, nowMillis), sample))
            }
            repeat(spareRoom(target.free, sample.spec.demand)) {
                places.add(place(target, nowMillis.toDouble(), sample))
            }
        }
        cost.add(places.size)
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

        /** Targets beyond this number are sampled. */
        const val MAX_TARGETS = 64

        /** Waiting tasks beyond this number are counted only, and taken to wait at the same rate. */
        const val MAX_TASKS = 256
    }
}
