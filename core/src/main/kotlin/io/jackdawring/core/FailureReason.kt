package io.jackdawring.core

/** Why a job failed. */
enum class FailureReason {
    /** The target answered that the task failed. */
    TASK_FAILED,

    /** The connection to the target broke or timed out after the task was sent. */
    TARGET_LOST,

    /** The deadline passed after at least one task had started. */
    DEADLINE_EXCEEDED,

    /** The caller cancelled the job. */
    CANCELLED,

    /** A task could not be started within its permitted retries, after other tasks of the job had started. */
    RETRIES_EXHAUSTED,
}
