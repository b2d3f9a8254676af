package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/** Progress of a task that a target has saved; [value] is opaque, [attempt] is the run that saved it. */
@Serializable
data class Checkpoint(
    val value: String,
    val attempt: Int,
)
