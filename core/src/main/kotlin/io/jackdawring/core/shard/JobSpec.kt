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
    /** Declared durations of the longest chains of steps that begin with each step and wait for each other. */
    private val chainsMillis: LongArray by lazy {
        val chains = LongArray(steps.size)
        for (index in steps.indices.reversed()) {
            val next = steps.indices.filter { index in steps[it].after }.maxOfOrNull { chains[it] } ?: 0
            val own = if (steps[index].longRunning) 0 else steps[index].estimateMillis
            chains[index] = own + next
        }
        chains
    }

    /** Declared duration of the longest chain of steps that wait for each other. */
    val chainMillis: Long get() = chainsMillis.maxOrNull() ?: 0

    /** Declared duration of the longest chain that begins with [step]. */
    fun chainFromMillis(step: Int): Long = chainsMillis[step]

    /** Latency objective by the declared durations. */
    val objectiveMillis: Long get() = aimMillis + (stretch * chainMillis).toLong()
}
