package io.jackdawring.core.shard

import kotlin.math.exp
import kotlin.math.ln

/** Scales declared task durations by a factor that is learned per queue from observed runs. */
internal class DurationEstimator {
    private val logFactors = HashMap<String, Double>()

    /** Expected duration of a task on a target of speed 1. */
    fun unitSpeedMillis(
        queue: String,
        estimateMillis: Long,
    ): Double = estimateMillis.coerceAtLeast(1) * exp(logFactors[queue] ?: 0.0)

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
        val queue = task.job.spec.queue
        val expected = unitSpeedMillis(queue, task.spec.estimateMillis)
        val ratio =
            ln((observedMillis.coerceAtLeast(1) * target.health.speed / expected).coerceIn(MIN_RATIO, MAX_RATIO))
        logFactors[queue] = (logFactors[queue] ?: 0.0) + FACTOR_WEIGHT * ratio
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
    }
}
