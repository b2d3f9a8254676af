package io.jackdawring.core.shard

/** A run that its target lists as running; [checkpoint] is the last one that it saved. */
data class RunningRun(
    val task: TaskKey,
    val attempt: Int,
    val checkpoint: String? = null,
)
