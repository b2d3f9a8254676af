package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/** Identifies a job; chosen by the caller and the same in every retry. */
@JvmInline
@Serializable
value class JobId(
    val value: String,
)
