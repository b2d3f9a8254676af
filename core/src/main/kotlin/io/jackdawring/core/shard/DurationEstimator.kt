package io.jackdawring.core.shard

import kotlin.math.exp
import kotlin.math.ln

/** Corrects the declared durations of each queue by what was observed. */
internal class DurationEstimator {
    private val logFactors = HashMap<String, Double>()

    /** Expected duration of a task on a target of speed 1. */
    fun atUnitSpeedMillis(
        queue: String,
        estimateMillis: Long,
    ): Double = estimateMillis.coerceAtLeast(1) * exp(logFactors[queue] ?: 0.0)

    /** Expected duration of [task] on [target], longer outside its rack. */
    fun onTargetMillis(
        task: HeldTask,
        target: HeldTarget,
        offRackFactor: Double,
    ): Double {
        val far = task.spec.rackAffinity?.let { it !in target.facts.labels } ?: false
        return atUnitSpeedMillis(task.job.spec.queue, task.spec.estimateMillis) / target.record.speed *
            (if (far) offRackFactor else 1.0)
    }

    fun onDone(
        task: HeldTask,
        target: HeldTarget,
        observedMillis: Long,
    ) {
        val queue = task.job.spec.queue
        val expected = atUnitSpeedMillis(queue, task.spec.estimateMillis)
        val ratio =
            ln((observedMillis.coerceAtLeast(1) * target.record.speed / expected).coerceIn(MIN_RATIO, MAX_RATIO))
        logFactors[queue] = (logFactors[queue] ?: 0.0) + FACTOR_WEIGHT * ratio
        target.record.onDone(expected, observedMillis)
    }

    companion object {
        /** Allowance for durations above the estimate. */
        const val SAFETY = 1.15

        /** Weight of the newest run; low, because it also absorbs the error of the target's speed. */
        private const val FACTOR_WEIGHT = 0.02
        private const val MIN_RATIO = 0.1
        private const val MAX_RATIO = 10.0
    }
}
