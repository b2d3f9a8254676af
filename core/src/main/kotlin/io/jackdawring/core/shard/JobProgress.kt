package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/**
 * Stored progress of a durable job, from which a new holder resumes it.
 *
 * [done] has a bit set of completed tasks for each step, encoded as by [java.util.BitSet.toLongArray]. [failures]
 * maps "step.index" to the failed attempts of the task and omits tasks without any; [checkpoints] has the last
 * checkpoints of the unfinished tasks by the same key. [crashes] has the crashes of targets under the unfinished tasks, and
 * the present runs of these tasks as suspected ones. [ending] is the state in which the job ends once its parts in other
 * shards have ended; [attempts] has the last attempts of tasks that other shards have returned.
 */
@Serializable
data class JobProgress(
    val state: JobState = JobState.QUEUED,
    val done: List<List<Long>> = emptyList(),
    val failures: Map<String, List<Int>> = emptyMap(),
    val checkpoints: Map<String, Checkpoint> = emptyMap(),
    val crashes: Map<String, List<TargetCrash>> = emptyMap(),
    val ending: JobState? = null,
    val attempts: Map<String, Int> = emptyMap(),
)
