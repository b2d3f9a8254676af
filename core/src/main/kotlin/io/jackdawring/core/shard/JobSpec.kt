package io.jackdawring.core.shard

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A job as submitted by its caller, with the settings of its queue.
 *
 * The latency objective is [baseObjectiveMillis] plus [stretch] times the job's critical path. Priority 0 is the most
 * urgent. A task is not retried after [maxAttempts] failed runs.
 */
@Serializable
data class JobSpec(
    val id: JobId,
    val queue: String,
    val service: String,
    val priority: Int,
    val maxAttempts: Int,
    val stretch: Double,
    @SerialName("aimMillis")
    val baseObjectiveMillis: Long,
    val payload: String,
    val steps: List<StepSpec>,
) {
    /** Declared duration of the longest dependency chain that begins with each step. */
    private val criticalPathsMillis: LongArray by lazy {
        val paths = LongArray(steps.size)
        for (index in steps.indices.reversed()) {
            val next = steps.indices.filter { index in steps[it].after }.maxOfOrNull { paths[it] } ?: 0
            val own = if (steps[index].longRunning) 0 else steps[index].estimateMillis
            paths[index] = own + next
        }
        paths
    }

    /** Declared duration of the longest dependency chain of steps. */
    val criticalPathMillis: Long get() = criticalPathsMillis.maxOrNull() ?: 0

    /** Declared duration of the longest dependency chain that begins with [step]. */
    fun criticalPathFromMillis(step: Int): Long = criticalPathsMillis[step]

    /** Latency objective, computed from the declared durations. */
    val objectiveMillis: Long get() = baseObjectiveMillis + (stretch * criticalPathMillis).toLong()
}
