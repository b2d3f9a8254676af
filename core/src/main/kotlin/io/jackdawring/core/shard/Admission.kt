package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/** Condition under which a shard admits a job. */
@Serializable
enum class Admission {
    /** The job is forecast to meet its latency objective. */
    ON_TIME,

    /** As [ON_TIME], or a target has free capacity for the job's first task now. */
    ON_TIME_OR_ROOM,
}
