package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/** Under which condition a shard takes a job. */
@Serializable
enum class Admission {
    /** The job is expected to meet its latency objective. */
    ON_TIME,

    /** The same, or a target has room for its first task now. */
    ON_TIME_OR_ROOM,
}
