package io.jackdawring.core.shard

/** Identifies a task within a shard; [occurrence] is 0 for jobs that run once, [step] and [index] count from 0. */
data class TaskKey(
    val jobId: JobId,
    val occurrence: Int,
    val step: Int,
    val index: Int,
)
