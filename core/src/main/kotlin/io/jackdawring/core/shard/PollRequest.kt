package io.jackdawring.core.shard

/**
 * Order to list what runs and what has ended on a target.
 *
 * [leaseUntilMillis] is a time on the target's clock; null renews nothing. Ends up to [acknowledgedEnd] are forgotten by
 * the target. The answer waits up to [waitMillis] for an end.
 */
data class PollRequest(
    val sequence: Long,
    val leaseUntilMillis: Long?,
    val acknowledgedEnd: Long,
    val waitMillis: Long,
)
