package io.jackdawring.core.shard

import java.util.PriorityQueue

/**
 * Forecasts when a job would complete if the waiting tasks were placed in order on the slots of the shard.
 *
 * A slot is the capacity of a running task, available from its expected end, or free capacity for one more task of the
 * job's size.
 * For a large shard, the forecast uses a sample of the targets and the same share of the tasks.
 */
internal class CompletionForecast(
    private val durations: DurationEstimator,
    private val options: ShardOptions,
    private val cost: DecisionCost,
) {
    /** [sampleEndMillis] orders the slots, so that a free slot on a fast target comes before one on a slow target. */
    private class Slot(
        val target: TrackedTarget,
        val freeAtMillis: Double,
        val sampleEndMillis: Double,
    )

    private fun slot(
        target: TrackedTarget,
        freeAtMillis: Double,
        sample: TrackedTask,
    ) = Slot(target, freeAtMillis, freeAtMillis + durations.onTargetMillis(sample, target, options.offRackFactor))

    /** Expected time at which the job completes if it waits as one that is [timeliness]; null if no target can run it. */
    fun completionMillis(
        job: TrackedJob,
        timeliness: Timeliness,
        targets: Collection<TrackedTarget>,
        waiting: WaitingTasks,
        nowMillis: Long,
    ): Double? {
        val own = job.steps.first()
        val sample = own.first()
        val stride = 1 + targets.size / MAX_TARGETS
        val slots = slots(sample, everyNth(stride, job.sequence, targets), nowMillis)
        if (slots.isEmpty() && stride > 1) slots.addAll(slots(sample, targets, nowMillis))
        if (slots.isEmpty()) return null
        val ahead = waiting.ahead(job, timeliness).take(MAX_TASKS * stride).toList()
        fill(slots, everyNth(stride, 0, ahead), sample, nowMillis)
        val completion = fill(slots, everyNth(stride, 0, own), sample, nowMillis)
        if (ahead.size < MAX_TASKS * stride) return completion
        val unseen = (waiting.countAhead(job, timeliness) - ahead.size).coerceAtLeast(0)
        return nowMillis + (completion - nowMillis) * (1 + unseen.toDouble() / ahead.size)
    }

    /** Every [stride]th element of [all]; [offset] selects the first one. */
    private fun <T> everyNth(
        stride: Int,
        offset: Long,
        all: Collection<T>,
    ): Collection<T> =
        if (stride == 1) all else all.filterIndexed { index, _ -> index % stride == Math.floorMod(offset, stride) }

    /** Assigns [tasks] to the earliest slots, and returns the time at which the last of them ends. */
    private fun fill(
        slots: PriorityQueue<Slot>,
        tasks: Collection<TrackedTask>,
        sample: TrackedTask,
        nowMillis: Long,
    ): Double {
        var last = nowMillis.toDouble()
        for (task in tasks) {
            val slot = slots.poll() ?: break
            cost.add()
            val end = slot.freeAtMillis + durations.onTargetMillis(task, slot.target, options.offRackFactor)
            slots.add(slot(slot.target, end, sample))
            last = maxOf(last, end)
        }
        return last
    }

    private fun slots(
        sample: TrackedTask,
        targets: Collection<TrackedTarget>,
        nowMillis: Long,
    ): PriorityQueue<Slot> {
        val slots = PriorityQueue<Slot>(compareBy { it.sampleEndMillis })
        for (target in targets) {
            if (!TargetSelector.isUsable(target, nowMillis) || !TargetSelector.matches(target, sample)) continue
            for (run in target.runs.values) {
                if (run.owner?.spec?.longRunning == true) continue
                slots.add(slot(target, freeAtMillis(run, sample, nowMillis), sample))
            }
            repeat(freeSlots(target, sample.spec.demand, nowMillis)) {
                slots.add(slot(target, nowMillis.toDouble(), sample))
            }
        }
        cost.add(slots.size)
        return slots
    }

    private fun freeAtMillis(
        run: TrackedRun,
        sample: TrackedTask,
        nowMillis: Long,
    ): Double {
        val endMillis = run.expectedEndMillis(nowMillis)
        val isCheap = Preemption.lostMillis(run, options, nowMillis) < endMillis - nowMillis
        val isPreempted = isCheap && Preemption.isPreemptable(run, sample.job.spec)
        return (if (isPreempted) minOf(endMillis, nowMillis + options.stopMillis) else endMillis).toDouble()
    }

    private fun freeSlots(
        target: TrackedTarget,
        demand: Resources,
        nowMillis: Long,
    ): Int {
        val fitting = freeSlots(target.free, demand)
        // A target that may be cold gets one task until that has shown its speed.
        val isSpeedUnknown = target.warmUp.includes(nowMillis) && !target.health.hasSpeed
        return if (isSpeedUnknown) minOf(fitting, if (target.runs.isEmpty()) 1 else 0) else fitting
    }

    private fun freeSlots(
        free: Resources,
        demand: Resources,
    ): Int {
        val byCpu = if (demand.cpuMillis > 0) free.cpuMillis / demand.cpuMillis else MAX_FREE_SLOTS
        val byMemory = if (demand.memoryMb > 0) free.memoryMb / demand.memoryMb else MAX_FREE_SLOTS
        val byAccelerators = if (demand.accelerators > 0) free.accelerators / demand.accelerators else MAX_FREE_SLOTS
        return minOf(byCpu, byMemory, byAccelerators).coerceIn(0, MAX_FREE_SLOTS)
    }

    private companion object {
        /** Limits the slots of a target for tasks with little or no demand. */
        const val MAX_FREE_SLOTS = 64

        /** From this number on, the targets are sampled. */
        const val MAX_TARGETS = 64

        /** Waiting tasks beyond this number are only counted, and assumed to be served at the same rate. */
        const val MAX_TASKS = 256
    }
}
