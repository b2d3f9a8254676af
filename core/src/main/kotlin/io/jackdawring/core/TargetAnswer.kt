package io.jackdawring.core

/** Result of one task start; [usage] is the load that the target reported with it, null if it reported none. */
sealed interface TargetAnswer {
    val usage: TargetUsage?

    /** The task succeeded. */
    data class Succeeded(
        val result: Payload,
        override val usage: TargetUsage? = null,
    ) : TargetAnswer

    /** The target ran the task and it failed. */
    data class TaskFailed(
        val detail: String,
        override val usage: TargetUsage? = null,
    ) : TargetAnswer

    /** The task was definitely not started: no byte was sent, or the target reported this. */
    data class NotStarted(
        val reason: NotStartedReason,
        override val usage: TargetUsage? = null,
    ) : TargetAnswer

    /** The connection broke or timed out after the task was sent; the task may have run. */
    data class Lost(
        val detail: String,
    ) : TargetAnswer {
        override val usage: TargetUsage? get() = null
    }
}
