package io.jackdawring.core.shard

/** Identifies one open request for a job at the holder of its shard. */
@JvmInline
value class WaiterId(
    val value: Long,
)
