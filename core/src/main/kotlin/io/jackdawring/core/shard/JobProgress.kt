package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/**
 * What must outlive the holder of a kept job.
 *
 * [done] has the bits of the done tasks of each step, as [java.util.BitSet.toLongArray] gives them. [failures] has
 * the attempts that failed by "step.index" and leaves out tasks without any; [checkpoints] has what unfinished tasks
 * have saved.
 */
@Serializable
data class JobProgress(
    val state: JobState = JobState.QUEUED,
    val done: List<List<Long>> = emptyList(),
    val failures: Map<String, List<Int>> = emptyMap(),
    val checkpoints: Map<String, Checkpoint> = emptyMap(),
)
