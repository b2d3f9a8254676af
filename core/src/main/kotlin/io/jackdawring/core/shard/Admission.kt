package io.jackdawring.core.shard

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Condition under which a shard admits a job. */
@Serializable
enum class Admission {
    /** The job is forecast to meet its latency objective with a margin, as it does if it hardly waits. */
    @SerialName("ON_TIME")
    EARLY,

    /** The job is forecast to meet its latency objective, or to be useful although late, after those that meet it. */
    @SerialName("ON_TIME_OR_ROOM")
    ON_TIME_OR_LATE,
}
