package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/** State of a kept job. */
@Serializable
enum class JobState {
    /** No task has been ordered to start. */
    QUEUED,
    RUNNING,

    /** All tasks are done. */
    COMPLETED,

    /** A task has failed as often as its queue allows. */
    FAILED,
    CANCELLED,
    ;

    val isEnded: Boolean get() = this == COMPLETED || this == FAILED || this == CANCELLED
}
