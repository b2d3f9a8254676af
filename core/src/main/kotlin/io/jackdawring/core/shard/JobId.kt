package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/** Identifies a job; chosen by its caller and the same in every resend. */
@JvmInline
@Serializable
value class JobId(
    val value: String,
)
