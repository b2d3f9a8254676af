package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/** State of a durable job. */
@Serializable
enum class JobState {
    /** No start request for a task was sent. */
    QUEUED,
    RUNNING,

    /** All tasks are done. */
    COMPLETED,

    /** A task failed on its last attempt or was rejected as invalid. */
    FAILED,
    CANCELLED,
    ;

    val isEnded: Boolean get() = this == COMPLETED || this == FAILED || this == CANCELLED
}
