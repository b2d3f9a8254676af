package io.jackdawring.core.shard

/**
 * Tasks of a durable job of another shard that this one runs, by their keys "step.index".
 *
 * All their attempts so far are numbered up to [attemptBase].
 */
data class JobPart(
    val spec: JobSpec,
    val tasks: Map<String, TaskProgress>,
    val ageMillis: Long,
    val attemptBase: Int,
)
