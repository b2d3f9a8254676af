package io.jackdawring.core

/** Why a job failed. */
enum class FailureReason {
    /** The target answered that the task failed. */
    TASK_FAILED,

    /** The connection to the target broke after the task was sent. */
    TARGET_LOST,

    /** The deadline passed after at least one task had started. */
    DEADLINE_EXCEEDED,

    /** The caller cancelled the job. */
    CANCELLED,

    /** Every permitted retry of a task that had not started was used up after other tasks had started. */
    RETRIES_EXHAUSTED,
}
