package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/**
 * A job as its caller sent it, with the settings of its queue.
 *
 * The latency objective is [aimMillis] plus [stretch] times the job's longest chain of work. Priority 0 is the most
 * urgent. A task fails for good after [maxAttempts] failed runs.
 */
@Serializable
data class JobSpec(
    val id: JobId,
    val queue: String,
    val service: String,
    val priority: Int,
    val maxAttempts: Int,
    val stretch: Double,
    val aimMillis: Long,
    val payload: String,
    val steps: List<StepSpec>,
) {
    /** Declared duration of the longest chain of steps that wait for each other. */
    val chainMillis: Long by lazy {
        val ends = LongArray(steps.size)
        steps.forEachIndexed { index, step ->
            ends[index] = step.estimateMillis + (step.after.maxOfOrNull { ends[it] } ?: 0)
        }
        ends.maxOrNull() ?: 0
    }

    /** Latency objective by the declared durations. */
    val objectiveMillis: Long get() = aimMillis + (stretch * chainMillis).toLong()
}
