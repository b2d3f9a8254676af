package io.jackdawring.core.shard

/** A run that a target lists as present; [checkpoint] is what it has saved last. */
data class RunningRun(
    val task: TaskKey,
    val attempt: Int,
    val checkpoint: String? = null,
)
