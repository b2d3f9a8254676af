package io.jackdawring.core.shard

/** Order to start a run of a task; [leaseUntilMillis] is a time on the target's clock. */
data class StartOrder(
    val task: TaskKey,
    val attempt: Int,
    val payload: String,
    val leaseUntilMillis: Long,
)
