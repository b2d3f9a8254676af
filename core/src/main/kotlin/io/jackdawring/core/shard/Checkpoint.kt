package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/** Saved progress of a task; [value] is opaque to the dispatcher, [attempt] is the run that saved it. */
@Serializable
data class Checkpoint(
    val value: String,
    val attempt: Int,
)
