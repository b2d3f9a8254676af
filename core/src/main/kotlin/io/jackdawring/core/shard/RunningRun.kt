package io.jackdawring.core.shard

/** A run that a target lists as present. */
data class RunningRun(
    val task: TaskKey,
    val attempt: Int,
)
