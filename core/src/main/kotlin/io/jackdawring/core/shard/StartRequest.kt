package io.jackdawring.core.shard

/**
 * Request to start a run of a task.
 *
 * [leaseUntilMillis] is a time on the target's clock. The run resumes from [checkpoint] if there is one.
 */
data class StartRequest(
    val task: TaskKey,
    val attempt: Int,
    val payload: String,
    val leaseUntilMillis: Long,
    val checkpoint: String? = null,
)
