package io.jackdawring.core.shard

import java.util.PriorityQueue
import kotlin.math.pow

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

    /**
     * Time at which the job completes if it waits as one that is [timeliness]; null if no target can run it.
     *
     * The tasks ahead take their mean duration. Those of the job take the expected one, or, if [isPromise], one that
     * is not exceeded by any of them in [KEPT_SHARE] of the cases.
     */
    fun completionMillis(
        job: TrackedJob,
        timeliness: Timeliness,
        isPromise: Boolean,
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
        fill(slots, everyNth(stride, 0, ahead), sample, nowMillis) { durations.distribution(it.job.spec.queue).mean }
        val ownFactor = if (isPromise) lastOfFactor(job.spec.queue, own.size) else 1.0
        val completion = fill(slots, everyNth(stride, 0, own), sample, nowMillis) { ownFactor }
        if (ahead.size < MAX_TASKS * stride) return completion
        val unseen = (waiting.countAhead(job, timeliness) - ahead.size).coerceAtLeast(0)
        return nowMillis + (completion - nowMillis) * (1 + unseen.toDouble() / ahead.size)
    }

    /** Factor by which the last of [tasks] parallel tasks takes longer than expected. */
    private fun lastOfFactor(
        queue: String,
        tasks: Int,
    ): Double = maxOf(1.0, durations.distribution(queue).quantile(KEPT_SHARE.pow(1.0 / tasks)))

    /** Every [stride]th element of [all]; [offset] selects the first one. */
    private fun <T> everyNth(
        stride: Int,
        offset: Long,
        all: Collection<T>,
    ): Collection<T> =
        if (stride == 1) all else all.filterIndexed { index, _ -> index % stride == Math.floorMod(offset, stride) }

    /**
     * Assigns [tasks], which take [factor] times as long as expected, to the earliest slots, and returns the time at
     * which the last of them ends.
     */
    private fun fill(
        slots: PriorityQueue<Slot>,
        tasks: Collection<TrackedTask>,
        sample: TrackedTask,
        nowMillis: Long,
        factor: (TrackedTask) -> Double,
    ): Double {
        var last = nowMillis.toDouble()
        for (task in tasks) {
            val slot = slots.poll() ?: break
            cost.add()
            val duration = factor(task) * durations.onTargetMillis(task, slot.target, options.offRackFactor)
            val end = slot.freeAtMillis + duration
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
        val endMillis = endMillis(run, nowMillis)
        val isCheap = Preemption.lostMillis(run, options, nowMillis) < endMillis - nowMillis
        val isPreempted = isCheap && Preemption.isPreemptable(run, sample.job.spec)
        return (if (isPreempted) minOf(endMillis, nowMillis + options.stopMillis) else endMillis).toDouble()
    }

    /** Mean of the times at which [run] can end, given how long it has lasted. */
    private fun endMillis(
        run: TrackedRun,
        nowMillis: Long,
    ): Long {
        val queue =
            run.owner
                ?.job
                ?.spec
                ?.queue
        if (queue == null || run.expectedMillis <= 0) return run.expectedEndMillis(nowMillis)
        val lasted = (nowMillis - run.sentAtMillis).toDouble() / run.expectedMillis
        return nowMillis + (run.expectedMillis * durations.distribution(queue).remaining(lasted)).toLong()
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
        /**
         * Share of the jobs that would keep the forecast on which they are admitted if all ran as soon as they could.
         *
         * Wide jobs need a longer forecast than narrow ones for the same share. With 0.1, 0.2 and 0.5, 0.54, 0.55 and
         * 0.57 of the jobs of a burst were in time, but only 0.21, 0.19 and 0.16 of the wide ones, which are the most
         * urgent (PlacementComparisonTest).
         */
        const val KEPT_SHARE = 0.1

        /** Limits the slots of a target for tasks with little or no demand. */
        const val MAX_FREE_SLOTS = 64

        /** From this number on, the targets are sampled. */
        const val MAX_TARGETS = 64

        /** Waiting tasks beyond this number are only counted, and assumed to be served at the same rate. */
        const val MAX_TASKS = 256
    }
}
