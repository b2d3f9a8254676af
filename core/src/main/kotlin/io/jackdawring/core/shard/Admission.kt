package io.jackdawring.core.shard

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Condition under which a shard admits a job. */
@Serializable
enum class Admission {
    /** The job is forecast to meet its latency objective. */
    ON_TIME,

    /** As [ON_TIME], or the shard can serve the job late, after the jobs that it can serve on time. */
    @SerialName("ON_TIME_OR_ROOM")
    ON_TIME_OR_LATE,
}
