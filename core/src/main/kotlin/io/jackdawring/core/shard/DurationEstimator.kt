package io.jackdawring.core.shard

import kotlin.math.exp
import kotlin.math.ln

/** Scales declared task durations by a factor, and learns their distribution, per queue from observed runs. */
internal class DurationEstimator {
    private class Queue {
        val distribution = DurationDistribution()
        val longRuns = LongRunFilter()
        var factor = 1.0
            private set
        private var logFactor = 0.0

        fun adjust(logRatio: Double) {
            logFactor += FACTOR_WEIGHT * logRatio
            factor = exp(logFactor)
        }
    }

    private val queues = HashMap<String, Queue>()

    /** Distribution of the durations of [queue] relative to the expected ones. */
    fun distribution(queue: String): DurationDistribution = queues[queue]?.distribution ?: noRuns

    /** Expected duration of a task on a target of speed 1. */
    fun unitSpeedMillis(
        queue: String,
        estimateMillis: Long,
    ): Double = estimateMillis.coerceAtLeast(1) * (queues[queue]?.factor ?: 1.0)

    /** Expected duration of [task] on [target], which is [offRackFactor] times as long outside the task's rack. */
    fun onTargetMillis(
        task: TrackedTask,
        target: TrackedTarget,
        offRackFactor: Double,
    ): Double {
        val isOffRack = task.spec.rackAffinity?.let { it !in target.registration.labels } ?: false
        return unitSpeedMillis(task.job.spec.queue, task.spec.estimateMillis) / target.health.speed *
            (if (isOffRack) offRackFactor else 1.0)
    }

    fun onDone(
        task: TrackedTask,
        target: TrackedTarget,
        observedMillis: Long,
    ) {
        val expected = unitSpeedMillis(task.job.spec.queue, task.spec.estimateMillis)
        val ratio = (observedMillis.coerceAtLeast(1) * target.health.speed / expected).coerceIn(MIN_RATIO, MAX_RATIO)
        val queue = queues.getOrPut(task.job.spec.queue, ::Queue)
        queue.distribution.add(ratio)
        if (queue.longRuns.classify(ratio) != LongRunFilter.Verdict.SINGLE) queue.adjust(ln(ratio))
        target.health.onDone(expected, observedMillis)
    }

    /** As [onDone] for a run that started during the warm-up of [target]; it counts for the speed in that time only. */
    fun onDoneWhileCold(
        task: TrackedTask,
        target: TrackedTarget,
        observedMillis: Long,
        nowMillis: Long,
    ) {
        if (target.warmUp.includes(nowMillis)) {
            target.health.onDone(unitSpeedMillis(task.job.spec.queue, task.spec.estimateMillis), observedMillis)
        } else {
            target.health.clearFaults()
        }
    }

    companion object {
        /** Margin for runs that take longer than expected. */
        const val SAFETY_FACTOR = 1.15

        /** Weight of the newest run; low, because its ratio also contains the error of the target's learned speed. */
        private const val FACTOR_WEIGHT = 0.02
        private const val MIN_RATIO = 0.1
        private const val MAX_RATIO = 10.0
        private val noRuns = DurationDistribution()
    }
}
